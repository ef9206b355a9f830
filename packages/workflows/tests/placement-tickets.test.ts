import {
	Log, ManualClock, type JobId, type VmId,
} from '@tamarackwind/core';
import test from 'ava';
import {
	AdviceCache, PlacementAdvisor, RateLimitedLog, type PlacementAdvice, type Task,
} from '../src/index.js';

/** Decides serially, with a time for each request and each worker, as the platform's policy does, also those that the client has given up. */
class SerialAdvisor extends PlacementAdvisor {
	#last: Promise<unknown> = Promise.resolve();

	constructor(private readonly clock: ManualClock, private readonly validMs: number, private readonly workerMs = perWorkerMs) {
		super();
	}

	override async requestTickets(_step: unknown, workers: readonly VmId[]): Promise<PlacementAdvice> {
		const decided = this.#decide(this.#last, workers.length);
		this.#last = decided;
		const isTimely = await Promise.race([decided.then(() => true), this.clock.sleep(timeoutMs).then(() => false)]);
		if (!isTimely) {
			throw new Error('no response in time');
		}

		return {tickets: new Map(workers.map(id => [id, 'ticket'])), validMs: this.validMs};
	}

	async #decide(previous: Promise<unknown>, workers: number): Promise<void> {
		await previous;
		await this.clock.sleep(decideMs + (workers * this.workerMs));
	}
}

const decideMs = 20;
const perWorkerMs = 4;
const timeoutMs = 3000;
const intervalMs = 20;
const workers = 120;
const playMs = 60_000;

type Case = {
	readonly name: string;
	readonly steps: number;
	readonly validMs: number;
	/** Number of workers with room, the last of the pool. */
	readonly withRoom: number;
	/** Time that the policy takes for each worker of a request. */
	readonly workerMs?: number;
};

const cases: readonly Case[] = [
	{
		name: 'the last worker has room for one step, and tickets are valid for a minute', steps: 1, validMs: 60_000, withRoom: 1,
	},
	{
		name: 'the last worker has room for one step, and tickets are valid for as long as four requests take', steps: 1, validMs: 600, withRoom: 1,
	},
	{
		name: 'all workers have room for 20 steps, and tickets are valid for 3 s', steps: 20, validMs: 3000, withRoom: workers,
	},
	{
		name: 'all workers have room for 100 steps, and tickets are valid for a minute', steps: 100, validMs: 60_000, withRoom: workers,
	},
	{
		name: 'all workers have room for 100 steps, and tickets are valid for 3 s', steps: 100, validMs: 3000, withRoom: workers,
	},
	{
		name: 'all workers have room for 20 steps, and a request takes a quarter of the time after which it is given up', steps: 20, validMs: 60_000, withRoom: workers, workerMs: 24,
	},
];

// Guards against requests that are given up and repeated while the policy handles those before, and against tickets that expire on the way, or before those of a worker with room are asked for, so that the same ones are requested again without an end.
for (const {
	name, steps, validMs, withRoom, workerMs,
} of cases) {
	test(`each step gets a ticket of a worker with room if ${name}`, async t => {
		const clock = ManualClock.create();
		const cache = AdviceCache.create({
			clock, advisor: new SerialAdvisor(clock, validMs, workerMs), log: RateLimitedLog.create(Log.createSilent(), clock), onResponse() {},
		});
		const candidates = Array.from({length: workers}, (_, index) => ({id: `worker-${index}` as VmId}));
		const rooms = new Set(candidates.slice(-withRoom));
		const open = new Set(Array.from({length: steps}, (_, step) => ({key: {job: '5c0e7a21d94b36f8' as JobId, occurrence: 0, step}}) as unknown as Task));
		for (let elapsedMs = 0; elapsedMs < playMs && open.size > 0; elapsedMs += intervalMs) {
			for (const task of open) {
				if (cache.filterAllowed(task, candidates).some(candidate => rooms.has(candidate))) {
					open.delete(task);
				}
			}

			await clock.advance(intervalMs);
		}

		t.is(open.size, 0, `${open.size} of ${steps} steps found no worker`);
	});
}

type ContendedCase = {
	readonly name: string;
	readonly others: number;
	readonly validMs: number;
	/** Whether the other steps find no room on the workers that they are allowed. */
	readonly areFull: boolean;
	/** Number of workers with room that the step needs, as a gang does. */
	readonly needed?: number;
	/** Time by which the step has a ticket. */
	readonly withinMs: number;
};

