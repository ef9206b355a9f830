import {
	type JobId, type ServiceName, type VmId, type ZoneName,
} from '@tamarackwind/core';
import {type StepSpec} from '@tamarackwind/scheduling';
import test from 'ava';
import {
	ActiveJob, AdviceCache, PlacementPass, type PlanCandidate, type WaitReason, type WorkerSession,
} from '../src/index.js';

const workers = 8;
const now = 10_000;
const limits = {valueBytes: 49_152, transactionBytes: 690_000, transactionEntries: 100};
const step: StepSpec = {
	count: 100, resources: {cpu: 100, memory: 10, gpu: 0}, estimatedMs: 800, after: [], isCheckpointing: false, isGang: false, isSameRack: false, isSpeculative: false, isLongRunning: false, isFiller: false,
};

/** Queues without a placement policy ask for no tickets. */
const advice: AdviceCache = Object.create(AdviceCache.prototype) as AdviceCache;

function createJob(index: number, crashes: number, spec = step): ActiveJob {
	const job = ActiveJob.create({
		id: `job-${index}` as JobId, service: 'north' as ServiceName, queue: 'north', payload: '', steps: [spec], submittedAt: 0, policy: {
			priority: 0, maxAttempts: 3, slackFactor: 2, targetLatencyMs: 600,
		},
	}, {monotonic: 0, wall: 0}, limits);
	job.openOccurrences(0);
	for (const task of job.tasks) {
		task.crashes = crashes;
		task.releasedAt = now;
	}

	return job;
}

type Pass = {readonly placed: readonly number[]; readonly looks: number; readonly reserved: number};

/** Places jobs of 100 tasks, each with the given number of crashes; returns the tasks placed of each job, and the looks at runs of workers. */
function placeJobs(crashes: readonly number[]): Pass {
	let looks = 0;
	const candidates: PlanCandidate[] = Array.from({length: workers}, (_, index) => ({
		id: `worker-${index}` as VmId, zone: 'zone-a' as ZoneName, labels: [], capacity: {cpu: 64_000, memory: 64_000, gpu: 0}, free: {cpu: 64_000, memory: 64_000, gpu: 0}, suspicion: 0, servingTasks: 0, fillerTasks: 0, suspectLoad: 0, isReserved: false,
		session: {
			record: {startedAt: 1}, addTask() {}, get hasUnprovenRuns() {
				looks++;
				return false;
			},
		} as unknown as WorkerSession,
	}));
	const pass = PlacementPass.create({
		candidates, advice, now, isOverBudget: () => false,
	});
	const jobs = crashes.map((count, index) => createJob(index, count));
	const placed = jobs.map(job => job.listReadySteps().flatMap(ready => pass.placeStep(ready)));
	const reserved = new Set(placed.flat().filter(task => task.crashes > 2).map(({incarnation}) => incarnation!.id));
	return {placed: placed.map(tasks => tasks.length), looks, reserved: reserved.size};
}

type Case = {readonly name: string; readonly crashes: readonly number[]; readonly placed: readonly number[]};

const cases: readonly Case[] = [
	{name: 'tasks without a crash are not limited', crashes: [0], placed: [100]},
	{name: 'suspects of one crash start 32 to a worker', crashes: [1, 1, 1], placed: [100, 100, 56]},
	{name: 'suspects of two crashes start 6 to a worker', crashes: [2], placed: [48]},
	{name: 'suspects of more crashes start alone, on half of the workers', crashes: [3], placed: [4]},
	{name: 'suspects that start alone leave room to other tasks', crashes: [4, 0], placed: [4, 100]},
	{name: 'suspects that start alone avoid workers with new starts', crashes: [0, 3], placed: [100, 4]},
];

for (const {name, crashes, placed} of cases) {
	test(`pass: ${name}`, t => {
		t.deepEqual(placeJobs(crashes).placed, placed);
	});
}

// Guards against passes whose cost grows with the suspects that wait, which took all of the holder's processor time.
test('pass: each worker is asked for its unproven runs once, whatever the number of suspects', t => {
	const {looks, reserved} = placeJobs(Array.from({length: 50}, () => 3));
	t.is(reserved, workers / 2);
	t.true(looks <= workers, `${looks} looks`);
});

