import {
	Log, ManualClock, type AccountName, type JobId, type ServiceName,
} from '@tamarackwind/core';
import {maxOvertakes, type StepSpec} from '@tamarackwind/scheduling';
import test from 'ava';
import {
	ActiveJob, defaultOverloadSettings, LoadMeter, OverloadPolicy, OverloadTerm, PoolBacklog, RateLimitedLog, WaitingSteps, type OverloadSettings, type WaitReason,
} from '../src/index.js';
import {StepWaits, WaitSums} from '../src/wait-counts.js';

const start = 100_000;
const limits = {valueBytes: 49_152, transactionBytes: 690_000, transactionEntries: 100};
const service = 'north' as ServiceName;
const cpu = 1000;
const step: StepSpec = {
	count: 1, resources: {cpu, memory: 10, gpu: 0}, estimatedMs: 800, after: [], isCheckpointing: false, isGang: false, isSameRack: false, isSpeculative: false, isLongRunning: false, isFiller: false,
};

type System = {
	readonly clock: ManualClock;
	readonly backlog: PoolBacklog;
	readonly waiting: WaitingSteps;
	readonly lines: string[];
	readonly errorsMs: number[];
	/** Number of plans of deferred jobs. */
	readonly countPlans: () => number;
	settings: OverloadSettings;
};

const leastCost: Partial<OverloadSettings> = {order: 'least-cost'};

function createSystem(settings = leastCost, hasOverload = true): System {
	const clock = ManualClock.create(start);
	const lines: string[] = [];
	const errorsMs: number[] = [];
	let plans = 0;
	const meter = LoadMeter.create(clock, activity => {
		plans += activity === 'plan deferred jobs' ? 1 : 0;
	});
	const log = RateLimitedLog.create(Log.create({
		format: 'json', write(line) {
			lines.push(line);
		},
	}), clock);
	const system: {settings: OverloadSettings} = {settings: {...defaultOverloadSettings, ...settings}};
	const overload = OverloadTerm.create({
		clock, epoch: 1, policy: OverloadPolicy.create({getSettings: () => system.settings, getConfiguration: () => undefined}), onEstimateError(errorMs) {
			errorsMs.push(errorMs);
		},
	});
	return Object.assign(system, {
		clock, lines, errorsMs, waiting: WaitingSteps.create(), countPlans: () => plans,
		backlog: PoolBacklog.create({
			clock, log, meter, service, ...(hasOverload ? {overload} : {}),
		}),
	});
}

let jobCount = 0;

/** Adds a job whose tasks take the pool `count` times 0.8 s. */
function addJob({clock, backlog, waiting}: System, count: number, {targetLatencyMs = 600, account, spec = {}}: {readonly targetLatencyMs?: number; readonly account?: AccountName; readonly spec?: Partial<StepSpec>} = {}): ActiveJob {
	const now = clock.readMonotonic();
	const job = ActiveJob.create({
		id: `job-${jobCount++}` as JobId, service, queue: 'north', payload: '', steps: [{...step, count, ...spec}], submittedAt: now, ...(account === undefined ? {} : {account}), policy: {
			priority: 0, maxAttempts: 3, slackFactor: 1, targetLatencyMs,
		},
	}, {monotonic: now, wall: now}, limits);
	waiting.add(job);
	backlog.add(job);
	waiting.update(now, () => false);
	return job;
}

/** Lists the waiting jobs in the order in which a planning pass visits them. */
function listOrder({clock, waiting}: System): ActiveJob[] {
	const order: ActiveJob[] = [];
	waiting.update(clock.readWall(), () => false);
	waiting.visit({
		now: clock.readMonotonic(), isOverBudget: () => false, explain: () => undefined, place({job}) {
			order.push(job);
			return false;
		},
	});
	return order;
}

/** Adds a large job and two small ones with later deadlines, of which all three can't be in time. */
function addBurst(system: System): ActiveJob[] {
	return [addJob(system, 3, {targetLatencyMs: 500}), addJob(system, 1, {targetLatencyMs: 800}), addJob(system, 1, {targetLatencyMs: 1200})];
}

test('a job that costs the most goes behind those that can then be in time', t => {
	const system = createSystem();
	const [large, first, second] = addBurst(system);
	t.deepEqual(listOrder(system), [large!, first!, second!]);
	system.backlog.update(() => cpu);
	t.deepEqual(listOrder(system), [first!, second!, large!]);
	t.is(system.backlog.deferredCount, 1);
	t.true(system.lines.some(line => line.includes('"jobs deferred"') && line.includes(large!.job.id)));
});

test('the order is that of the deadlines while the capacity is enough', t => {
	const system = createSystem();
	const jobs = addBurst(system);
	system.backlog.update(() => 10 * cpu);
	t.deepEqual(listOrder(system), jobs);
	t.is(system.backlog.deferredCount, 0);
});

const inactive: ReadonlyArray<[string, Partial<OverloadSettings>, boolean]> = [
	['the settings ask for nothing', {}, true],
	['the settings ask for refusals only', {isRefusing: true}, true],
	['the scheduler has no policy', {order: 'least-cost'}, false],
];

