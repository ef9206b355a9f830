/**
 * Fakes of the interfaces that the fleet management uses, in simulated time.
 */
import {
	Clock, VerdictError, type ManualClock, type RandomSource,
} from '@tamarackwind/core';
import {VmProbe, currentFleetKey} from '@tamarackwind/fleet';
import {
	TableService, VmControl, VmList, type CommitOutcome, type MemoryTableService, type Row, type RowKey, type ScanOptions, type Transaction, type VmListing, type VmRecord,
} from '@tamarackwind/clients';

/** Pauses a simulated process, as SIGSTOP does. */
export class PauseGate {
	#waiting: Array<() => void> = [];
	#isPaused = false;

	get isPaused(): boolean {
		return this.#isPaused;
	}

	pause(): void {
		this.#isPaused = true;
	}

	resume(): void {
		this.#isPaused = false;
		const waiting = this.#waiting;
		this.#waiting = [];
		for (const resolve of waiting) {
			resolve();
		}
	}

	async waitUntilResumed(): Promise<void> {
		if (this.#isPaused) {
			await new Promise<void>(resolve => {
				this.#waiting.push(resolve);
			});
		}
	}
}

/** Clock of one simulated process: a sleep ends only while the process is not paused, and wall time has an offset. */
export class ProcessClock extends Clock {
	wallOffsetMs = 0;
	readonly #clock: ManualClock;
	readonly #gate: PauseGate;

	constructor(clock: ManualClock, gate: PauseGate) {
		super();
		this.#clock = clock;
		this.#gate = gate;
	}

	override readMonotonic(): number {
		return this.#clock.readMonotonic();
	}

	override readWall(): number {
		return this.#clock.readWall() + this.wallOffsetMs;
	}

	override startTimer(ms: number, run: () => void): () => void {
		let isCancelled = false;
		const fire = async (): Promise<void> => {
			await this.#gate.waitUntilResumed();
			if (!isCancelled) {
				run();
			}
		};

		const cancel = this.#clock.startTimer(ms, () => {
			void fire();
		});
		return () => {
			isCancelled = true;
			cancel();
		};
	}

	override async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		await this.#clock.sleep(ms, signal);
		await this.#gate.waitUntilResumed();
	}
}

/** Faults of the simulated table service. */
export class SimulatedFaults {
	isDown = false;
	delayMs = 0;
	/** Fraction of the writes whose responses are lost. */
	lossRate = 0;
}

export type ProcessTablesOptions = {
	readonly tables: MemoryTableService;
	readonly clock: ManualClock;
	readonly gate: PauseGate;
	readonly faults: SimulatedFaults;
	readonly random: RandomSource;
	readonly onCommit: () => void;
};

/** Table service as seen by one simulated process. */
export class ProcessTables extends TableService {
	/** Whether this process cannot reach the platform. */
	isDisconnected = false;
	/** Start time of the latest successful read of the fleet version. */
	polledAt = Number.NEGATIVE_INFINITY;
	readonly #options: ProcessTablesOptions;

	constructor(options: ProcessTablesOptions) {
		super();
		this.#options = options;
	}

	override async getRows(keys: readonly RowKey[]): Promise<Array<Row | undefined>> {
		const startedAt = this.#options.clock.readMonotonic();
		const rows = await this.#call(async () => this.#options.tables.getRows(keys));
		if (keys.some(({table}) => table === currentFleetKey.table)) {
			this.polledAt = startedAt;
		}

		return rows;
	}

	override async scanRows(table: string, options?: ScanOptions): Promise<Row[]> {
		return this.#call(async () => this.#options.tables.scanRows(table, options));
	}

	override async commit(transaction: Transaction): Promise<CommitOutcome> {
		return this.#call(async () => {
			const outcome = await this.#options.tables.commit(transaction);
			this.#options.onCommit();
			if (this.#options.random.readFraction() < this.#options.faults.lossRate) {
				throw new VerdictError('answer was lost', {verdict: 'may-have-run', code: 'platform_unavailable'});
			}

			return outcome;
		});
	}

	override async close(): Promise<void> {}

	async #call<T>(run: () => Promise<T>): Promise<T> {
		const {gate, faults, clock} = this.#options;
		await gate.waitUntilResumed();
		if (faults.delayMs > 0) {
			await clock.sleep(faults.delayMs);
		}

		if (faults.isDown || this.isDisconnected) {
			throw new VerdictError('platform is down', {verdict: 'not-run', code: 'platform_unavailable'});
		}

		try {
			return await run();
		} finally {
			await gate.waitUntilResumed();
		}
	}
}

