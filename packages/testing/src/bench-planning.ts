/**
 * `npm run bench -- planning [--only NAME] [--seconds S] [--order least-cost] [--refusal]`: processor time of the planning passes and of the observation of waiting tasks,
 * with the real scheduler on emulated workers. Passes are not cut in simulated time, so that a figure is the work of a whole pass.
 */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {SeededRandom, SystemClock, type AccountName} from '@tamarackwind/core';
import {noResources, type StepSpec} from '@tamarackwind/scheduling';
import {LoadMeter, type ClientAccount, type OverloadSettings} from '@tamarackwind/workflows';
import {EmulatedSystem} from './emulated-systems.js';
import {createStep} from './system-histories.js';

type Scenario = {
	readonly name: string;
	readonly workers: number;
	/** Number of client accounts, to which the jobs belong in turn; every fourth has a cap. Without accounts by default. */
	readonly accounts?: number;
	/** Steps of the jobs, one each, with the duration of their tasks in milliseconds. */
	readonly createJobs: (random: SeededRandom) => Array<{readonly step: StepSpec; readonly durationMs: number}>;
};

const warmUpMs = 4000;
const submissionMs = 6000;
/** Number of demands of the impossible jobs in a full pool. */
const fullDemands = 1000;
/** Cap of an account that has one, in thousandths of a core: a twentieth of 400 workers. */
const cappedCpu = 160_000;
const activities = ['plan', 'plan deferred jobs', 'observe waits', 'size pools', 'apply listing'] as const;

const scenarios: readonly Scenario[] = [
	...[500, 1500, 3000].map(count => ({
		name: `labels-${count}`, workers: 8, createJobs: () => Array.from({length: count}, (_, index) => createImpossible(index, count)),
	})),
	...[40, 100].map(count => ({
		name: `wide-${count}`, workers: 8, createJobs: () => Array.from({length: count}, () => ({step: createStep({count: 2000, requirement: 'missing'}), durationMs: 500})),
	})),
	...([[5000, 1000, 0], [10_000, 5000, 0], [5000, 1000, 20], [10_000, 5000, 20]] as const).map(([waiting, impossible, accounts]) => ({
		name: `${accounts === 0 ? 'full' : 'accounts'}-${waiting}-${impossible}`, workers: 400, accounts, createJobs: (random: SeededRandom) => [
			...Array.from({length: impossible}, (_, index) => createImpossible(index, fullDemands)),
			...Array.from({length: (waiting - impossible) / 2}, () => ({
				step: createStep({count: 3, resources: {cpu: 500 + random.pickIndex(1500), memory: 500 + random.pickIndex(1500), gpu: 0}}), durationMs: 2000 + random.pickIndex(6000),
			})),
		],
	})),
	// All jobs can be in time by their own durations, so that a plan of deferred jobs looks at each.
	...[1000, 5000].map(count => ({
		name: `in-time-${count}`, workers: 40, createJobs: (random: SeededRandom) => Array.from({length: count}, () => ({
			step: createStep({count: 8, estimatedMs: 60_000 + random.pickIndex(20_000), resources: {cpu: 500 + random.pickIndex(1500), memory: 10, gpu: 0}}), durationMs: 2000 + random.pickIndex(6000),
		})),
	})),
];

/** Creates one of a number of demands that no worker can meet. */
function createImpossible(index: number, demands: number): {readonly step: StepSpec; readonly durationMs: number} {
	return {step: createStep({isLongRunning: true, requirement: `kind-${index % demands}`}), durationMs: 500};
}

function computePercentile(sorted: readonly number[], share: number): number {
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

function formatMs(value: number): string {
	return value.toFixed(2);
}

function createAccounts(count: number): ClientAccount[] {
	return Array.from({length: count}, (_, index) => ({
		name: `account-${index}` as AccountName, weight: 1 + (index % 5), cap: {...noResources, cpu: index % 4 === 0 ? cappedCpu : 0}, keyHashes: [],
	}));
}

async function measure({name, workers, accounts: accountCount = 0, createJobs}: Scenario, seconds: number, overload: Partial<OverloadSettings>): Promise<void> {
	const samples = new Map<string, number[]>();
	const meter = LoadMeter.create(SystemClock.create(), (activity, elapsedMs) => {
		const list = samples.get(activity) ?? [];
		samples.set(activity, list);
		list.push(elapsedMs);
	});
	const accounts = createAccounts(accountCount);
	const system = await EmulatedSystem.create({
		seed: 1, pools: [['north', workers], ['spare', 0]], meter, overload, ...(accountCount === 0 ? {} : {accounts}),
	});
	const {clock} = system;
	await clock.run(warmUpMs);
	const jobs = createJobs(SeededRandom.create(1));
	for (const [index, {step, durationMs}] of jobs.entries()) {
		clock.schedule((index * submissionMs) / jobs.length, () => {
			void system.submit([step], durationMs, {account: accounts[index % Math.max(1, accountCount)]?.name});
		});
	}

	await clock.run(submissionMs + 2000);
	samples.clear();
	const before = process.cpuUsage();
	const startedAt = performance.now();
	await clock.run(seconds * 1000);
	const {user, system: kernel} = process.cpuUsage(before);
	for (const activity of activities.filter(other => samples.has(other))) {
		const sorted = (samples.get(activity) ?? []).toSorted((a, b) => a - b);
		const totalMs = sorted.reduce((sum, value) => sum + value, 0);
		console.log([
			name, activity, `count ${sorted.length}`, `p50 ${formatMs(computePercentile(sorted, 0.5))}`, `p99 ${formatMs(computePercentile(sorted, 0.99))}`, `max ${formatMs(sorted.at(-1) ?? 0)}`, `ms/s ${formatMs(totalMs / seconds)}`,
		].join('  '));
	}

	const waiting = [...system.holder!.scheduler.pools].map(pool => [...pool.waits.summaries].map(([reason, {tasks}]) => `${reason} ${tasks}`).join(', ')).join('; ');
	console.log(`${name}  waiting: ${waiting}; cpu ${formatMs((user + kernel) / 1000)} ms in ${formatMs(performance.now() - startedAt)} ms, heap ${Math.round(process.memoryUsage().heapUsed / (1024 * 1024))} MB`);
}

export async function runBench(args: readonly string[]): Promise<void> {
	const {values} = parseArgs({
		args: [...args], options: {
			only: {type: 'string'}, seconds: {type: 'string', default: '3'}, order: {type: 'string', default: 'deadline'}, refusal: {type: 'boolean', default: false},
		},
	});
	for (const scenario of scenarios.filter(({name}) => values.only === undefined || name.startsWith(values.only))) {
		await measure(scenario, Number(values.seconds), {order: values.order === 'least-cost' ? values.order : 'deadline', isRefusing: values.refusal});
	}
}
