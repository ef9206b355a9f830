/**
 * Joins: a VM that the list shows for the first time gets its row.
 */
import {
	type Clock, type PoolName, type RackName, type RandomSource, type VmId, type ZoneName,
} from '@tamarackwind/core';
import {type VmRecord} from '@tamarackwind/clients';
import {type FleetState} from './mirrors.js';
import {type VmRow} from './rows.js';
import {type FleetStore} from './stores.js';

export type VmJoinerOptions = {readonly clock: Clock; readonly random: RandomSource; readonly store: FleetStore};

const joinBatchSize = 500;
const joinSpreadMs = 2000;

/** Inserts rows of new VMs. Any entry does; the check of the fleet version lets one succeed. */
export class VmJoiner {
	static create(options: VmJoinerOptions): VmJoiner {
		return new VmJoiner(options);
	}

	readonly #options: VmJoinerOptions;
	#joinAt: number | undefined;

	private constructor(options: VmJoinerOptions) {
		this.#options = options;
	}

	/** Joins the listed workers that have no row, after a random wait when others may do it too. */
	async addMissingVms(records: readonly VmRecord[], state: FleetState): Promise<void> {
		const missing = records.filter(record => record.kind === 'worker' && record.pool !== undefined && !state.vms.has(record.vmId as VmId));
		if (missing.length === 0) {
			this.#joinAt = undefined;
			return;
		}

		const {clock, random, store} = this.#options;
		const now = clock.readMonotonic();
		this.#joinAt ??= now + (state.vms.size === 0 ? 0 : random.readFraction() * joinSpreadMs);
		if (now >= this.#joinAt) {
			const rows = missing.slice(0, joinBatchSize).map(record => createVmRow(record, clock.readWall()));
			await store.commitChange(state, {vms: new Map(rows.map(row => [row.vmId, row]))});
		}
	}
}

function createVmRow(record: VmRecord, since: number): VmRow {
	const pool = record.pool as PoolName;
	return {
		vmId: record.vmId as VmId, pool, home: pool, zone: record.zone as ZoneName, rack: record.rack as RackName, state: 'serving', since,
	};
}
