/**
 * Implements reference strategies for sharing slots, to compare the scheduler with them.
 */
import {type PoolName} from '@tamarackwind/core';
import {
	SlotStrategy, type SimulatedRequest, type SimulatedWorker, type SlotSimulation,
} from './slot-simulations.js';

const slotsPerVm = 8;

/** One queue for all entries without communication delay, as a lower bound of the wait times of all strategies. */
export class IdealCentralQueue extends SlotStrategy {
	override readonly name = 'ideal central queue';
	readonly #simulation: SlotSimulation;
	readonly #queues = new Map<PoolName, SimulatedRequest[]>();

	constructor(simulation: SlotSimulation) {
		super();
		this.#simulation = simulation;
	}

	override submit(request: SimulatedRequest): void {
		const queue = this.#queues.get(request.pool) ?? [];
		this.#queues.set(request.pool, queue);
		queue.push(request);
		this.#startNext(request.pool);
	}

	override readTraffic(): {messages: number; bytes: number} {
		return {messages: 0, bytes: 0};
	}

	override async close(): Promise<void> {}

	#startNext(pool: PoolName): void {
		const queue = this.#queues.get(pool)!;
		const worker = this.#simulation.workers.get(pool)!.find(candidate => candidate.inFlight < slotsPerVm);
		const request = worker === undefined ? undefined : queue.shift();
		if (request !== undefined) {
			worker!.run(request, () => {
				this.#startNext(pool);
			});
			this.#startNext(pool);
		}
	}
}

/** Each entry immediately sends a request to the worker with the fewest of that entry's own requests in flight. */
export class LocalLeastInFlight extends SlotStrategy {
	override readonly name: string = 'a: fewest of its own requests in flight';
	protected readonly simulation: SlotSimulation;
	protected readonly counts: Array<Map<SimulatedWorker, number>>;

	constructor(simulation: SlotSimulation) {
		super();
		this.simulation = simulation;
		this.counts = Array.from({length: simulation.entryCount}, () => new Map<SimulatedWorker, number>());
	}

	override submit(request: SimulatedRequest): void {
		const worker = this.chooseWorker(request);
		const counts = this.counts[request.entry]!;
		counts.set(worker, (counts.get(worker) ?? 0) + 1);
		worker.run(request, () => {
			counts.set(worker, counts.get(worker)! - 1);
		});
	}

	override readTraffic(): {messages: number; bytes: number} {
		return {messages: 0, bytes: 0};
	}

	override async close(): Promise<void> {}

	protected chooseWorker({entry, pool}: SimulatedRequest): SimulatedWorker {
		const workers = this.simulation.workers.get(pool)!;
		const fewest = Math.min(...workers.map(worker => this.getInFlightCount(entry, worker)));
		return this.simulation.random.pickItem(workers.filter(worker => this.getInFlightCount(entry, worker) === fewest))!;
	}

	protected getInFlightCount(entry: number, worker: SimulatedWorker): number {
		return this.counts[entry]!.get(worker) ?? 0;
	}
}

const countBytes = 3;

/** Picks the less loaded of two random workers, by the request counts that entries exchange in each period. */
export class PowerOfTwoChoices extends LocalLeastInFlight {
	override readonly name: string;
	readonly #periodMs: number;
	#published: Array<Map<SimulatedWorker, number>>;
	#messages = 0;
	#bytes = 0;
	#isClosed = false;

	constructor(simulation: SlotSimulation, periodMs: number) {
		super(simulation);
		this.name = `b: power of two choices, counts every ${periodMs} ms`;
		this.#periodMs = periodMs;
		this.#published = this.counts.map(counts => new Map(counts));
		this.#publish();
	}

