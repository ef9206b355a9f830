import {
	Log, ManualClock, type AccountName, type JobId, type ServiceName,
} from '@tamarackwind/core';
import {noResources, type StepSpec} from '@tamarackwind/scheduling';
import test from 'ava';
import {
	ActiveJob, ChargeMonitor, logCapWait, RateLimitedLog, type ChargeSummary, type TaskPhase,
} from '../src/index.js';

const account = 'one' as AccountName;
const service = 'north' as ServiceName;
const spec: StepSpec = {
	count: 4, resources: {cpu: 1000, memory: 10, gpu: 0}, estimatedMs: 800, after: [], isCheckpointing: false, isGang: false, isSameRack: false, isSpeculative: false, isLongRunning: false, isFiller: false,
};

function createJob(): ActiveJob {
	const job = ActiveJob.create({
		id: 'job' as JobId, service, queue: 'north', payload: '', steps: [spec], submittedAt: 0, account, policy: {
			priority: 0, maxAttempts: 3, slackFactor: 2, targetLatencyMs: 600,
		},
	}, {monotonic: 0, wall: 0}, {valueBytes: 49_152, transactionBytes: 690_000, transactionEntries: 100});
	job.openOccurrences(0);
	return job;
}

type Case = {
	readonly name: string;
	readonly phase: TaskPhase;
	readonly isConfirmed?: boolean;
	/** Whether the worker is in touch, at the start of each second. */
	readonly inTouch: readonly boolean[];
	readonly expected: Pick<ChargeSummary, 'unconfirmedTasks' | 'oldestUnconfirmedMs'>;
};

const cases: readonly Case[] = [
	{
		name: 'a run on a worker in touch', phase: 'running', inTouch: [true, true], expected: {unconfirmedTasks: 0, oldestUnconfirmedMs: 0},
	},
	{
		name: 'a start that the worker has confirmed', phase: 'starting', isConfirmed: true, inTouch: [true, true], expected: {unconfirmedTasks: 0, oldestUnconfirmedMs: 0},
	},
	{
		name: 'a start without an answer', phase: 'starting', inTouch: [true, true, true], expected: {unconfirmedTasks: 1, oldestUnconfirmedMs: 2000},
	},
	{
		name: 'a start that is being written', phase: 'recorded', inTouch: [true, true], expected: {unconfirmedTasks: 1, oldestUnconfirmedMs: 1000},
	},
	{
		name: 'a run that is being stopped', phase: 'stopping', isConfirmed: true, inTouch: [true, true], expected: {unconfirmedTasks: 1, oldestUnconfirmedMs: 1000},
	},
	{
		name: 'a run on a worker out of touch', phase: 'running', inTouch: [true, false, false], expected: {unconfirmedTasks: 1, oldestUnconfirmedMs: 1000},
	},
	{
		name: 'a run on a worker that is in touch again', phase: 'running', inTouch: [false, false, true], expected: {unconfirmedTasks: 0, oldestUnconfirmedMs: 0},
	},
];

for (const {
	name, phase, isConfirmed = false, inTouch, expected,
} of cases) {
	test(`what an account is charged for: ${name}`, t => {
		const monitor = ChargeMonitor.create();
		const [task] = createJob().tasks;
		task!.phase = phase;
		task!.isConfirmed = isConfirmed;
		monitor.add(task!);
		for (const [second, isInTouch] of inTouch.entries()) {
			monitor.observe({now: second * 1000, isInTouch: () => isInTouch});
		}

		const {charged, confirmed, ...rest} = monitor.summaries.get(account)!;
		t.deepEqual(rest, expected);
		t.is(charged.cpu, 1000);
		t.is(confirmed.cpu, expected.unconfirmedTasks === 0 ? 1000 : 0);
		monitor.remove(task!);
		monitor.observe({now: inTouch.length * 1000, isInTouch: () => true});
		t.is(monitor.summaries.size, 0);
	});
}

// Guards against a wait that is reported once and then no more, or for an account that no longer waits.
test('an account is named in each second in which its cap has kept a task waiting', t => {
	const monitor = ChargeMonitor.create();
	const observe = (now: number): AccountName[] => [...monitor.observe({now, isInTouch: () => true})];
	monitor.recordWait(account);
	t.deepEqual(observe(0), [account]);
	monitor.recordWait(account);
	t.deepEqual(observe(999), []);
	t.deepEqual(observe(1000), [account]);
	t.deepEqual(observe(2000), []);
});

const logCases = [
	{confirmedCpu: 1999, oldestUnconfirmedMs: 3001, level: 'warn'},
	{confirmedCpu: 2000, oldestUnconfirmedMs: 3001, level: 'info'},
	{confirmedCpu: 0, oldestUnconfirmedMs: 3000, level: 'info'},
] as const;

for (const {confirmedCpu, oldestUnconfirmedMs, level} of logCases) {
	test(`a wait for a cap of 4 cores with ${confirmedCpu} thousandths confirmed and a charge in doubt for ${oldestUnconfirmedMs} ms is logged as ${level}`, t => {
		const lines: string[] = [];
		const log = RateLimitedLog.create(Log.create({
			format: 'json', write(line) {
				lines.push(line);
			},
		}), ManualClock.create());
		logCapWait(log, {
			service, account, cap: {...noResources, cpu: 4000}, charged: {...noResources, cpu: 4000}, byService: new Map([
				[service, {
					charged: {...noResources, cpu: 3000}, confirmed: {...noResources, cpu: confirmedCpu}, unconfirmedTasks: 1, oldestUnconfirmedMs,
				}],
				['south' as ServiceName, {
					charged: {...noResources, cpu: 1000}, confirmed: noResources, unconfirmedTasks: 1, oldestUnconfirmedMs: 0,
				}],
			]),
		});
		const line = JSON.parse(lines[0]!) as {readonly level: string};
		t.is(line.level, level);
		t.like(line, {
			account, charged: {cpu: 4000}, confirmed: {cpu: confirmedCpu}, unconfirmedTasks: 2, oldestUnconfirmedMs, services: {north: {chargedCpu: 3000, confirmedCpu}, south: {chargedCpu: 1000, confirmedCpu: 0}},
		});
	});
}