/** Outcome of a reboot or failure: the downtime, and whether the VM never comes back. */
export type RebootOutcome = {readonly afterMs: number; readonly isLost: boolean};

type SimulatedVm = {
	record: VmRecord;
	isUp: boolean;
	/** Time at which the VM last went up or down. */
	changedAt: number;
	incarnation: number;
};

export type SimulatedVmsOptions = {
	readonly clock: ManualClock;
	readonly records: readonly VmRecord[];
	readonly chooseRebootOutcome: (record: VmRecord) => RebootOutcome;
	/** Called when a VM goes down for a reboot. */
	readonly onReboot: (vmId: string) => void;
};

/** Simulates the VMs, their reboots and a VM list that lags. */
export class SimulatedVms {
	listLagMs = 0;
	isListDown = false;
	rebootCount = 0;
	readonly vms = new Map<string, SimulatedVm>();
	readonly #options: SimulatedVmsOptions;
	readonly #rebootTokens = new Set<string>();
	#listings: Array<{readonly since: number; readonly listing: VmListing}> = [];

	constructor(options: SimulatedVmsOptions) {
		this.#options = options;
		for (const record of options.records) {
			this.vms.set(record.vmId, {
				record, isUp: true, changedAt: Number.NEGATIVE_INFINITY, incarnation: 1,
			});
		}

		this.#publish(Number.NEGATIVE_INFINITY);
	}

	/** Takes a VM down; it restarts with a new incarnation unless it is lost. */
	failVm(vmId: string, {afterMs, isLost}: RebootOutcome): void {
		const vm = this.vms.get(vmId)!;
		this.#updateVm(vm, {isUp: false, state: 'rebooting'});
		if (!isLost) {
			void this.#options.clock.sleep(afterMs).then(() => {
				this.recoverVm(vmId);
			});
		}
	}

	recoverVm(vmId: string): void {
		const vm = this.vms.get(vmId)!;
		if (!vm.isUp) {
			vm.incarnation++;
			this.#updateVm(vm, {isUp: true, state: 'live'});
		}
	}

	rebootVm(vmId: string, token: string): void {
		if (this.#rebootTokens.has(token)) {
			return;
		}

		this.#rebootTokens.add(token);
		this.rebootCount++;
		this.#options.onReboot(vmId);
		this.failVm(vmId, this.#options.chooseRebootOutcome(this.vms.get(vmId)!.record));
	}

	listVms(): VmListing {
		if (this.isListDown) {
			throw new VerdictError('platform is down', {verdict: 'not-run', code: 'platform_unavailable'});
		}

		const until = this.#options.clock.readMonotonic() - this.listLagMs;
		return (this.#listings.findLast(({since}) => since <= until) ?? this.#listings[0]!).listing;
	}

	#updateVm(vm: SimulatedVm, {isUp, state}: {isUp: boolean; state: VmRecord['state']}): void {
		vm.isUp = isUp;
		vm.changedAt = this.#options.clock.readMonotonic();
		vm.record = {...vm.record, state, incarnation: String(vm.incarnation)};
		this.#publish(vm.changedAt);
	}

	#publish(since: number): void {
		const generation = (this.#listings.at(-1)?.listing.generation ?? 0) + 1;
		this.#listings = [...this.#listings.slice(-100), {since, listing: {generation, vms: [...this.vms.values()].map(vm => vm.record)}}];
	}
}

/** VM list as seen by one simulated process. */
export class ProcessVms extends VmList {
	readonly #vms: SimulatedVms;
	readonly #gate: PauseGate;

	constructor(vms: SimulatedVms, gate: PauseGate) {
		super();
		this.#vms = vms;
		this.#gate = gate;
	}

	override async listVms(): Promise<VmListing> {
		await this.#gate.waitUntilResumed();
		const listing = this.#vms.listVms();
		await this.#gate.waitUntilResumed();
		return listing;
	}

	override async close(): Promise<void> {}
}

export class ProcessVmControl extends VmControl {
	readonly #vms: SimulatedVms;
	readonly #gate: PauseGate;

	constructor(vms: SimulatedVms, gate: PauseGate) {
		super();
		this.#vms = vms;
		this.#gate = gate;
	}

	override async rebootVm(vmId: string, token: string): Promise<void> {
		await this.#gate.waitUntilResumed();
		this.#vms.rebootVm(vmId, token);
	}

	override async close(): Promise<void> {}
}

export class SimulatedProbe extends VmProbe {
	readonly #vms: SimulatedVms;

	constructor(vms: SimulatedVms) {
		super();
		this.#vms = vms;
	}

	override async probeVm({vmId}: VmRecord): Promise<boolean> {
		return this.#vms.vms.get(vmId)?.isUp ?? false;
	}
}
