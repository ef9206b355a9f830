/**
 * Runs the fleet management of several entries in simulated time on one table service, with injected faults.
 */
import {
	Log, ManualClock, SeededRandom, type EntryId, type PoolName, type RandomSource, type VmId,
} from '@tamarackwind/core';
import {
	FleetCommands, DemandSource, DrainReporter, FleetPlanner, FleetView, RebalancePlanner, TableDrainSource, fleetTables, type Demand, type VmRow,
} from '@tamarackwind/fleet';
import {VersionBarrier, ViewVersions, type ViewPart} from '@tamarackwind/peer';
import {LeaderLease, MemoryTableService, type VmRecord} from '@tamarackwind/clients';
import {type ResolvedPool} from '@tamarackwind/settings';
import {FleetChecker} from './fleet-checkers.js';
import {
	PauseGate, ProcessClock, ProcessTables, ProcessVmControl, ProcessVms, SimulatedFaults, SimulatedProbe, SimulatedVms, type RebootOutcome,
} from './fleet-fakes.js';

export type FleetSimulationOptions = {
	readonly seed: number;
	readonly entries: number;
	readonly pools: readonly ResolvedPool[];
	readonly records: readonly VmRecord[];
	readonly chooseRebootOutcome: (record: VmRecord, random: RandomSource) => RebootOutcome;
	/** Maximum duration of a request, in milliseconds. */
	readonly maxRunMs: number;
	/** Requests per second that one entry sends to one VM. */
	readonly requestRate: number;
	readonly readDemand?: (now: number) => Demand;
	/** Disables a safety mechanism, to prove that the checks detect its absence. */
	readonly without?: 'barrier' | 'drains' | 'duty';
};

const leaseMs = 3000;
const maxEntries = 1000;
/** Time after which every planner must have detected that a VM is down, in milliseconds; it covers the lag and the age of the VM list. */
const knownDownMs = 60_000;

class SimulatedBarrier extends VersionBarrier {
	readonly #simulation: FleetSimulation;

	constructor(simulation: FleetSimulation) {
		super();
		this.#simulation = simulation;
	}

	override async waitForVersion(_part: ViewPart, version: number, timeoutMs: number): Promise<boolean> {
		const {clock} = this.#simulation;
		const end = clock.readMonotonic() + timeoutMs;
		while (!this.#simulation.entries.every(entry => entry.versions.getVersion('fleet') >= version || !entry.hasLease)) {
			if (clock.readMonotonic() >= end) {
				return false;
			}

			await clock.sleep(100);
		}

		return true;
	}
}

class DisabledBarrier extends VersionBarrier {
	override async waitForVersion(): Promise<boolean> {
		return true;
	}
}

class SimulatedDemand extends DemandSource {
	readonly #read: () => Demand;

	constructor(read: () => Demand) {
		super();
		this.#read = read;
	}

	override async readDemand(): Promise<Demand> {
		return this.#read();
	}
}

/** One entry of a fleet simulation. */
export class SimulatedEntry {
	readonly gate = new PauseGate();
	readonly clock: ProcessClock;
	readonly versions = ViewVersions.create();
	readonly tables: ProcessTables;
	readonly view: FleetView;
	readonly commands: FleetCommands;
	readonly #simulation: FleetSimulation;
	readonly #planner: FleetPlanner;
	readonly #drains: DrainReporter;
	readonly #random: RandomSource;
	readonly #inFlight = new Map<VmId, number>();
	#isClosed = false;

