/**
 * Ways of sharing slots that the scheduler is compared with.
 */
import {type PoolName} from '@tamarackwind/core';
import {
	SlotWay, type SimRequest, type SimWorker, type SlotWorld,
} from './slot-simulations.js';

const slotsPerVm = 8;

/** One queue for all entries, without any delay: the bound that no way can beat. */
export class IdealQueue extends SlotWay {
	override readonly name = 'ideal central queue';
	readonly #world: SlotWorld;
	readonly #queues = new Map<PoolName, SimRequest[]>();

	constructor(world: SlotWorld) {
		super();
		this.#world = world;
	}

	override submit(request: SimRequest): void {
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
		const worker = this.#world.workers.get(pool)!.find(x => x.inFlight < slotsPerVm);
		const request = worker === undefined ? undefined : queue.shift();
		if (request !== undefined) {
			worker!.run(request, () => {
				this.#startNext(pool);
			});
			this.#startNext(pool);
		}
	}
}

/** Each entry sends at once to the worker with the fewest requests of its own. */
export class OwnCounts extends SlotWay {
	override readonly name: string = 'a: least in flight of its own';
	protected readonly world: SlotWorld;
	protected readonly counts: Array<Map<SimWorker, number>>;

	constructor(world: SlotWorld) {
		super();
		this.world = world;
		this.counts = Array.from({length: world.entryCount}, () => new Map<SimWorker, number>());
	}

	override submit(request: SimRequest): void {
		const worker = this.choose(request);
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

	protected choose({entry, pool}: SimRequest): SimWorker {
		const workers = this.world.workers.get(pool)!;
		const fewest = Math.min(...workers.map(worker => this.readCount(entry, worker)));
		return this.world.random.pickItem(workers.filter(worker => this.readCount(entry, worker) === fewest))!;
	}

	protected readCount(entry: number, worker: SimWorker): number {
		return this.counts[entry]!.get(worker) ?? 0;
	}
}

const countBytes = 3;

/** Two random workers, the less loaded by the counts that entries send each other every period. */
export class SharedCounts extends OwnCounts {
	override readonly name: string;
	readonly #periodMs: number;
	#published: Array<Map<SimWorker, number>>;
	#messages = 0;
	#bytes = 0;
	#isClosed = false;

	constructor(world: SlotWorld, periodMs: number) {
		super(world);
		this.name = `b: two choices, counts every ${periodMs} ms`;
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

	protected override choose({entry, pool}: SimRequest): SimWorker {
		const workers = this.world.workers.get(pool)!;
		const [one, other] = [this.world.random.pickItem(workers)!, this.world.random.pickItem(workers)!];
		return this.readCount(entry, one) <= this.readCount(entry, other) ? one : other;
	}

	protected override readCount(entry: number, worker: SimWorker): number {
		return this.#published.reduce((sum, counts, index) => sum + (index === entry ? 0 : counts.get(worker) ?? 0), super.readCount(entry, worker));
	}

	#publish(): void {
		const snapshot = this.counts.map(counts => new Map(counts));
		const peers = this.world.entryCount - 1;
		for (const [index, counts] of snapshot.entries()) {
			const changed = [...counts].filter(([worker, count]) => (this.#published[index]!.get(worker) ?? 0) !== count).length;
			this.#messages += changed === 0 ? 0 : peers;
			this.#bytes += changed * countBytes * peers;
		}

		this.world.clock.schedule(1, () => {
			this.#published = snapshot;
		});
		this.world.clock.schedule(this.#periodMs, () => {
			if (!this.#isClosed) {
				this.#publish();
			}
		});
	}
}

type Loan = {readonly worker: SimWorker; slots: number; inFlight: number};

const loanBytes = 6;
const linkMs = 1;

/** Each worker's home entry lends its slots in bulk for one period, by the demand that entries reported. */
export class BulkLoans extends SlotWay {
	override readonly name: string;
	readonly #world: SlotWorld;
	readonly #periodMs: number;
	readonly #queues: Array<Map<PoolName, SimRequest[]>>;
	readonly #loans: Array<Map<SimWorker, Loan>>;
	#messages = 0;
	#bytes = 0;
	#isClosed = false;

	constructor(world: SlotWorld, periodMs: number) {
		super();
		this.name = `c: bulk loans for ${periodMs} ms`;
		this.#world = world;
		this.#periodMs = periodMs;
		this.#queues = Array.from({length: world.entryCount}, () => new Map(world.pools.map(pool => [pool.name, [] as SimRequest[]])));
		const workers = [...world.workers.values()].flat();
		this.#loans = Array.from({length: world.entryCount}, () => new Map(workers.map(worker => [worker, {worker, slots: 0, inFlight: 0}])));
		this.#lend();
	}

	override submit(request: SimRequest): void {
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
		const loan = this.#world.workers.get(pool)!.map(worker => this.#loans[entry]!.get(worker)!).find(x => x.inFlight < x.slots);
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

	/** Every home lends the free slots of its workers: first by what waits, the rest in turn. */
	#lend(): void {
		const queued = this.#queues.map(queues => new Map([...queues].map(([pool, queue]) => [pool, queue.length])));
		const inFlight = this.#loans.map(loans => new Map([...loans].map(([worker, loan]) => [worker, loan.inFlight])));
		this.#world.clock.schedule(2 * linkMs, () => {
			for (const [pool, workers] of this.#world.workers) {
				this.#lendPool(workers, queued.map(x => x.get(pool)!), inFlight);
			}
		});
		this.#world.clock.schedule(this.#periodMs, () => {
			if (!this.#isClosed) {
				this.#lend();
			}
		});
	}

	#lendPool(workers: readonly SimWorker[], queued: number[], inFlight: ReadonlyArray<Map<SimWorker, number>>): void {
		const wants = [...queued];
		for (const worker of workers) {
			const slots = inFlight.map(counts => counts.get(worker)!);
			let free = slotsPerVm - slots.reduce((sum, count) => sum + count, 0);
			for (; free > 0; free--) {
				const most = Math.max(...wants);
				const entry = most > 0 ? wants.indexOf(most) : this.#world.random.pickIndex(wants.length);
				slots[entry]!++;
				wants[entry]!--;
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
