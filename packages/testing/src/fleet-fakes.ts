/**
 * Fakes at the fleet's interfaces, in simulated time.
 */
import {
	Clock, VerdictError, type ManualClock, type RandomSource,
} from '@tamarackwind/core';
import {VmProbe, currentFleetKey} from '@tamarackwind/fleet';
import {
	TableService, VmControl, VmList, type CommitOutcome, type MemoryTableService, type Row, type RowKey, type ScanOptions, type Transaction, type VmListing, type VmRecord,
} from '@tamarackwind/clients';

/** Holds a simulated process up, as SIGSTOP does. */
export class Gate {
	#waiting: Array<() => void> = [];
	#isClosed = false;

	get isClosed(): boolean {
		return this.#isClosed;
	}

	close(): void {
		this.#isClosed = true;
	}

	open(): void {
		this.#isClosed = false;
		const waiting = this.#waiting;
		this.#waiting = [];
		for (const resolve of waiting) {
			resolve();
		}
	}

	async pass(): Promise<void> {
		if (this.#isClosed) {
			await new Promise<void>(resolve => {
				this.#waiting.push(resolve);
			});
		}
	}
}

/** The clock of one simulated process: sleeps end no earlier than the process runs, wall time is off. */
export class ProcessClock extends Clock {
	wallOffsetMs = 0;
	readonly #clock: ManualClock;
	readonly #gate: Gate;

	constructor(clock: ManualClock, gate: Gate) {
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

	override async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		await this.#clock.sleep(ms, signal);
		await this.#gate.pass();
	}
}

/** Faults of the simulated table service. */
export class SimulatedFaults {
	isDown = false;
	delayMs = 0;
	/** Part of the writes whose answers are lost. */
	lossRate = 0;
}

export type ProcessTablesOptions = {
	readonly tables: MemoryTableService;
	readonly clock: ManualClock;
	readonly gate: Gate;
	readonly faults: SimulatedFaults;
	readonly random: RandomSource;
	readonly onCommit: () => void;
};

/** The table service as one simulated process reaches it. */
export class ProcessTables extends TableService {
	/** Whether this process alone can't reach the platform. */
	isCut = false;
	/** Time at which the process began its latest successful read of the fleet version. */
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
		await gate.pass();
		if (faults.delayMs > 0) {
			await clock.sleep(faults.delayMs);
		}

		if (faults.isDown || this.isCut) {
			throw new VerdictError('platform is down', {verdict: 'not-run', code: 'platform_unavailable'});
		}

		try {
			return await run();
		} finally {
			await gate.pass();
		}
	}
}

/** How a simulated VM comes back from a reboot. */
export type Comeback = {readonly afterMs: number; readonly isLost: boolean};

type SimulatedVm = {
	record: VmRecord;
	isUp: boolean;
	/** Time of the latest change between up and down. */
	changedAt: number;
	incarnation: number;
};

export type SimulatedVmsOptions = {
	readonly clock: ManualClock;
	readonly records: readonly VmRecord[];
	readonly chooseComeback: (record: VmRecord) => Comeback;
	/** Called at the moment a VM goes down for a reboot. */
	readonly onReboot: (vmId: string) => void;
};

/** The VMs, their lagging list and their reboots. */
export class SimulatedVms {
	listLagMs = 0;
	isListDown = false;
	rebootCount = 0;
	readonly vms = new Map<string, SimulatedVm>();
	readonly #options: SimulatedVmsOptions;
	readonly #tokens = new Set<string>();
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

	/** Takes a VM down; it comes back with a new incarnation unless it is lost. */
	failVm(vmId: string, {afterMs, isLost}: Comeback): void {
		const vm = this.vms.get(vmId)!;
		this.#change(vm, {isUp: false, state: 'rebooting'});
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
			this.#change(vm, {isUp: true, state: 'live'});
		}
	}

	rebootVm(vmId: string, token: string): void {
		if (this.#tokens.has(token)) {
			return;
		}

		this.#tokens.add(token);
		this.rebootCount++;
		this.#options.onReboot(vmId);
		this.failVm(vmId, this.#options.chooseComeback(this.vms.get(vmId)!.record));
	}

	listVms(): VmListing {
		if (this.isListDown) {
			throw new VerdictError('platform is down', {verdict: 'not-run', code: 'platform_unavailable'});
		}

		const until = this.#options.clock.readMonotonic() - this.listLagMs;
		return (this.#listings.findLast(({since}) => since <= until) ?? this.#listings[0]!).listing;
	}

	#change(vm: SimulatedVm, {isUp, state}: {isUp: boolean; state: VmRecord['state']}): void {
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

/** The list and the control of VMs as one simulated process reaches them. */
export class ProcessVms extends VmList {
	readonly #vms: SimulatedVms;
	readonly #gate: Gate;

	constructor(vms: SimulatedVms, gate: Gate) {
		super();
		this.#vms = vms;
		this.#gate = gate;
	}

	override async listVms(): Promise<VmListing> {
		await this.#gate.pass();
		const listing = this.#vms.listVms();
		await this.#gate.pass();
		return listing;
	}

	override async close(): Promise<void> {}
}

export class ProcessVmControl extends VmControl {
	readonly #vms: SimulatedVms;
	readonly #gate: Gate;

	constructor(vms: SimulatedVms, gate: Gate) {
		super();
		this.#vms = vms;
		this.#gate = gate;
	}

	override async rebootVm(vmId: string, token: string): Promise<void> {
		await this.#gate.pass();
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