const contendedCases: readonly ContendedCase[] = [
	{
		name: '30 steps before it renew theirs', others: 30, validMs: 3000, areFull: true, withinMs: 10_000,
	},
	{
		name: '30 steps before it, which have the turns of one request at a time, find room', others: 30, validMs: 600, areFull: false, withinMs: 10_000,
	},
	{
		name: 'two steps before it, which have the turns of one request at a time, find room', others: 2, validMs: 600, areFull: false, withinMs: 600,
	},
	{
		name: '30 steps before it ask for theirs, and it needs more workers than a request names', others: 30, validMs: 60_000, areFull: true, needed: 45, withinMs: 10_000,
	},
];

// Guards against steps whose allowed workers are full and which renew their tickets before others get any, and against turns that steps leave behind.
for (const {
	name, others, validMs, areFull, needed = 1, withinMs,
} of contendedCases) {
	test(`a step gets a ticket while ${name}`, async t => {
		const clock = ManualClock.create();
		const cache = AdviceCache.create({
			clock, advisor: new SerialAdvisor(clock, validMs), log: RateLimitedLog.create(Log.createSilent(), clock), onResponse() {},
		});
		const candidates = Array.from({length: workers}, (_, index) => ({id: `worker-${index}` as VmId}));
		const tasks = Array.from({length: others + 1}, (_, step) => ({key: {job: '5c0e7a21d94b36f8' as JobId, occurrence: 0, step}}) as unknown as Task);
		const last = tasks.at(-1)!;
		const open = new Set(tasks);
		for (let elapsedMs = 0; elapsedMs < withinMs && open.has(last); elapsedMs += intervalMs) {
			for (const task of open) {
				const isFull = areFull && task !== last;
				if (cache.filterAllowed(task, candidates, {hasRoom: () => !isFull, workers: needed}).length >= needed && !isFull) {
					open.delete(task);
				}
			}

			await clock.advance(intervalMs);
		}

		t.false(open.has(last));
	});
}

type RoundCase = {readonly name: string; readonly steps: number; readonly roundMs: number; readonly validMs: number};

const roundCases: readonly RoundCase[] = [
	{
		name: '100 steps, each looked at every 0.4 s', steps: 100, roundMs: 400, validMs: 60_000,
	},
	{
		name: '20 steps, each looked at every 0.8 s', steps: 20, roundMs: 800, validMs: 60_000,
	},
	{
		name: '100 steps, each looked at every 0.8 s', steps: 100, roundMs: 800, validMs: 60_000,
	},
	{
		name: '100 steps, each looked at every 0.8 s, with tickets valid for 3 s', steps: 100, roundMs: 800, validMs: 3000,
	},
];

// Guards against steps that never request tickets as their turns lapse between two looks: a round of passes over thousands of waiting steps takes that long.
for (const {
	name, steps, roundMs, validMs,
} of roundCases) {
	test(`each step gets a ticket of a worker with room in rounds of many passes: ${name}`, async t => {
		const clock = ManualClock.create();
		const cache = AdviceCache.create({
			clock, advisor: new SerialAdvisor(clock, validMs), log: RateLimitedLog.create(Log.createSilent(), clock), onResponse() {},
		});
		const candidates = Array.from({length: workers}, (_, index) => ({id: `worker-${index}` as VmId}));
		const tasks = Array.from({length: steps}, (_, step) => ({key: {job: '5c0e7a21d94b36f8' as JobId, occurrence: 0, step}}) as unknown as Task);
		const open = new Set(tasks);
		const stepsPerPass = Math.ceil(steps * intervalMs / roundMs);
		for (let elapsedMs = 0, next = 0; elapsedMs < playMs && open.size > 0; elapsedMs += intervalMs) {
			for (let count = 0; count < stepsPerPass; count++, next = (next + 1) % steps) {
				const task = tasks[next]!;
				if (open.has(task) && cache.filterAllowed(task, candidates).length > 0) {
					open.delete(task);
				}
			}

			await clock.advance(intervalMs);
		}

		t.is(open.size, 0, `${open.size} of ${steps} steps found no worker`);
	});
}
