import {
	Log, ManualClock, type JobId, type ServiceName, type VmId, type ZoneName,
} from '@tamarackwind/core';
import {type StepSpec} from '@tamarackwind/scheduling';
import test from 'ava';
import {
	ActiveJob, AdviceCache, PlacementAdvisor, PlacementPass, RateLimitedLog, roomReasons, type PlacementAdvice, type PlanCandidate, type WaitReason, type WorkerSession,
} from '../src/index.js';

const limits = {valueBytes: 49_152, transactionBytes: 690_000, transactionEntries: 100};
const capacity = {cpu: 8000, memory: 8000, gpu: 0};
const step: StepSpec = {
	count: 1, resources: {cpu: 1000, memory: 10, gpu: 0}, estimatedMs: 800, after: [], isCheckpointing: false, isGang: false, isSameRack: false, isSpeculative: false, isLongRunning: true, isFiller: false,
};

/** Allows some workers. */
class FixedAdvisor extends PlacementAdvisor {
	constructor(private readonly allowed: readonly string[]) {
		super();
	}

	override async requestTickets(_step: unknown, workers: readonly VmId[]): Promise<PlacementAdvice> {
		return {tickets: new Map(workers.filter(id => this.allowed.includes(id)).map(id => [id, 'ticket'])), validMs: 60_000};
	}
}

type Case = {
	readonly name: string;
	/** Free CPU of each worker, in thousandths of a core. */
	readonly free: Readonly<Record<string, number>>;
	/** Workers that the placement policy allows. */
	readonly allowed: readonly string[];
};

const cases: readonly Case[] = [
	{name: 'all workers are allowed and full', free: {a: 0, b: 0}, allowed: ['a', 'b']},
	{name: 'all workers are allowed and one has room for a part of it', free: {a: 0, b: 500}, allowed: ['a', 'b']},
	{name: 'the only worker that is allowed is full', free: {a: 0, b: 8000}, allowed: ['a']},
];

// Guards against tasks that wait for room without being told so: reserves are lent, and cordons given back, only for tasks that wait for room.
for (const {name, free, allowed} of cases) {
	test(`a task with a placement policy waits for room if ${name}`, async t => {
		const clock = ManualClock.create();
		const advice = AdviceCache.create({
			clock, advisor: new FixedAdvisor(allowed), log: RateLimitedLog.create(Log.createSilent(), clock), onResponse() {},
		});
		const job = ActiveJob.create({
			id: '5c0e7a21d94b36f8' as JobId, service: 'north' as ServiceName, queue: 'north', payload: '', steps: [step], submittedAt: 0, policy: {
				priority: 0, maxAttempts: 3, slackFactor: 2, targetLatencyMs: 600, advice: {decideMs: 1, perWorkerMs: 1, validMs: 60_000},
			},
		}, {monotonic: 0, wall: 0}, limits);
		job.openOccurrences(0);
		const [ready] = job.listReadySteps();
		const candidates = Object.entries(free).map(([id, cpu]): PlanCandidate => ({
			id: id as VmId, zone: 'zone-a' as ZoneName, labels: [], capacity, free: {...capacity, cpu}, suspicion: 0, servingTasks: 0, fillerTasks: 0, suspectLoad: 0, isReserved: false,
			session: {record: {startedAt: 1}, addTask() {}} as unknown as WorkerSession,
		}));
		const place = (): number => PlacementPass.create({
			candidates, advice, now: clock.readMonotonic(), isOverBudget: () => false,
		}).placeStep(ready!).length;
		t.is(place(), 0);
		await clock.advance(100);
		t.is(place(), 0);
		t.true((roomReasons as readonly WaitReason[]).includes(ready!.waitReason!), `reason ${ready!.waitReason}`);
	});
}
