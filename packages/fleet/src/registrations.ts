/**
 * Registers VMs that appear in the platform's list for the first time.
 */
import {
	type Clock, type PoolName, type RackName, type RandomSource, type VmId, type ZoneName,
} from '@tamarackwind/core';
import {type VmRecord} from '@tamarackwind/clients';
import {type FleetState} from './mirrors.js';
import {type VmRow} from './rows.js';
import {type FleetStore} from './stores.js';

export type VmRegistrarOptions = {readonly clock: Clock; readonly random: RandomSource; readonly store: FleetStore};

const registrationBatchSize = 500;
const maxRegistrationDelayMs = 2000;

/** Inserts rows of new VMs. Every entry tries; the check of the fleet version lets only one succeed. */
export class VmRegistrar {
	static create(options: VmRegistrarOptions): VmRegistrar {
		return new VmRegistrar(options);
	}

	readonly #options: VmRegistrarOptions;
	#registerAt: number | undefined;

	private constructor(options: VmRegistrarOptions) {
		this.#options = options;
	}

	/** Inserts rows for listed workers that have none, after a random delay that avoids conflicts between entries. */
	async addMissingVms(records: readonly VmRecord[], state: FleetState): Promise<void> {
		const missing = records.filter(record => record.kind === 'worker' && record.pool !== undefined && !state.vms.has(record.vmId as VmId));
		if (missing.length === 0) {
			this.#registerAt = undefined;
			return;
		}

		const {clock, random, store} = this.#options;
		const now = clock.readMonotonic();
		this.#registerAt ??= now + (state.vms.size === 0 ? 0 : random.readFraction() * maxRegistrationDelayMs);
		if (now >= this.#registerAt) {
			const rows = missing.slice(0, registrationBatchSize).map(record => createVmRow(record, clock.readWall()));
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