	constructor(simulation: FleetSimulation, index: number) {
		const {options, clock: manualClock, vms} = simulation;
		const entryId = `entry-${index + 1}` as EntryId;
		const random = SeededRandom.create((options.seed * maxEntries) + index);
		this.#simulation = simulation;
		this.#random = random;
		this.clock = new ProcessClock(manualClock, this.gate);
		this.tables = new ProcessTables({
			tables: simulation.tables, clock: manualClock, gate: this.gate, faults: simulation.faults, random,
			onCommit() {
				simulation.checkCommit();
			},
		});
		const {clock, tables, versions} = this;
		this.view = FleetView.create({
			clock, tables, versions, random, vmList: new ProcessVms(vms, this.gate),
		});
		const pools = new Map(options.pools.map(pool => [pool.name, pool]));
		const onError = (error: unknown): void => {
			simulation.recordError(error);
		};

		this.commands = FleetCommands.create({
			clock, tables, store: this.view.store, readPools: () => pools, auditAction: async () => ({checks: [], writes: []}),
		});
		this.#drains = DrainReporter.create({
			clock, tables, entryId, onError, readState: () => this.view.state, countInFlight: vmId => this.#inFlight.get(vmId) ?? 0,
		});
		const drains = TableDrainSource.create(tables, () => simulation.entries.map((_, other) => `entry-${other + 1}` as EntryId));
		if (options.without === 'drains') {
			drains.isReportedIdle = () => true;
		}

		const lease = LeaderLease.create({
			tables, clock, random, role: 'fleet', holder: entryId,
		});
		if (options.without === 'duty') {
			lease.refresh = async () => true;
			Object.defineProperty(lease, 'check', {value: {table: 'none', key: 'none', version: 0}});
			Object.defineProperty(lease, 'isHeld', {value: true});
		}

		this.#planner = FleetPlanner.create({
			clock, tables, onError, drains, lease, log: Log.createSilent(), store: this.view.store,
			barrier: options.without === 'barrier' ? new DisabledBarrier() : new SimulatedBarrier(simulation),
			demand: new SimulatedDemand(() => options.readDemand?.(clock.readMonotonic()) ?? new Map()),
			rebalancePlanner: RebalancePlanner.create({random}),
			probe: new SimulatedProbe(vms),
			vmControl: new ProcessVmControl(vms, this.gate),
			readListing: () => this.view.listing,
			readSettings: () => ({pools, readMaxRunMs: () => options.maxRunMs}),
		});
		if (options.requestRate > 0) {
			void this.#sendRequests();
		}
	}

	/** Whether the entry's view is recent enough to dispatch requests. */
	get hasLease(): boolean {
		return this.#simulation.clock.readMonotonic() - this.tables.polledAt < leaseMs;
	}

	async close(): Promise<void> {
		this.#isClosed = true;
		this.gate.resume();
		await Promise.all([this.view.close(), this.#planner.close(), this.#drains.close()]);
	}

	async #sendRequests(): Promise<void> {
		const {options} = this.#simulation;
		while (!this.#isClosed) {
			await this.clock.sleep(1000 * this.#random.readFraction());
			const workers = options.pools.flatMap(pool => this.view.listWorkers(pool.name));
			for (const {vmId, pool} of this.hasLease ? workers : []) {
				if (this.#random.readFraction() < options.requestRate / 2) {
					void this.#runRequest(vmId, pool);
				}
			}
		}
	}

	/** Runs one request; its work ends on the worker even while the entry is paused. */
	async #runRequest(vmId: VmId, pool: PoolName): Promise<void> {
		const {checker, clock, options} = this.#simulation;
		checker.startWork(vmId, pool);
		this.#inFlight.set(vmId, (this.#inFlight.get(vmId) ?? 0) + 1);
		await clock.sleep(options.maxRunMs * this.#random.readFraction());
		checker.finishWork(vmId, pool);
		await this.gate.waitUntilResumed();
		this.#inFlight.set(vmId, this.#inFlight.get(vmId)! - 1);
	}
}

/**
 * Runs several entries, the VMs and the platform in simulated time.
 *
 * @example
 * const simulation = FleetSimulation.create({seed: 1, entries: 3, pools, records, ...});
 * await simulation.run(60_000);
 * simulation.checker.violations; // []
 */
export class FleetSimulation {
	static create(options: FleetSimulationOptions): FleetSimulation {
		return new FleetSimulation(options);
	}

	readonly clock = ManualClock.create(1_000_000);
	readonly tables = MemoryTableService.create();
	readonly faults = new SimulatedFaults();
	readonly options: FleetSimulationOptions;
	readonly random: RandomSource;
	readonly vms: SimulatedVms;
	readonly checker: FleetChecker;
	readonly entries: SimulatedEntry[] = [];
	readonly errors = new Map<string, number>();

	private constructor(options: FleetSimulationOptions) {
		this.options = options;
		this.random = SeededRandom.create(options.seed);
		this.checker = new FleetChecker({
			budgets: new Map(options.pools.map(pool => [pool.name, pool.budget])),
			isKnownDown: vmId => this.#isKnownDown(vmId),
			readIncarnation: vmId => String(this.vms.vms.get(vmId)!.incarnation),
		});
		this.vms = new SimulatedVms({
			clock: this.clock,
			records: options.records,
			chooseRebootOutcome: record => options.chooseRebootOutcome(record, this.random),
			onReboot: vmId => {
				this.checker.checkReboot(vmId as VmId);
			},
		});
		for (let index = 0; index < options.entries; index++) {
			this.entries.push(new SimulatedEntry(this, index));
		}
	}

	/** Advances simulated time. */
	async run(ms: number): Promise<void> {
		await this.clock.advance(ms);
	}

	/** Advances time until a condition holds or `timeoutMs` has passed; returns whether the condition holds. */
	async runUntil(condition: () => boolean, timeoutMs: number, stepMs = 1000): Promise<boolean> {
		const end = this.clock.readMonotonic() + timeoutMs;
		while (!condition() && this.clock.readMonotonic() < end) {
			await this.run(stepMs);
		}

		return condition();
	}

	/** Reads the rows of a table directly, without injected faults. */
	async readTable<T>(table: string): Promise<T[]> {
		return (await this.tables.listRows(table)).map(row => row.value as T);
	}

	checkCommit(): void {
		void this.#checkRows();
	}

	recordError(error: unknown): void {
		const {message} = (error as Error);
		this.errors.set(message, (this.errors.get(message) ?? 0) + 1);
	}

	async close(): Promise<void> {
		this.faults.isDown = false;
		this.faults.delayMs = 0;
		const closing = Promise.all(this.entries.map(async entry => entry.close()));
		let isClosed = false;
		void closing.then(() => {
			isClosed = true;
		});
		await this.runUntil(() => isClosed, 600_000);
	}

	async #checkRows(): Promise<void> {
		const rows = await this.readTable<VmRow>(fleetTables.vms);
		this.checker.checkRows(new Map(rows.map(row => [row.vmId, row])));
	}

	#isKnownDown(vmId: VmId): boolean {
		const vm = this.vms.vms.get(vmId);
		return vm !== undefined && !vm.isUp && this.clock.readMonotonic() - vm.changedAt > knownDownMs;
	}
}
