/**
 * Simulation of entries that send requests to the workers of several pools, to compare ways of sharing slots.
 */
import {
	SeededRandom, type CallerId, type PoolName, type RandomSource, type ServiceName,
} from '@tamarackwind/core';
import {type VmRecord} from '@tamarackwind/clients';
import {
	defaultPoolValues, defaultServiceValues, type ResolvedCaller, type ResolvedPool, type ResolvedService, type WorkClass,
} from '@tamarackwind/settings';
import {createWorkerRecord} from './clusters.js';
import {SimulatedClock} from './simulated-clocks.js';

/** One request of a simulation. */
export type SimRequest = {
	readonly arrivedAt: number;
	readonly entry: number;
	readonly pool: PoolName;
	readonly serviceMs: number;
	readonly workClass: WorkClass;
	readonly caller: CallerId;
	/** Group by which the results are summed. */
	readonly group: string;
	startedAt?: number;
	finishedAt?: number;
	/** Code with which it was refused. */
	refusedAs?: string;
	attempts: number;
	/** Whether it fails on any worker. */
	readonly isPoison?: boolean;
};

/** One worker: runs as many requests as it has slots and queues the rest. */
export class SimWorker {
	readonly record: VmRecord;
	inFlight = 0;
	maxInFlight = 0;
	/** Whether every request fails at once. */
	isFailing = false;
	starts = 0;
	failures = 0;
	readonly #clock: SimulatedClock;
	readonly #slots: number;
	readonly #waiting: Array<() => void> = [];

	constructor(clock: SimulatedClock, record: VmRecord, slots: number) {
		this.#clock = clock;
		this.record = record;
		this.#slots = slots;
	}

	get busySlots(): number {
		return Math.min(this.inFlight, this.#slots);
	}

	/** Runs a request; calls `onEnd` when it has ended. */
	run(request: SimRequest, onEnd: (isSuccess: boolean) => void): void {
		this.inFlight++;
		this.maxInFlight = Math.max(this.maxInFlight, this.inFlight);
		const begin = (): void => {
			this.starts++;
			request.startedAt = this.#clock.readMonotonic();
			const isSuccess = !this.isFailing && request.isPoison !== true;
			this.failures += isSuccess ? 0 : 1;
			this.#clock.schedule(isSuccess ? request.serviceMs : 1, () => {
				this.inFlight--;
				if (isSuccess) {
					request.finishedAt = this.#clock.readMonotonic();
				}

				this.#waiting.shift()?.();
				onEnd(isSuccess);
			});
		};

		if (this.inFlight > this.#slots) {
			this.#waiting.push(begin);
		} else {
			begin();
		}
	}
}

/** A way of bringing requests to workers. */
export abstract class SlotWay {
	abstract readonly name: string;
	abstract submit(request: SimRequest): void;

	/** Messages and bytes that entries sent to each other so far. */
	abstract readTraffic(): {readonly messages: number; readonly bytes: number};

	abstract close(): Promise<void>;
}

export type SimOptions = {
	readonly seed: number;
	readonly entries?: number;
	readonly pools?: number;
	readonly workersPerPool?: number;
	readonly values?: Partial<ResolvedPool>;
};

const slotsPerVm = 8;

/** The workers, pools and clock that a way works with. */
export class SlotWorld {
	readonly clock = SimulatedClock.create();
	readonly random: RandomSource;
	readonly entryCount: number;
	readonly pools: ResolvedPool[] = [];
	readonly workers = new Map<PoolName, SimWorker[]>();
	readonly requests: SimRequest[] = [];
	readonly #byId = new Map<string, SimWorker>();

	constructor({seed, entries = 9, pools = 5, workersPerPool = 8, values}: SimOptions) {
		this.random = SeededRandom.create(seed);
		this.entryCount = entries;
		for (let index = 0; index < pools; index++) {
			const name = `pool-${index + 1}` as PoolName;
			this.pools.push({
				...defaultPoolValues, slotsPerVm, ...values, name, services: [`service-${index + 1}` as ServiceName],
			});
			const workers = Array.from({length: workersPerPool}, (_, worker) => new SimWorker(this.clock, createWorkerRecord(name, worker, 1), slotsPerVm));
			this.workers.set(name, workers);
			for (const worker of workers) {
				this.#byId.set(worker.record.vmId, worker);
			}
		}
	}

	getWorker(vmId: string): SimWorker {
		return this.#byId.get(vmId)!;
	}

	listWorkers(pool: PoolName): readonly VmRecord[] {
		return this.workers.get(pool)!.map(worker => worker.record);
	}

	countBusy(pool: PoolName): number {
		return this.workers.get(pool)!.reduce((sum, worker) => sum + worker.busySlots, 0);
	}

	/** An exponentially distributed time. */
	drawTime(meanMs: number): number {
		return -Math.log(1 - this.random.readFraction()) * meanMs;
	}
}

