import {type ServiceName} from '@tamarackwind/core';
import test from 'ava';
import {
	WaitMonitor, type ActiveJob, type RateLimitedLog, type StepState, type Task,
} from '../src/index.js';

type Line = {readonly level: string; readonly message: string; readonly fields: Record<string, unknown>};

type Case = {
	readonly name: string;
	readonly task: Partial<Pick<Task, 'phase' | 'crashes' | 'notBefore' | 'isConfirmed'>>;
	readonly step?: Partial<Pick<StepState, 'waitReason' | 'suspectWaitReason'>>;
	/** CPU in use of the pool's 1000. */
	readonly usedCpu?: number;
	readonly unavailableCpu?: number;
	/** Seconds for which the task is observed. */
	readonly seconds?: number;
	readonly reason: string | undefined;
	readonly level?: 'info' | 'warn';
};

function createJob(step: Partial<StepState>): ActiveJob {
	return {isTerminal: false, job: {id: 'job-1'}, listOpenSteps: () => [{changes: 0, ...step}]} as unknown as ActiveJob;
}

const cases: readonly Case[] = [
	{
		name: 'a task that no pass has reached', task: {}, reason: 'not-reached', level: 'info',
	},
	{
		name: 'a task without a place', task: {}, step: {waitReason: 'no-room'}, reason: 'no-room', level: 'info',
	},
	{
		name: 'a suspect among tasks without a place', task: {crashes: 1}, step: {waitReason: 'no-room', suspectWaitReason: 'suspect'}, reason: 'suspect', level: 'info',
	},
	{
		name: 'a suspect that waits longer than the limit while the pool has room', task: {crashes: 1}, step: {suspectWaitReason: 'suspect'}, seconds: 5, reason: 'suspect', level: 'warn',
	},
	{
		name: 'a task that waits as long for the cap of its account while the pool has room', task: {}, step: {waitReason: 'account-cap'}, seconds: 5, reason: 'account-cap', level: 'info',
	},
	{
		name: 'a task that waits as long in a full pool', task: {}, step: {waitReason: 'no-room'}, usedCpu: 900, seconds: 5, reason: 'no-room', level: 'info',
	},
	{
		name: 'a task that waits as long beside workers that get no new work', task: {}, step: {waitReason: 'no-room'}, unavailableCpu: 1000, seconds: 5, reason: 'no-room', level: 'warn',
	},
	{
		name: 'a task whose assignment is not durable', task: {phase: 'recorded'}, reason: 'recording', level: 'info',
	},
	{
		name: 'a start without an answer', task: {phase: 'starting'}, reason: 'unconfirmed', level: 'info',
	},
	{
		name: 'a run that is being stopped', task: {phase: 'stopping'}, reason: 'stopping', level: 'info',
	},
	{
		name: 'a task that failed a moment ago', task: {notBefore: 1_000_000}, reason: 'restart-delay', level: 'info',
	},
	{name: 'a confirmed start', task: {phase: 'starting', isConfirmed: true}, reason: undefined},
	{name: 'a run', task: {phase: 'running'}, reason: undefined},
	{
		name: 'a new wait', task: {}, seconds: 0, reason: 'not-reached',
	},
];

for (const {name, task: fields, step = {}, usedCpu = 100, unavailableCpu = 0, seconds = 2, reason, level} of cases) {
	test(`wait: ${name}`, t => {
		const lines: Line[] = [];
		const write = (lineLevel: string) => (message: string, lineFields: Record<string, unknown>) => {
			lines.push({level: lineLevel, message, fields: lineFields});
		};

		const log = {info: write('info'), warn: write('warn')} as unknown as RateLimitedLog;
		const task = {
			phase: 'waiting', crashes: 0, notBefore: 0, isConfirmed: false, ...fields,
		} as unknown as Task;
		const job = createJob({...step, tasks: [task]});
		const monitor = WaitMonitor.create({log, service: 'north' as ServiceName});
		for (let second = 0; second <= seconds; second++) {
			monitor.observe({
				jobs: [job], now: second * 1000, readUse: () => ({usedCpu, cpu: 1000 - unavailableCpu, unavailableCpu}), isOverBudget: () => false,
			});
		}

		t.deepEqual([...monitor.summaries], reason === undefined ? [] : [[reason, {tasks: 1, longestMs: seconds * 1000}]] as never);
		t.is(lines.at(-1)?.level, level);
		t.deepEqual(lines.at(-1)?.fields.jobs, level === undefined ? undefined : ['job-1']);
	});
}

// Guards against an observation that throws because of the number of waiting tasks, and so ends the planning pass that it is part of.
for (const count of [1000, 150_000]) {
	test(`wait: ${count} tasks of one reason`, t => {
		const log = {info() {}, warn() {}} as unknown as RateLimitedLog;
		const tasks = Array.from({length: count}, () => ({
			phase: 'waiting', crashes: 0, notBefore: 0, isConfirmed: false,
		})) as unknown as Task[];
		const job = createJob({waitReason: 'no-matching-worker', tasks});
		const monitor = WaitMonitor.create({log, service: 'north' as ServiceName});
		for (const now of [0, 4000]) {
			monitor.observe({
				jobs: [job], now, readUse: () => ({usedCpu: 0, cpu: 1000, unavailableCpu: 0}), isOverBudget: () => false,
			});
		}

		t.deepEqual([...monitor.summaries], [['no-matching-worker', {tasks: count, longestMs: 4000}]]);
	});
}
