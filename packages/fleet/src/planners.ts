/**
 * The planner of the fleet: carries out waves and moves on whichever entry holds the duty.
 */
import {
	Loop, readErrorMessage, type Clock, type Log, type PoolName, type VmId,
} from '@tamarackwind/core';
import {type VersionBarrier} from '@tamarackwind/peer';
import {
	type DutyLease, type TableService, type VmControl, type VmRecord,
} from '@tamarackwind/clients';
import {type ResolvedPool} from '@tamarackwind/settings';
import {type DemandSource} from './demands.js';
import {type DrainSource} from './drains.js';
import {type FleetState} from './mirrors.js';
import {planMoves} from './moves.js';
import {type Demand, type NeedPlanner} from './needs.js';
import {type PlanContext} from './plans.js';
import {ProbeBook, type VmProbe} from './probes.js';
import {fleetTables, type VmRow} from './rows.js';
import {FleetSnapshot} from './snapshots.js';
import {type FleetStore} from './stores.js';
import {type ReadListing} from './views.js';
import {planWaves} from './waves.js';
import {WorkReader, type FleetWork} from './works.js';

/** Settings that the planner goes by. */
export type PlannerSettings = {
	readonly pools: ReadonlyMap<PoolName, ResolvedPool>;
	/** Longest time that a request to a pool may run, in milliseconds. */
	readonly readMaxRunMs: (pool: PoolName) => number;
};

export type FleetPlannerOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly tables: TableService;
	readonly store: FleetStore;
	readonly duty: DutyLease;
	readonly barrier: VersionBarrier;
	readonly drains: DrainSource;
	readonly demand: DemandSource;
	readonly needs: NeedPlanner;
	readonly probe: VmProbe;
	readonly vmControl: VmControl;
	readonly readListing: () => ReadListing | undefined;
	readonly readSettings: () => PlannerSettings | undefined;
	readonly onError: (error: unknown) => void;
	/** Pause between two turns, in milliseconds. */
	readonly intervalMs?: number;
};

type Sighting = {readonly key: string; readonly at: number};

const defaultIntervalMs = 500;
/** Age at which the list no longer tells which VMs are live. */
const maxListingAgeMs = 15_000;
const barrierTimeoutMs = 10_000;
const rebootRetryMs = 30_000;
const probeRoundMs = 2000;
/** Time for which a VM must be missing from the list before its row is removed. */
const departureMs = 600_000;

/** Plans again and again while this process holds the duty. */
export class FleetPlanner {
	static create(options: FleetPlannerOptions): FleetPlanner {
		return new FleetPlanner(options);
	}

	readonly #options: FleetPlannerOptions;
	readonly #works: WorkReader;
	readonly #probes: ProbeBook;
	readonly #loop: Loop;
	readonly #sightings = new Map<VmId, Sighting>();
	/** Time since which no entry sends work to a draining VM. */
	readonly #quietSince = new Map<VmId, Sighting>();
	readonly #missingSince = new Map<VmId, number>();
	readonly #rebootedAt = new Map<string, number>();
	#passedVersion = 0;
	#awaitedVersion = 0;
	#probedAt = Number.NEGATIVE_INFINITY;
	#heldVms: ReadonlySet<VmId> = new Set();