export function createService(pool: ResolvedPool): ResolvedService {
	return {...defaultServiceValues, name: pool.services[0]!, pool: pool.name};
}

export function createCaller(id: CallerId): ResolvedCaller {
	return {id, tokenHashes: [], weight: 1};
}

/** Requests of one group that arrive at random. */
export type Arrivals = {
	readonly group: string;
	readonly pool: PoolName;
	readonly workClass: WorkClass;
	readonly callers: readonly string[];
	/** Requests a second at a time. */
	readonly readRate: (atMs: number) => number;
	/** Highest rate that `readRate` gives. */
	readonly maxRate: number;
	readonly meanServiceMs: number;
};

/** Draws the requests of a run, in order of arrival. */
export function drawRequests(world: SlotWorld, arrivals: readonly Arrivals[], durationMs: number): SimRequest[] {
	const requests: SimRequest[] = [];
	for (const {group, pool, workClass, callers, readRate, maxRate, meanServiceMs} of arrivals) {
		if (maxRate <= 0) {
			continue;
		}

		for (let at = world.drawTime(1000 / maxRate); at < durationMs; at += world.drawTime(1000 / maxRate)) {
			if (world.random.readFraction() * maxRate < readRate(at)) {
				requests.push({
					arrivedAt: at,
					entry: world.random.pickIndex(world.entryCount),
					pool,
					serviceMs: world.drawTime(meanServiceMs),
					workClass,
					caller: world.random.pickItem(callers)! as CallerId,
					group,
					attempts: 0,
				});
			}
		}
	}

	return requests.toSorted((a, b) => a.arrivedAt - b.arrivedAt);
}

export type RunResult = {
	readonly requests: readonly SimRequest[];
	/** Part of the slots that were idle though a request waited for each of them. */
	readonly idlePart: number;
	readonly maxInFlight: number;
	readonly messagesPerSecond: number;
	/** Bytes a second that one entry sent. */
	readonly bytesPerEntrySecond: number;
};

const sampleMs = 5;

/** Submits requests to a way and runs until all have ended. */
export async function runSimulation(world: SlotWorld, way: SlotWay, requests: readonly SimRequest[], options: {readonly durationMs: number; readonly drainMs: number}): Promise<RunResult> {
	const {clock} = world;
	let idle = 0;
	let sampled = 0;
	const waiting = new Map<PoolName, Set<SimRequest>>(world.pools.map(pool => [pool.name, new Set()]));
	const sample = (): void => {
		for (const pool of world.pools) {
			const set = waiting.get(pool.name)!;
			for (const request of set) {
				if (request.startedAt !== undefined || request.refusedAs !== undefined) {
					set.delete(request);
				}
			}

			if (set.size > 0) {
				const total = world.workers.get(pool.name)!.length * slotsPerVm;
				sampled += total;
				idle += Math.min(set.size, total - world.countBusy(pool.name));
			}
		}

		if (clock.readMonotonic() < options.durationMs) {
			clock.schedule(sampleMs, sample);
		}
	};

	await clock.run(warmUpMs);
	const startedAt = clock.readMonotonic();
	const before = way.readTraffic();
	for (const request of requests) {
		clock.schedule(request.arrivedAt, () => {
			waiting.get(request.pool)!.add(request);
			way.submit(request);
		});
	}

	clock.schedule(0, sample);
	await clock.run(options.durationMs);
	const after = way.readTraffic();
	await clock.run(options.drainMs);
	await way.close();
	const seconds = (options.durationMs) / 1000;
	return {
		requests: requests.map(request => ({...request, arrivedAt: request.arrivedAt + startedAt})),
		idlePart: sampled === 0 ? 0 : idle / sampled,
		maxInFlight: Math.max(...[...world.workers.values()].flat().map(worker => worker.maxInFlight)),
		messagesPerSecond: (after.messages - before.messages) / seconds,
		bytesPerEntrySecond: (after.bytes - before.bytes) / seconds / world.entryCount,
	};
}

/** Time for entries to find each other before the first request. */
export const warmUpMs = 1000;

/** The `part` quantile of values, 0 when there are none. */
export function computeQuantile(values: readonly number[], part: number): number {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0;
}

/** Waits of the requests that started, in milliseconds. */
export function listWaits(requests: readonly SimRequest[]): number[] {
	return requests.filter(request => request.startedAt !== undefined).map(request => request.startedAt! - request.arrivedAt);
}

/** Prints rows under the names of their columns. */
export function printTable(rows: ReadonlyArray<Record<string, string | number>>): void {
	const columns = Object.keys(rows[0] ?? {});
	console.log(`| ${columns.join(' | ')} |`);
	console.log(`|${columns.map(() => '---').join('|')}|`);
	for (const row of rows) {
		console.log(`| ${columns.map(column => row[column]).join(' | ')} |`);
	}
}

export {type VmId} from '@tamarackwind/core';
