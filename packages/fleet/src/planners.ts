/**
 * Executes waves and moves on the entry that holds the fleet lease.
 */
import {
	Loop, readErrorMessage, type Clock, type Log, type PoolName, type VmId,
} from '@tamarackwind/core';
import {type VersionBarrier} from '@tamarackwind/peer';
import {
	type LeaderLease, type TableService, type VmControl, type VmRecord,
} from '@tamarackwind/clients';
import {type ResolvedPool} from '@tamarackwind/settings';
import {type DemandSource} from './demands.js';
import {type DrainSource} from './drains.js';
import {type FleetState} from './mirrors.js';
import {planMoves} from './moves.js';
import {type Demand, type RebalancePlanner} from './rebalance-planners.js';
import {type PlanContext} from './plan-contexts.js';
import {VmProber, type VmProbe} from './probes.js';
import {fleetTables, type VmRow} from './rows.js';
import {FleetSnapshot} from './snapshots.js';
import {type FleetStore} from './stores.js';
import {type TimedListing} from './views.js';
import {planWaves} from './waves.js';
import {OperationReader, type FleetOperations} from './operations.js';

/** Settings that the planner uses. */
export type PlannerSettings = {
	readonly pools: ReadonlyMap<PoolName, ResolvedPool>;
	/** Returns the longest time that a request to a pool may run, in milliseconds. */
	readonly readMaxRunMs: (pool: PoolName) => number;
};

export type FleetPlannerOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly tables: TableService;
	readonly store: FleetStore;
	readonly lease: LeaderLease;
	readonly barrier: VersionBarrier;
	readonly drains: DrainSource;
	readonly demand: DemandSource;
	readonly rebalancePlanner: RebalancePlanner;
	readonly probe: VmProbe;
	readonly vmControl: VmControl;
	readonly readListing: () => TimedListing | undefined;
	readonly readSettings: () => PlannerSettings | undefined;
	readonly onError: (error: unknown) => void;
	/** Pause between two turns, in milliseconds. */
	readonly intervalMs?: number;
};

/** Key of a VM row's state and the monotonic time at which it was first observed, in milliseconds. */
type StateObservation = {readonly key: string; readonly at: number};

const defaultIntervalMs = 500;
/** Age from which the platform's list is too old to show which VMs are live. */
const maxListingAgeMs = 15_000;
const barrierTimeoutMs = 10_000;
const rebootRetryMs = 30_000;
const probeIntervalMs = 2000;
/** Time that a VM must be missing from the platform's list before its row is removed. */
const missingVmRetentionMs = 600_000;

/** Runs a planning turn at a fixed interval while this process holds the lease. */
export class FleetPlanner {
	static create(options: FleetPlannerOptions): FleetPlanner {
		return new FleetPlanner(options);
	}

	readonly #options: FleetPlannerOptions;
	readonly #operationReader: OperationReader;
	readonly #prober: VmProber;
	readonly #loop: Loop;
	readonly #observations = new Map<VmId, StateObservation>();
	/** Times since which no entry dispatches work to each draining VM. */
	readonly #dispatchStoppedAt = new Map<VmId, StateObservation>();
	readonly #missingSince = new Map<VmId, number>();
	readonly #rebootRequestedAt = new Map<string, number>();
	#appliedVersion = 0;
	#awaitedVersion = 0;
	#probedAt = Number.NEGATIVE_INFINITY;
	#heldVms: ReadonlySet<VmId> = new Set();