// Guards against a change of behaviour, and against the cost of plans, in deployments that ask for nothing.
for (const [name, settings, hasOverload] of inactive) {
	test(`nothing is planned while ${name}`, t => {
		const system = createSystem(settings, hasOverload);
		const jobs = addBurst(system);
		system.backlog.update(() => {
			throw new Error('the capacity is not needed');
		});
		t.deepEqual(listOrder(system), jobs);
		t.false(system.backlog.noteStart(jobs[0]!, jobs[0]!.tasks));
		t.is(system.countPlans(), 0);
	});
}

// Guards against planning passes whose cost grows with the number of waiting jobs.
test('jobs are planned at most every 100 ms, and only after a change', async t => {
	const system = createSystem();
	addBurst(system);
	const plans: number[] = [];
	const updateAfter = async (ms: number, poolCpu = cpu): Promise<void> => {
		await system.clock.advance(ms);
		system.backlog.update(() => poolCpu);
		plans.push(system.countPlans());
	};

	await updateAfter(0);
	addBurst(system);
	await updateAfter(99);
	await updateAfter(1);
	await updateAfter(500);
	await updateAfter(500, 2 * cpu);
	t.deepEqual(plans, [1, 1, 2, 2, 3]);
});

test('jobs lose their deferral when the settings no longer ask for it', t => {
	const system = createSystem();
	const jobs = addBurst(system);
	system.backlog.update(() => cpu);
	system.settings = defaultOverloadSettings;
	system.backlog.update(() => cpu);
	t.deepEqual(listOrder(system), jobs);
	t.is(system.backlog.deferredCount, 0);
});

// Guards against a job that waits without end while later ones are served.
test(`a deferred job keeps its place once ${maxOvertakes} later ones have started`, async t => {
	const system = createSystem();
	const [large] = addBurst(system);
	system.backlog.update(() => cpu);
	const signals: boolean[] = [];
	for (let index = 0; index < maxOvertakes; index++) {
		await system.clock.advance(1);
		const later = addJob(system, 1);
		signals.push(system.backlog.noteStart(later, later.tasks));
		t.false(system.backlog.noteStart(later, later.tasks), 'a further task of the same job does not count');
	}

	t.deepEqual(signals, Array.from({length: maxOvertakes}, (_, index) => index === maxOvertakes - 1));
	t.is(listOrder(system)[0], large);
	await system.clock.advance(100);
	system.backlog.update(() => cpu);
	t.is(listOrder(system)[0], large, 'it is not deferred again');
});

const waits: ReadonlyArray<[WaitReason | undefined, WaitReason]> = [['no-room', 'deferred'], [undefined, 'deferred'], ['no-matching-worker', 'no-matching-worker'], ['no-ticket', 'no-ticket']];

for (const [found, expected] of waits) {
	test(`a task of a deferred job that finds no place for ${found ?? 'no known reason'} waits as ${expected}`, t => {
		const system = createSystem();
		const [large] = addBurst(system);
		system.backlog.update(() => cpu);
		const [state] = large!.steps;
		state!.waitReason = found;
		const sums = WaitSums.create(start);
		StepWaits.create(state!, start).addTo(sums);
		t.deepEqual([...sums.reasons.keys()], [expected]);
	});
}

test('an estimate counts waiting work by rank, without long-running jobs and what they use', t => {
	const system = createSystem({isRefusing: true});
	addJob(system, 2, {targetLatencyMs: 1000});
	const lasting = addJob(system, 1, {spec: {isLongRunning: true, resources: {cpu: 200, memory: 1, gpu: 0}}});
	lasting.tasks[0]!.phase = 'running';
	const estimate = system.backlog.estimate(cpu + 200, false);
	t.deepEqual(estimate, {
		priorities: [{priority: 0, inTime: {beforeMs: 0, points: [[1800, 1600]]}, late: {beforeMs: 1600, points: []}}], hasIdleVm: false, latePosition: 'deadline',
	});
});

test('the error of an estimate is the actual end less the estimated one', async t => {
	const system = createSystem({isRefusing: true});
	addJob(system, 1);
	system.backlog.estimate(cpu, false);
	const job = addJob(system, 1, {targetLatencyMs: 1000});
	await system.clock.advance(2000);
	job.tasks[0]!.phase = 'done';
	job.updateState();
	system.backlog.remove(job);
	t.deepEqual(system.errorsMs, [2000 - 800 - 800]);
});

test('a job that is cancelled, or was accepted before the first estimate, has no error', t => {
	const system = createSystem({isRefusing: true});
	const early = addJob(system, 1);
	system.backlog.estimate(cpu, false);
	const cancelled = addJob(system, 1);
	cancelled.isCancelled = true;
	early.tasks[0]!.phase = 'done';
	for (const job of [early, cancelled]) {
		job.updateState();
		system.backlog.remove(job);
	}

	t.deepEqual(system.errorsMs, []);
});

test('waiting CPU is summed up by account', t => {
	const system = createSystem();
	const north = 'north' as AccountName;
	addJob(system, 2, {account: north});
	addJob(system, 1);
	const running = addJob(system, 1, {account: 'south' as AccountName});
	running.tasks[0]!.phase = 'running';
	t.deepEqual([...system.backlog.computeWaitingCpu()], [[north, 2 * cpu], [undefined, cpu]]);
});
