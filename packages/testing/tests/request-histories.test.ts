import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {SeededRandom} from '@tamarackwind/core';
import {
	Cluster, findAttemptViolations, rawResponses, runRetryStorm, type AttemptRecord, type RawResponseName, type WorkerRun,
} from '../src/index.js';

const run: WorkerRun = {
	vmId: 'vm-1', requestKey: 'k', requestId: 'r', attemptTag: 'k-0', path: '/echo', startedAt: 0,
};
const attempt: AttemptRecord = {
	key: 'k', tag: 'k-0', isIdempotent: false, expected: 'x', outcome: 'ran', responseBody: 'x',
};

const cases: Array<{title: string; runs: WorkerRun[]; attempts: AttemptRecord[]; expected: string[]}> = [
	{
		title: 'one run with its response', runs: [run], attempts: [attempt], expected: [],
	},
	{
		title: 'two runs of a key', runs: [run, {...run, attemptTag: 'k-1'}], attempts: [attempt], expected: ['ran-twice'],
	},
	{
		title: 'two runs of an idempotent request', runs: [run, run], attempts: [{...attempt, isIdempotent: true}], expected: [],
	},
	{
		title: 'a run of an attempt with the verdict not-run', runs: [run], attempts: [{...attempt, outcome: 'not-run'}], expected: ['not-run-ran'],
	},
	{
		title: 'a verdict not-run beside a run of another attempt', runs: [run], attempts: [attempt, {...attempt, tag: 'k-1', outcome: 'not-run'}], expected: [],
	},
	{
		title: 'a response of another request', runs: [run], attempts: [{...attempt, responseBody: 'y'}], expected: ['wrong-answer'],
	},
	{
		title: 'a truncated response that looks complete', runs: [run], attempts: [{...attempt, expected: 'xx'}], expected: ['wrong-answer'],
	},
	{
		title: 'a response without a run', runs: [], attempts: [attempt], expected: ['answered-without-run'],
	},
];

for (const {title, runs, attempts, expected} of cases) {
	test(`the checker finds ${expected[0] ?? 'nothing'} in ${title}`, t => {
		t.deepEqual(findAttemptViolations(runs, attempts).map(violation => violation.code), expected);
	});
}

type Storm = {
	readonly title: string;
	readonly seed: number;
	readonly rawResponses: readonly RawResponseName[];
	readonly injectFaults: (cluster: Cluster) => Promise<void>;
};

const storms: Storm[] = [
	{
		title: 'workers that truncate, reset, interchange, duplicate and delay responses', seed: 11, rawResponses: Object.keys(rawResponses) as RawResponseName[], async injectFaults() {},
	},
	{
		title: 'entries that are killed and replaced',
		seed: 12,
		rawResponses: ['reset', 'cut-close', 'whole-then-close'],
		async injectFaults(cluster) {
			for (const index of [0, 1]) {
				await delay(300);
				cluster.entries[index]!.kill('SIGKILL');
				await cluster.addEntry();
			}
		},
	},
	{
		title: 'entries that freeze and resume',
		seed: 13,
		rawResponses: ['reset', 'short-close', 'late-duplicate'],
		async injectFaults(cluster) {
			for (const frozenEntry of cluster.entries.slice(0, 2)) {
				await delay(200);
				frozenEntry.kill('SIGSTOP');
				await delay(3000);
				frozenEntry.kill('SIGCONT');
			}
		},
	},
	{
		title: 'a table service that is down, slow and loses responses',
		seed: 14,
		rawResponses: ['reset', 'crossed'],
		async injectFaults(cluster) {
			for (const tables of [{lostAnswers: 20}, {isDown: true}, {delayMs: 300, lostAnswers: 20}, {}, {lostAnswers: 5}, {isDown: true}]) {
				cluster.platform.setFaults({tables});
				await delay(400);
			}

			cluster.platform.setFaults({});
		},
	},
];

for (const {title, seed, rawResponses, injectFaults} of storms) {
	test.serial(`no guarantee is violated by ${title}`, async t => {
		const random = SeededRandom.create(seed);
		const cluster = await Cluster.create({
			tree: {service: {requestIdEcho: 'required'}, deployments: {fixture: {pools: {north: {services: {work: {}}}}}}},
			workers: {north: 3},
			entries: 3,
		});
		t.teardown(async () => cluster.close());
		for (const worker of cluster.workers) {
			worker.faults = {
				random, rate: 0.25, responses: rawResponses, maxDelayMs: 60,
			};
		}

		const storm = runRetryStorm({
			listUrls: () => cluster.entries.map(entry => entry.getUrl('caller')),
			random,
			path: 'work/echo',
			callers: 24,
			keysPerCaller: 10,
			idempotentRate: 0.4,
			maxAttempts: 4,
			deadlineMs: 400,
			clientTimeoutMs: 1000,
		});
		await injectFaults(cluster);
		const attempts = await storm;
		const runs = cluster.workers.flatMap(worker => worker.runs);
		const answered = attempts.filter(record => record.outcome === 'ran').length;
		t.log(`${attempts.length} attempts, ${runs.length} runs, ${answered} answered, ${attempts.filter(record => record.outcome === 'not-run').length} not-run`);
		t.true(answered > 0);
		t.deepEqual(findAttemptViolations(runs, attempts), []);
	});
}