	private constructor(options: FleetPlannerOptions) {
		this.#options = options;
		this.#operationReader = OperationReader.create(options.tables);
		this.#prober = VmProber.create({probe: options.probe});
		this.#loop = Loop.create({
			clock: options.clock, intervalMs: options.intervalMs ?? defaultIntervalMs, run: async () => this.#runTurn(), onError: options.onError,
		});
	}

	/** Stops planning and releases the lease. */
	async close(): Promise<void> {
		await this.#loop.close();
		try {
			await this.#options.lease.release();
		} catch (error) {
			this.#options.onError(error);
		}
	}

	async #runTurn(): Promise<void> {
		const {lease, store, readSettings} = this.#options;
		const settings = readSettings();
		if (!await lease.refresh() || settings === undefined) {
			this.#reset();
			return;
		}

		const state = await store.mirror.refresh();
		const operations = await this.#operationReader.readOperations(state);
		await this.#observe(state, operations);
		const demand = await this.#options.demand.readDemand();
		const snapshot = this.#plan(state, settings, operations, demand);
		await this.#commit(state, snapshot);
		await this.#rebootVms(operations);
	}

	/** Discards all observations, because they may be stale when the lease is acquired again. */
	#reset(): void {
		this.#observations.clear();
		this.#dispatchStoppedAt.clear();
		this.#missingSince.clear();
		this.#prober.clear();
		this.#appliedVersion = 0;
		this.#awaitedVersion = 0;
	}

	async #observe(state: FleetState, operations: FleetOperations): Promise<void> {
		const rows = [...state.vms.values()];
		const now = this.#options.clock.readMonotonic();
		recordFirstSeen(this.#observations, rows, now);
		recordFirstSeen(this.#dispatchStoppedAt, rows.filter(row => row.state === 'draining' && (row.drainVersion ?? 0) <= this.#appliedVersion), now);
		if (rows.some(row => row.state === 'draining')) {
			await this.#options.drains.refresh();
			this.#waitForBarrier(rows);
		}

		const isActive = operations.waves.length > 0 || operations.moves.length > 0;
		if (isActive && now - this.#probedAt >= probeIntervalMs) {
			this.#probedAt = now;
			this.#heldVms = await this.#operationReader.readHeldVms();
			await this.#runProbes(state, operations, now);
		}
	}

	/** Waits in the background until every entry applies the fleet version that drains the VMs. */
	#waitForBarrier(rows: readonly VmRow[]): void {
		const version = Math.max(...rows.filter(row => row.state === 'draining').map(row => row.drainVersion ?? 0));
		if (version <= this.#appliedVersion || this.#awaitedVersion > 0) {
			return;
		}

		this.#awaitedVersion = version;
		const wait = async (): Promise<void> => {
			try {
				const isApplied = await this.#options.barrier.waitForVersion('fleet', version, barrierTimeoutMs);
				this.#appliedVersion = isApplied ? Math.max(version, this.#appliedVersion) : this.#appliedVersion;
			} catch (error) {
				this.#options.onError(error);
			} finally {
				this.#awaitedVersion = 0;
			}
		};

		void wait();
	}

	async #runProbes(state: FleetState, operations: FleetOperations, now: number): Promise<void> {
		const pools = new Set<PoolName>(operations.moves.map(move => move.from));
		for (const vmId of operations.waves.flatMap(({targets}) => targets)) {
			const row = state.vms.get(vmId);
			if (row !== undefined) {
				pools.add(row.pool);
			}
		}

		const live = [...this.#readRecords().values()].filter(record => record.state === 'live');
		const returning = live.filter(record => state.vms.get(record.vmId as VmId)?.state === 'out');
		const members = live.filter(record => {
			const row = state.vms.get(record.vmId as VmId);
			return row?.state === 'serving' && pools.has(row.pool);
		});
		await this.#prober.runRound(returning, members, now);
	}

	/** Returns the VMs of the platform's list, or none if the list is too old. */
	#readRecords(): ReadonlyMap<string, VmRecord> {
		const listing = this.#options.readListing();
		const isFresh = listing !== undefined && this.#options.clock.readMonotonic() - listing.readAt < maxListingAgeMs;
		return new Map(isFresh ? listing.vms.map(vm => [vm.vmId, vm]) : []);
	}

	#plan(state: FleetState, settings: PlannerSettings, operations: FleetOperations, demand: Demand): FleetSnapshot {
		const {clock, rebalancePlanner} = this.#options;
		const now = clock.readMonotonic();
		const records = this.#readRecords();
		const snapshot = FleetSnapshot.create({rows: state.vms, records, silentVms: this.#prober.listSilentVms<VmId>()});
		const readStateAgeMs = (row: VmRow): number => now - (this.#observations.get(row.vmId)?.at ?? now);
		const ctx: PlanContext = {
			snapshot,
			pools: settings.pools,
			nextVersion: state.version + 1,
			now: clock.readWall(),
			heldVms: this.#heldVms,
			isDrained: row => this.#isDrained(row, settings, now),
			hasReturned: row => this.#hasReturned(row, records.get(row.vmId)),
			readStateAgeMs,
		};
		planWaves(ctx, operations.waves);
		planMoves(ctx, operations.moves, state.vms.values());
		for (const move of rebalancePlanner.planRebalancing(ctx, demand, operations.moves, now)) {
			snapshot.addWrite({table: fleetTables.moves, key: move.moveId, value: move});
		}

		this.#removeMissingVms(snapshot, state, now);
		for (const key of operations.expired) {
			snapshot.addWrite(key);
		}

		return snapshot;
	}

	/** Reports whether a VM is drained: every entry reports it idle, or the longest run time of a request has passed since dispatch stopped. */
	#isDrained(row: VmRow, settings: PlannerSettings, now: number): boolean {
		const stopped = this.#dispatchStoppedAt.get(row.vmId);
		return stopped?.key === formatStateKey(row) && (this.#options.drains.isReportedIdle(row) || now - stopped.at > settings.readMaxRunMs(row.pool));
	}

	#hasReturned(row: VmRow, record: VmRecord | undefined): boolean {
		return record?.state === 'live' && record.incarnation !== row.incarnation && this.#prober.isResponding(record);
	}

	#removeMissingVms(snapshot: FleetSnapshot, state: FleetState, now: number): void {
		const records = this.#readRecords();
		for (const row of records.size === 0 ? [] : state.vms.values()) {
			if (records.has(row.vmId)) {
				this.#missingSince.delete(row.vmId);
				continue;
			}

			const since = this.#missingSince.get(row.vmId) ?? now;
			this.#missingSince.set(row.vmId, since);
			if (now - since > missingVmRetentionMs) {
				snapshot.removeRow(row);
				this.#missingSince.delete(row.vmId);
			}
		}
	}

	async #commit(state: FleetState, {changes, writes}: FleetSnapshot): Promise<void> {
		const {check} = this.#options.lease;
		if (check !== undefined && (changes.size > 0 || writes.length > 0)) {
			await this.#options.store.commitChange(state, {vms: changes, writes, checks: [check]});
		}
	}

	/** Requests the reboots that are due. The token makes the request idempotent. */
	async #rebootVms({waves}: FleetOperations): Promise<void> {
		const rebootWaves = new Set(waves.filter(({wave}) => wave.action === 'reboot').map(({wave}) => wave.waveId));
		const rows = [...this.#options.store.mirror.state?.vms.values() ?? []];
		const records = this.#readRecords();
		const due = rows.filter(row => row.state === 'out' && row.work?.kind === 'wave' && rebootWaves.has(row.work.id)
			&& (records.get(row.vmId)?.incarnation ?? row.incarnation) === row.incarnation);
		await Promise.all(due.map(async row => this.#rebootVm(row)));
	}

	async #rebootVm(row: VmRow): Promise<void> {
		const {clock, lease, vmControl, log, onError} = this.#options;
		const token = `${row.work!.id}.${row.vmId}`;
		const now = clock.readMonotonic();
		if (!lease.isHeld || now - (this.#rebootRequestedAt.get(token) ?? Number.NEGATIVE_INFINITY) < rebootRetryMs) {
			return;
		}

		this.#rebootRequestedAt.set(token, now);
		try {
			await vmControl.rebootVm(row.vmId, token);
		} catch (error) {
			log.warn('reboot was not accepted', {vm: row.vmId, reason: readErrorMessage(error)});
			onError(error);
		}
	}
}

function formatStateKey(row: VmRow): string {
	return `${row.state} ${row.work?.id ?? ''} ${row.since}`;
}

/** Records when each row was first observed in its current state. */
function recordFirstSeen(observations: Map<VmId, StateObservation>, rows: readonly VmRow[], now: number): void {
	for (const row of rows) {
		const key = formatStateKey(row);
		if (observations.get(row.vmId)?.key !== key) {
			observations.set(row.vmId, {key, at: now});
		}
	}
}