// Guards against passes whose cost grows with the steps that no worker can run: 3,000 of them filled the holder's event loop.
for (const [name, createSpec] of [
	['need labels which no worker has', (index: number) => ({...step, requirement: `kind-${index}`})],
	['are larger than a worker', (index: number) => ({...step, resources: {cpu: 100_000 - index, memory: 10 + index, gpu: 0}})],
] as const) {
	test(`pass: steps that ${name} are left after one look at the workers of a size`, t => {
		let looks = 0;
		const candidates: PlanCandidate[] = Array.from({length: workers}, (_, index) => ({
			id: `worker-${index}` as VmId, zone: 'zone-a' as ZoneName, labels: Object.assign(['a'], {
				includes(label: string) {
					looks++;
					return label === 'a';
				},
			}), capacity: {
				get cpu() {
					looks++;
					return 64_000;
				}, memory: 64_000, gpu: 0,
			}, free: {cpu: 64_000, memory: 64_000, gpu: 0}, suspicion: 0, servingTasks: 0, fillerTasks: 0, suspectLoad: 0, isReserved: false,
			session: {} as unknown as WorkerSession,
		}));
		const pass = PlacementPass.create({
			candidates, advice, now, isOverBudget: () => false,
		});
		const steps = Array.from({length: 1000}, (_, index) => createJob(index, 0, createSpec(index)).listReadySteps()[0]!);
		looks = 0;
		t.deepEqual(steps.flatMap(ready => pass.placeStep(ready)), []);
		t.deepEqual(new Set(steps.map(({waitReason}) => waitReason)), new Set(['no-matching-worker'] as const));
		t.true(looks <= steps.length, `${looks} looks`);
	});
}

type SlotCase = {
	readonly name: string;
	/** Start slots of each worker. */
	readonly startSlots: readonly number[];
	readonly spec: Partial<StepSpec>;
	/** Number of tasks placed on each worker. */
	readonly placed: readonly number[];
	readonly reason: WaitReason | undefined;
};

const slotCases: readonly SlotCase[] = [
	{
		name: 'go to other workers once one has enough', startSlots: [4, 4], spec: {count: 6}, placed: [4, 2], reason: undefined,
	},
	{
		name: 'wait once all workers have enough', startSlots: [4, 4], spec: {count: 10}, placed: [4, 4], reason: 'start-queued',
	},
	{
		name: 'are not assigned to a worker without a slot', startSlots: [0, 4], spec: {count: 3}, placed: [0, 3], reason: undefined,
	},
	{
		name: 'of a gang are assigned together', startSlots: [2, 2], spec: {count: 8, isGang: true}, placed: [8, 0], reason: undefined,
	},
];

// Guards against starts that wait behind hundreds of others of one worker while the rest of the pool is idle.
for (const {
	name, startSlots, spec, placed, reason,
} of slotCases) {
	test(`pass: starts ${name}`, t => {
		const candidates: PlanCandidate[] = startSlots.map((slots, index) => ({
			id: `worker-${index}` as VmId, zone: 'zone-a' as ZoneName, labels: ['a'], capacity: {cpu: 64_000, memory: 64_000, gpu: 0}, free: {cpu: 64_000, memory: 64_000, gpu: 0}, suspicion: 0, servingTasks: 0, fillerTasks: 0, suspectLoad: 0, isReserved: false, startSlots: slots,
			session: {record: {startedAt: 1}, addTask() {}} as unknown as WorkerSession,
		}));
		const pass = PlacementPass.create({
			candidates, advice, now, isOverBudget: () => false,
		});
		const ready = createJob(0, 0, {...step, ...spec}).listReadySteps()[0]!;
		const tasks = pass.placeStep(ready);
		t.deepEqual(candidates.map(({id}) => tasks.filter(({incarnation}) => incarnation?.id === id).length), [...placed]);
		t.is(ready.waitReason, reason);
	});
}