	private constructor(options: FleetPlannerOptions) {
		this.#options = options;
		this.#works = WorkReader.create(options.tables);
		this.#probes = ProbeBook.create({probe: options.probe});
		this.#loop = Loop.create({
			clock: options.clock, intervalMs: options.intervalMs ?? defaultIntervalMs, run: async () => this.#runTurn(), onError: options.onError,
		});
	}

	/** Stops planning and gives the duty up. */
	async close(): Promise<void> {
		await this.#loop.close();
		try {
			await this.#options.duty.release();
		} catch (error) {
			this.#options.onError(error);
		}
	}

	async #runTurn(): Promise<void> {
		const {duty, store, readSettings} = this.#options;
		const settings = readSettings();
		if (!await duty.refresh() || settings === undefined) {
			this.#reset();
			return;
		}

		const state = await store.mirror.refresh();
		const work = await this.#works.readWork(state);
		await this.#observe(state, work);
		const demand = await this.#options.demand.readDemand();
		const snapshot = this.#plan(state, settings, work, demand);
		await this.#commit(state, snapshot);
		await this.#rebootVms(work);
	}

	/** Drops what was seen while the duty was held, since it may have changed unseen. */
	#reset(): void {
		this.#sightings.clear();
		this.#quietSince.clear();
		this.#missingSince.clear();
		this.#probes.clear();
		this.#passedVersion = 0;
		this.#awaitedVersion = 0;
	}

	async #observe(state: FleetState, work: FleetWork): Promise<void> {
		const rows = [...state.vms.values()];
		const now = this.#options.clock.readMonotonic();
		noteSightings(this.#sightings, rows, now);
		noteSightings(this.#quietSince, rows.filter(row => row.state === 'draining' && (row.drainVersion ?? 0) <= this.#passedVersion), now);
		if (rows.some(row => row.state === 'draining')) {
			await this.#options.drains.refresh();
			this.#waitForBarrier(rows);
		}

		const isActive = work.waves.length > 0 || work.moves.length > 0;
		if (isActive && now - this.#probedAt >= probeRoundMs) {
			this.#probedAt = now;
			this.#heldVms = await this.#works.readHeldVms();
			await this.#runProbes(state, work, now);
		}
	}

	/** Waits in the background until no entry serves by a version before the draining VMs. */
	#waitForBarrier(rows: readonly VmRow[]): void {
		const version = Math.max(...rows.filter(row => row.state === 'draining').map(row => row.drainVersion ?? 0));
		if (version <= this.#passedVersion || this.#awaitedVersion > 0) {
			return;
		}

		this.#awaitedVersion = version;
		const wait = async (): Promise<void> => {
			try {
				const hasPassed = await this.#options.barrier.waitForVersion('fleet', version, barrierTimeoutMs);
				this.#passedVersion = hasPassed ? Math.max(version, this.#passedVersion) : this.#passedVersion;
			} catch (error) {
				this.#options.onError(error);
			} finally {
				this.#awaitedVersion = 0;
			}
		};

		void wait();
	}

	async #runProbes(state: FleetState, work: FleetWork, now: number): Promise<void> {
		const pools = new Set<PoolName>(work.moves.map(move => move.from));
		for (const vmId of work.waves.flatMap(({targets}) => targets)) {
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
		await this.#probes.runRound(returning, members, now);
	}

	/** Gives the listed VMs; none when the list is too old to tell. */
	#readRecords(): ReadonlyMap<string, VmRecord> {
		const listing = this.#options.readListing();
		const isFresh = listing !== undefined && this.#options.clock.readMonotonic() - listing.readAt < maxListingAgeMs;
		return new Map(isFresh ? listing.vms.map(vm => [vm.vmId, vm]) : []);
	}

	#plan(state: FleetState, settings: PlannerSettings, work: FleetWork, demand: Demand): FleetSnapshot {
		const {clock, needs} = this.#options;
		const now = clock.readMonotonic();
		const records = this.#readRecords();
		const snapshot = FleetSnapshot.create({rows: state.vms, records, silentVms: this.#probes.listSilentVms<VmId>()});
		const readAge = (row: VmRow): number => now - (this.#sightings.get(row.vmId)?.at ?? now);
		const ctx: PlanContext = {
			snapshot,
			pools: settings.pools,
			nextVersion: state.version + 1,
			now: clock.readWall(),
			heldVms: this.#heldVms,
			isDrained: row => this.#isDrained(row, settings, now),
			isBack: row => this.#isBack(row, records.get(row.vmId)),
			readAge,
		};
		planWaves(ctx, work.waves);
		planMoves(ctx, work.moves, state.vms.values());
		for (const move of needs.planNeeds(ctx, demand, work.moves, now)) {
			snapshot.addWrite({table: fleetTables.moves, key: move.moveId, value: move});
		}

		this.#removeDeparted(snapshot, state, now);
		for (const key of work.expired) {
			snapshot.addWrite(key);
		}

		return snapshot;
	}

	/** Work is over once every entry says so, or once no request that was sent can run any longer. */
	#isDrained(row: VmRow, settings: PlannerSettings, now: number): boolean {
		const quiet = this.#quietSince.get(row.vmId);
		return quiet?.key === formatSightingKey(row) && (this.#options.drains.isReported(row) || now - quiet.at > settings.readMaxRunMs(row.pool));
	}

	#isBack(row: VmRow, record: VmRecord | undefined): boolean {
		return record?.state === 'live' && record.incarnation !== row.incarnation && this.#probes.isAnswering(record);
	}

	#removeDeparted(snapshot: FleetSnapshot, state: FleetState, now: number): void {
		const records = this.#readRecords();
		for (const row of records.size === 0 ? [] : state.vms.values()) {
			if (records.has(row.vmId)) {
				this.#missingSince.delete(row.vmId);
				continue;
			}

			const since = this.#missingSince.get(row.vmId) ?? now;
			this.#missingSince.set(row.vmId, since);
			if (now - since > departureMs) {
				snapshot.removeRow(row);
				this.#missingSince.delete(row.vmId);
			}
		}
	}

	async #commit(state: FleetState, {changes, writes}: FleetSnapshot): Promise<void> {
		const {check} = this.#options.duty;
		if (check !== undefined && (changes.size > 0 || writes.length > 0)) {
			await this.#options.store.commitChange(state, {vms: changes, writes, checks: [check]});
		}
	}

	/** Starts the reboots that are due; the token makes a repeated call harmless. */
	async #rebootVms({waves}: FleetWork): Promise<void> {
		const rebootWaves = new Set(waves.filter(({wave}) => wave.action === 'reboot').map(({wave}) => wave.waveId));
		const rows = [...this.#options.store.mirror.state?.vms.values() ?? []];
		const records = this.#readRecords();
		const due = rows.filter(row => row.state === 'out' && row.work?.kind === 'wave' && rebootWaves.has(row.work.id)
			&& (records.get(row.vmId)?.incarnation ?? row.incarnation) === row.incarnation);
		await Promise.all(due.map(async row => this.#rebootVm(row)));
	}

	async #rebootVm(row: VmRow): Promise<void> {
		const {clock, duty, vmControl, log, onError} = this.#options;
		const token = `${row.work!.id}.${row.vmId}`;
		const now = clock.readMonotonic();
		if (!duty.isHeld || now - (this.#rebootedAt.get(token) ?? Number.NEGATIVE_INFINITY) < rebootRetryMs) {
			return;
		}

		this.#rebootedAt.set(token, now);
		try {
			await vmControl.rebootVm(row.vmId, token);
		} catch (error) {
			log.warn('reboot was not accepted', {vm: row.vmId, reason: readErrorMessage(error)});
			onError(error);
		}
	}
}

function formatSightingKey(row: VmRow): string {
	return `${row.state} ${row.work?.id ?? ''} ${row.since}`;
}

/** Notes when each row was first seen as it is now. */
function noteSightings(sightings: Map<VmId, Sighting>, rows: readonly VmRow[], now: number): void {
	for (const row of rows) {
		const key = formatSightingKey(row);
		if (sightings.get(row.vmId)?.key !== key) {
			sightings.set(row.vmId, {key, at: now});
		}
	}
}
