import {
	Log, ManualClock, type JobId, type ServiceName, type VmId, type ZoneName,
} from '@tamarackwind/core';
import {type StepSpec} from '@tamarackwind/scheduling';
import test from 'ava';
import {
	ActiveJob, AdviceCache, PlacementAdvisor, PlacementPass, RateLimitedLog, type PlacementAdvice, type PlanCandidate, type WorkerSession,
} from '../src/index.js';

const limits = {valueBytes: 49_152, transactionBytes: 690_000, transactionEntries: 100};
const capacity = {cpu: 8000, memory: 8000, gpu: 0};
const plainStep: StepSpec = {
	count: 1, resources: {cpu: 1000, memory: 10, gpu: 0}, estimatedMs: 800, after: [], isCheckpointing: false, isGang: false, isSameRack: false, isSpeculative: false, isLongRunning: true, isFiller: false,
};
const workers = 35;
const usableWorkers = 5;

/** Remembers the workers of each request. */
class RecordingAdvisor extends PlacementAdvisor {
	requests: VmId[][] = [];

	override async requestTickets(_step: unknown, requested: readonly VmId[]): Promise<PlacementAdvice> {
		this.requests.push([...requested]);
		return {tickets: new Map(requested.map(id => [id, 'ticket'])), validMs: 60_000};
	}
}

type Case = {
	readonly name: string;
	/** What differs at the workers that come first. */
	readonly candidate?: Partial<PlanCandidate>;
	/** Whether a task of the step is on each worker that comes first. */
	readonly isOccupied?: boolean;
	readonly step?: Partial<StepSpec>;
};

const cases: readonly Case[] = [
	{name: 'are full', candidate: {free: {cpu: 0, memory: 0, gpu: 0}}},
	{name: 'are reserved', candidate: {isReserved: true}},
	{name: 'have no start slot', candidate: {startSlots: 0}},
	{name: 'lack a label', candidate: {labels: []}, step: {requirement: 'ssd'}},
	{name: 'have a task of the step already', isOccupied: true, step: {count: workers, antiAffinity: 1}},
];

// Guards against steps that wait for the tickets of workers on which they cannot start.
for (const {
	name, candidate, isOccupied = false, step,
} of cases) {
	test(`tickets of the other workers are requested first if the first workers ${name}`, t => {
		const clock = ManualClock.create();
		const advisor = new RecordingAdvisor();
		const advice = AdviceCache.create({
			clock, advisor, log: RateLimitedLog.create(Log.createSilent(), clock), onResponse() {},
		});
		const job = ActiveJob.create({
			id: '5c0e7a21d94b36f8' as JobId, service: 'north' as ServiceName, queue: 'north', payload: '', steps: [{...plainStep, ...step}], submittedAt: 0, policy: {
				priority: 0, maxAttempts: 3, slackFactor: 2, targetLatencyMs: 600, advice: {decideMs: 1, perWorkerMs: 1, validMs: 60_000},
			},
		}, {monotonic: 0, wall: 0}, limits);
		job.openOccurrences(0);
		const [ready] = job.listReadySteps();
		const candidates = Array.from({length: workers}, (_, index): PlanCandidate => ({
			id: `worker-${index}` as VmId, zone: 'zone-a' as ZoneName, labels: ['ssd'], capacity, free: capacity, suspicion: 0, servingTasks: 0, fillerTasks: 0, suspectLoad: 0, isReserved: false,
			session: {record: {startedAt: 1}, addTask() {}} as unknown as WorkerSession,
			...(index < workers - usableWorkers ? candidate : {}),
		}));
		if (isOccupied) {
			for (const [index, {id}] of candidates.slice(0, -usableWorkers).entries()) {
				Object.assign(ready!.tasks[index]!, {phase: 'running', incarnation: {id, startedAt: 1}});
			}
		}

		PlacementPass.create({
			candidates, advice, now: 0, isOverBudget: () => false,
		}).placeStep(ready!);
		t.deepEqual(advisor.requests.map(requested => requested.slice(0, usableWorkers)), [candidates.slice(-usableWorkers).map(({id}) => id)]);
	});
}