	override readTraffic(): {messages: number; bytes: number} {
		return {messages: this.#messages, bytes: this.#bytes};
	}

	override async close(): Promise<void> {
		this.#isClosed = true;
	}

	protected override chooseWorker({entry, pool}: SimulatedRequest): SimulatedWorker {
		const workers = this.simulation.workers.get(pool)!;
		const [first, second] = [this.simulation.random.pickItem(workers)!, this.simulation.random.pickItem(workers)!];
		return this.getInFlightCount(entry, first) <= this.getInFlightCount(entry, second) ? first : second;
	}

	protected override getInFlightCount(entry: number, worker: SimulatedWorker): number {
		return this.#published.reduce((sum, counts, index) => sum + (index === entry ? 0 : counts.get(worker) ?? 0), super.getInFlightCount(entry, worker));
	}

	#publish(): void {
		const snapshot = this.counts.map(counts => new Map(counts));
		const peers = this.simulation.entryCount - 1;
		for (const [index, counts] of snapshot.entries()) {
			const changed = [...counts].filter(([worker, count]) => (this.#published[index]!.get(worker) ?? 0) !== count).length;
			this.#messages += changed === 0 ? 0 : peers;
			this.#bytes += changed * countBytes * peers;
		}

		this.simulation.clock.schedule(1, () => {
			this.#published = snapshot;
		});
		this.simulation.clock.schedule(this.#periodMs, () => {
			if (!this.#isClosed) {
				this.#publish();
			}
		});
	}
}

type Loan = {readonly worker: SimulatedWorker; slots: number; inFlight: number};

const loanBytes = 6;
const linkMs = 1;

/** The home entry of each worker lends the worker's slots for one period, according to the demand that entries reported. */
export class PeriodicLoans extends SlotStrategy {
	override readonly name: string;
	readonly #simulation: SlotSimulation;
	readonly #periodMs: number;
	readonly #queues: Array<Map<PoolName, SimulatedRequest[]>>;
	readonly #loans: Array<Map<SimulatedWorker, Loan>>;
	#messages = 0;
	#bytes = 0;
	#isClosed = false;

	constructor(simulation: SlotSimulation, periodMs: number) {
		super();
		this.name = `c: bulk loans for ${periodMs} ms`;
		this.#simulation = simulation;
		this.#periodMs = periodMs;
		this.#queues = Array.from({length: simulation.entryCount}, () => new Map(simulation.pools.map(pool => [pool.name, [] as SimulatedRequest[]])));
		const workers = [...simulation.workers.values()].flat();
		this.#loans = Array.from({length: simulation.entryCount}, () => new Map(workers.map(worker => [worker, {worker, slots: 0, inFlight: 0}])));
		this.#lend();
	}

	override submit(request: SimulatedRequest): void {
		this.#queues[request.entry]!.get(request.pool)!.push(request);
		this.#startNext(request.entry, request.pool);
	}

	override readTraffic(): {messages: number; bytes: number} {
		return {messages: this.#messages, bytes: this.#bytes};
	}

	override async close(): Promise<void> {
		this.#isClosed = true;
	}

	#startNext(entry: number, pool: PoolName): void {
		const queue = this.#queues[entry]!.get(pool)!;
		const loan = this.#simulation.workers.get(pool)!.map(worker => this.#loans[entry]!.get(worker)!).find(candidate => candidate.inFlight < candidate.slots);
		const request = loan === undefined ? undefined : queue.shift();
		if (request !== undefined) {
			loan!.inFlight++;
			loan!.worker.run(request, () => {
				loan!.inFlight--;
				this.#startNext(entry, pool);
			});
			this.#startNext(entry, pool);
		}
	}

	/** Lends the free slots of all workers: first to the entries with the most queued requests, the rest at random. */
	#lend(): void {
		const queued = this.#queues.map(queues => new Map([...queues].map(([pool, queue]) => [pool, queue.length])));
		const inFlight = this.#loans.map(loans => new Map([...loans].map(([worker, loan]) => [worker, loan.inFlight])));
		this.#simulation.clock.schedule(2 * linkMs, () => {
			for (const [pool, workers] of this.#simulation.workers) {
				this.#lendPool(workers, queued.map(counts => counts.get(pool)!), inFlight);
			}
		});
		this.#simulation.clock.schedule(this.#periodMs, () => {
			if (!this.#isClosed) {
				this.#lend();
			}
		});
	}

	#lendPool(workers: readonly SimulatedWorker[], queued: number[], inFlight: ReadonlyArray<Map<SimulatedWorker, number>>): void {
		const demand = [...queued];
		for (const worker of workers) {
			const slots = inFlight.map(counts => counts.get(worker)!);
			let free = slotsPerVm - slots.reduce((sum, count) => sum + count, 0);
			for (; free > 0; free--) {
				const maxDemand = Math.max(...demand);
				const entry = maxDemand > 0 ? demand.indexOf(maxDemand) : this.#simulation.random.pickIndex(demand.length);
				slots[entry]!++;
				demand[entry]!--;
			}

			for (const [entry, count] of slots.entries()) {
				const loan = this.#loans[entry]!.get(worker)!;
				if (loan.slots !== count) {
					this.#messages += 2;
					this.#bytes += 2 * loanBytes;
				}

				loan.slots = count;
				this.#startNext(entry, worker.record.pool as PoolName);
			}
		}
	}
}
