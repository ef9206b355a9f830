/**
 * Simulates entries that send requests to the workers of several pools, to compare strategies for sharing slots.
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

/** One request of a slot simulation. */
export type SimulatedRequest = {
	readonly arrivedAt: number;
	readonly entry: number;
	readonly pool: PoolName;
	readonly serviceMs: number;
	readonly workClass: WorkClass;
	readonly caller: CallerId;
	/** Group by which the results are aggregated. */
	readonly group: string;
	startedAt?: number;
	finishedAt?: number;
	/** Error code with which the request was refused. */
	refusalCode?: string;
	attempts: number;
	/** Whether the request fails on every worker. */
	readonly isPoison?: boolean;
};

/** Worker that runs as many requests as it has slots and queues the others. */
export class SimulatedWorker {
	readonly record: VmRecord;
	inFlight = 0;
	maxInFlight = 0;
	/** Whether every request fails immediately. */
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

	/** Runs a request and calls `onEnd` when it ends. */
	run(request: SimulatedRequest, onEnd: (isSuccess: boolean) => void): void {
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

/** Strategy that assigns requests to the slots of workers. */
export abstract class SlotStrategy {
	abstract readonly name: string;
	abstract submit(request: SimulatedRequest): void;

	/** Returns the total messages and bytes that entries have sent to each other. */
	abstract readTraffic(): {readonly messages: number; readonly bytes: number};

	abstract close(): Promise<void>;
}

export type SlotSimulationOptions = {
	readonly seed: number;
	readonly entries?: number;
	readonly pools?: number;
	readonly workersPerPool?: number;
	readonly values?: Partial<ResolvedPool>;
};

const slotsPerVm = 8;

/** Holds the clock, pools and workers of a slot simulation. */
export class SlotSimulation {
	readonly clock = SimulatedClock.create();
	readonly random: RandomSource;
	readonly entryCount: number;
	readonly pools: ResolvedPool[] = [];
	readonly workers = new Map<PoolName, SimulatedWorker[]>();
	readonly requests: SimulatedRequest[] = [];
	readonly #byId = new Map<string, SimulatedWorker>();

	constructor({seed, entries = 9, pools = 5, workersPerPool = 8, values}: SlotSimulationOptions) {
		this.random = SeededRandom.create(seed);
		this.entryCount = entries;
		for (let index = 0; index < pools; index++) {
			const name = `pool-${index + 1}` as PoolName;
			this.pools.push({
				...defaultPoolValues, slotsPerVm, ...values, name, services: [`service-${index + 1}` as ServiceName],
			});
			const workers = Array.from({length: workersPerPool}, (_, worker) => new SimulatedWorker(this.clock, createWorkerRecord(name, worker, 1), slotsPerVm));
			this.workers.set(name, workers);
			for (const worker of workers) {
				this.#byId.set(worker.record.vmId, worker);
			}
		}
	}

	getWorker(vmId: string): SimulatedWorker {
		return this.#byId.get(vmId)!;
	}

	listWorkers(pool: PoolName): readonly VmRecord[] {
		return this.workers.get(pool)!.map(worker => worker.record);
	}

	countBusy(pool: PoolName): number {
		return this.workers.get(pool)!.reduce((sum, worker) => sum + worker.busySlots, 0);
	}

	/** Draws an exponentially distributed time. */
	sampleExponential(meanMs: number): number {
		return -Math.log(1 - this.random.readFraction()) * meanMs;
	}
}

export function createService(pool: ResolvedPool): ResolvedService {
	return {...defaultServiceValues, name: pool.services[0]!, pool: pool.name};
}

export function createCaller(id: CallerId): ResolvedCaller {
	return {id, tokenHashes: [], weight: 1};
}

/** Arrival pattern of the requests of one group, a Poisson process with a variable rate. */
export type ArrivalPattern = {
	readonly group: string;
	readonly pool: PoolName;
	readonly workClass: WorkClass;
	readonly callers: readonly string[];
	/** Returns the requests per second at a given time. */
	readonly readRate: (atMs: number) => number;
	/** Upper bound of `readRate`. */
	readonly maxRate: number;
	readonly meanServiceMs: number;
};

/** Generates the requests of a run, in order of arrival. */
export function generateRequests(simulation: SlotSimulation, arrivals: readonly ArrivalPattern[], durationMs: number): SimulatedRequest[] {
	const requests: SimulatedRequest[] = [];
	for (const {group, pool, workClass, callers, readRate, maxRate, meanServiceMs} of arrivals) {
		if (maxRate <= 0) {
			continue;
		}

		for (let at = simulation.sampleExponential(1000 / maxRate); at < durationMs; at += simulation.sampleExponential(1000 / maxRate)) {
			if (simulation.random.readFraction() * maxRate < readRate(at)) {
				requests.push({
					arrivedAt: at,
					entry: simulation.random.pickIndex(simulation.entryCount),
					pool,
					serviceMs: simulation.sampleExponential(meanServiceMs),
					workClass,
					caller: simulation.random.pickItem(callers)! as CallerId,
					group,
					attempts: 0,
				});
			}
		}
	}

	return requests.toSorted((a, b) => a.arrivedAt - b.arrivedAt);
}

export type SlotSimulationResult = {
	readonly requests: readonly SimulatedRequest[];
	/** Fraction of the slots, in pools with waiting requests, that were idle although a request waited for each of them. */
	readonly idleFraction: number;
	readonly maxInFlight: number;
	readonly messagesPerSecond: number;
	/** Mean bytes per second that one entry sent. */
	readonly bytesPerEntrySecond: number;
};

const sampleMs = 5;

/** Submits requests to a strategy, then runs for `drainMs` more to let them finish. */
export async function runSimulation(simulation: SlotSimulation, strategy: SlotStrategy, requests: readonly SimulatedRequest[], options: {readonly durationMs: number; readonly drainMs: number}): Promise<SlotSimulationResult> {
	const {clock} = simulation;
	let idleSlots = 0;
	let sampledSlots = 0;
	const waiting = new Map<PoolName, Set<SimulatedRequest>>(simulation.pools.map(pool => [pool.name, new Set()]));
	const sample = (): void => {
		for (const pool of simulation.pools) {
			const waitingRequests = waiting.get(pool.name)!;
			for (const request of waitingRequests) {
				if (request.startedAt !== undefined || request.refusalCode !== undefined) {
					waitingRequests.delete(request);
				}
			}

			if (waitingRequests.size > 0) {
				const total = simulation.workers.get(pool.name)!.length * slotsPerVm;
				sampledSlots += total;
				idleSlots += Math.min(waitingRequests.size, total - simulation.countBusy(pool.name));
			}
		}

		if (clock.readMonotonic() < options.durationMs) {
			clock.schedule(sampleMs, sample);
		}
	};

	await clock.run(warmUpMs);
	const startedAt = clock.readMonotonic();
	const before = strategy.readTraffic();
	for (const request of requests) {
		clock.schedule(request.arrivedAt, () => {
			waiting.get(request.pool)!.add(request);
			strategy.submit(request);
		});
	}

	clock.schedule(0, sample);
	await clock.run(options.durationMs);
	const after = strategy.readTraffic();
	await clock.run(options.drainMs);
	await strategy.close();
	const seconds = (options.durationMs) / 1000;
	return {
		requests: requests.map(request => ({...request, arrivedAt: request.arrivedAt + startedAt})),
		idleFraction: sampledSlots === 0 ? 0 : idleSlots / sampledSlots,
		maxInFlight: Math.max(...[...simulation.workers.values()].flat().map(worker => worker.maxInFlight)),
		messagesPerSecond: (after.messages - before.messages) / seconds,
		bytesPerEntrySecond: (after.bytes - before.bytes) / seconds / simulation.entryCount,
	};
}

/** Time for entries to discover each other before the first request, in milliseconds. */
export const warmUpMs = 1000;

/** Computes the `fraction` quantile of values; 0 if there are none. */
export function computeQuantile(values: readonly number[], fraction: number): number {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;
}

/** Lists the wait times of the started requests, in milliseconds. */
export function listWaitTimes(requests: readonly SimulatedRequest[]): number[] {
	return requests.filter(request => request.startedAt !== undefined).map(request => request.startedAt! - request.arrivedAt);
}

/** Prints rows as a Markdown table. */
export function printTable(rows: ReadonlyArray<Record<string, string | number>>): void {
	const columns = Object.keys(rows[0] ?? {});
	console.log(`| ${columns.join(' | ')} |`);
	console.log(`|${columns.map(() => '---').join('|')}|`);
	for (const row of rows) {
		console.log(`| ${columns.map(column => row[column]).join(' | ')} |`);
	}
}

export {type VmId} from '@tamarackwind/core';
