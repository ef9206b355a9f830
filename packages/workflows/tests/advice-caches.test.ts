import {
	Log, ManualClock, type JobId, type VmId,
} from '@tamarackwind/core';
import test from 'ava';
import {
	AdviceCache, PlacementAdvisor, RateLimitedLog, type PlacementAdvice, type Task,
} from '../src/index.js';

/** Gives each worker a new ticket at each request. */
class CountingAdvisor extends PlacementAdvisor {
	requests: VmId[][] = [];

	override async requestTickets(_step: unknown, workers: readonly VmId[]): Promise<PlacementAdvice> {
		this.requests.push([...workers]);
		return {tickets: new Map(workers.map(id => [id, `ticket-${this.requests.length}`])), validMs: 60_000};
	}
}

const task = {key: {job: '5c0e7a21d94b36f8' as JobId, occurrence: 0, step: 0}} as unknown as Task;
const candidates = ['worker-1', 'worker-2'].map(id => ({id: id as VmId}));
const [restarted] = candidates;

type Case = {readonly name: string; readonly apply: (cache: AdviceCache) => void};

const cases: readonly Case[] = [
	{
		name: 'a worker has restarted under its id', apply(cache) {
			cache.clearWorker(restarted!.id);
		},
	},
	{
		name: 'a worker has refused its ticket', apply(cache) {
			cache.clearTicket(task, restarted!.id);
		},
	},
];

// Guards against starts that are refused until the ticket of an earlier incarnation expires.
for (const {name, apply} of cases) {
	test(`a new ticket is requested once ${name}`, async t => {
		const clock = ManualClock.create();
		const advisor = new CountingAdvisor();
		const cache = AdviceCache.create({
			clock, advisor, log: RateLimitedLog.create(Log.createSilent(), clock), onResponse() {},
		});
		cache.filterAllowed(task, candidates);
		await clock.advance(10);
		t.deepEqual(cache.filterAllowed(task, candidates), candidates);
		apply(cache);
		t.is(cache.getTicket(task, restarted!.id), undefined);
		t.deepEqual(cache.filterAllowed(task, candidates), candidates.slice(1));
		await clock.advance(10);
		t.deepEqual(cache.filterAllowed(task, candidates), candidates);
		t.is(cache.getTicket(task, restarted!.id), 'ticket-2');
		t.deepEqual(advisor.requests, [candidates.map(({id}) => id), [restarted!.id]]);
	});
}

// Guards against steps that never get their tickets because others, whose allowed workers are full, come before them in each pass.
test('many steps get their tickets, a limited number of requests at a time', async t => {
	const clock = ManualClock.create();
	let open = 0;
	let mostOpen = 0;
	class SlowAdvisor extends PlacementAdvisor {
		override async requestTickets(_step: unknown, workers: readonly VmId[]): Promise<PlacementAdvice> {
			open++;
			mostOpen = Math.max(mostOpen, open);
			await clock.sleep(100);
			open--;
			return {tickets: new Map(workers.map(id => [id, 'ticket'])), validMs: 60_000};
		}
	}

	const cache = AdviceCache.create({
		clock, advisor: new SlowAdvisor(), log: RateLimitedLog.create(Log.createSilent(), clock), onResponse() {},
	});
	const tasks = Array.from({length: 100}, (_, step) => ({key: {job: '5c0e7a21d94b36f8' as JobId, occurrence: 0, step}}) as unknown as Task);
	for (let pass = 0; pass < 5; pass++) {
		for (const waiting of tasks) {
			cache.filterAllowed(waiting, candidates);
		}

		await clock.advance(100);
	}

	t.deepEqual(tasks.filter(waiting => cache.filterAllowed(waiting, candidates).length < candidates.length), []);
	t.is(mostOpen, 24);
});

// Guards against calls that each take as long as 30 workers do, for workers on which the step cannot start.
test('tickets of workers with room are requested first', async t => {
	const clock = ManualClock.create();
	const advisor = new CountingAdvisor();
	const cache = AdviceCache.create({
		clock, advisor, log: RateLimitedLog.create(Log.createSilent(), clock), onResponse() {},
	});
	const many = Array.from({length: 70}, (_, index) => ({id: `worker-${index}` as VmId}));
	const rooms = new Set(many.slice(-2));
	for (let pass = 0; pass < 5; pass++) {
		cache.filterAllowed(task, many, {hasRoom: candidate => rooms.has(candidate)});
		await clock.advance(10);
	}

	t.deepEqual(advisor.requests, [[...rooms, ...many.slice(0, 28)], many.slice(28, 58), many.slice(58, 68)].map(workers => workers.map(({id}) => id)));
});

// Guards against memory that grows with each step that ever looked for a ticket.
test('tickets of steps that are gone are removed once they expire, and those of others are kept', async t => {
	const clock = ManualClock.create();
	const cache = AdviceCache.create({
		clock, advisor: new CountingAdvisor(), log: RateLimitedLog.create(Log.createSilent(), clock), onResponse() {},
	});
	const tasks = Array.from({length: 2100}, (_, step) => ({key: {job: '5c0e7a21d94b36f8' as JobId, occurrence: 0, step}}) as unknown as Task);
	const lookAt = async (looking: readonly Task[]): Promise<void> => {
		for (const waiting of looking) {
			cache.filterAllowed(waiting, candidates);
			await clock.advance(0);
		}
	};

	const countKept = (): number => tasks.slice(0, 1000).filter(waiting => cache.getTicket(waiting, restarted!.id) !== undefined).length;
	await lookAt(tasks.slice(0, 1000));
	await clock.advance(40_000);
	t.is(countKept(), 1000);
	await lookAt(tasks.slice(1000, 1002));
	t.is(countKept(), 1000);
	await clock.advance(10_000);
	await lookAt([tasks[0]!, ...tasks.slice(1002)]);
	t.is(countKept(), 1);
});
