import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {SeededRandom} from '@tamarackwind/core';
import {
	Cluster, findViolations, rawAnswers, runStorm, type AttemptRecord, type RawAnswerName, type WorkerRun,
} from '../src/index.js';

const run: WorkerRun = {
	vmId: 'vm-1', requestKey: 'k', requestId: 'r', attemptTag: 'k-0', path: '/echo', startedAt: 0,
};
const attempt: AttemptRecord = {
	key: 'k', tag: 'k-0', isIdempotent: false, expected: 'x', seen: 'ran', answer: 'x',
};

const cases: Array<{title: string; runs: WorkerRun[]; attempts: AttemptRecord[]; expected: string[]}> = [
	{
		title: 'one run with its answer', runs: [run], attempts: [attempt], expected: [],
	},
	{
		title: 'two runs of a key', runs: [run, {...run, attemptTag: 'k-1'}], attempts: [attempt], expected: ['ran-twice'],
	},
	{
		title: 'two runs of idempotent work', runs: [run, run], attempts: [{...attempt, isIdempotent: true}], expected: [],
	},
	{
		title: 'a run that was told not-run', runs: [run], attempts: [{...attempt, seen: 'not-run'}], expected: ['not-run-ran'],
	},
	{
		title: 'a not-run next to a run of another attempt', runs: [run], attempts: [attempt, {...attempt, tag: 'k-1', seen: 'not-run'}], expected: [],
	},
	{
		title: 'a swapped answer', runs: [run], attempts: [{...attempt, answer: 'y'}], expected: ['wrong-answer'],
	},
	{
		title: 'a cut answer that looks whole', runs: [run], attempts: [{...attempt, expected: 'xx'}], expected: ['wrong-answer'],
	},
	{
		title: 'an answer of nobody', runs: [], attempts: [attempt], expected: ['answered-without-run'],
	},
];

for (const {title, runs, attempts, expected} of cases) {
	test(`the checker finds ${expected[0] ?? 'nothing'} in ${title}`, t => {
		t.deepEqual(findViolations(runs, attempts).map(violation => violation.code), expected);
	});
}

type Storm = {
	readonly title: string;
	readonly seed: number;
	readonly answers: readonly RawAnswerName[];
	readonly disturb: (cluster: Cluster) => Promise<void>;
};

const storms: Storm[] = [
	{
		title: 'workers that cut, reset, cross, double and delay', seed: 11, answers: Object.keys(rawAnswers) as RawAnswerName[], async disturb() {},
	},
	{
		title: 'entries that are killed and replaced',
		seed: 12,
		answers: ['reset', 'cut-close', 'whole-then-close'],
		async disturb(cluster) {
			for (const victim of [0, 1]) {
				await delay(300);
				cluster.entries[victim]!.kill('SIGKILL');
				await cluster.addEntry();
			}
		},
	},
	{
		title: 'entries that freeze and go on',
		seed: 13,
		answers: ['reset', 'short-close', 'late-duplicate'],
		async disturb(cluster) {
			for (const victim of cluster.entries.slice(0, 2)) {
				await delay(200);
				victim.kill('SIGSTOP');
				await delay(3000);
				victim.kill('SIGCONT');
			}
		},
	},
	{
		title: 'a table service that is down, slow and loses answers',
		seed: 14,
		answers: ['reset', 'crossed'],
		async disturb(cluster) {
			for (const tables of [{lostAnswers: 20}, {isDown: true}, {delayMs: 300, lostAnswers: 20}, {}, {lostAnswers: 5}, {isDown: true}]) {
				cluster.platform.setFaults({tables});
				await delay(400);
			}

			cluster.platform.setFaults({});
		},
	},
];

for (const {title, seed, answers, disturb} of storms) {
	test.serial(`no promise is broken by ${title}`, async t => {
		const random = SeededRandom.create(seed);
		const cluster = await Cluster.create({
			tree: {service: {requestIdEcho: 'required'}, deployments: {fixture: {pools: {north: {services: {work: {}}}}}}},
			workers: {north: 3},
			entries: 3,
		});
		t.teardown(async () => cluster.close());
		for (const worker of cluster.workers) {
			worker.faults = {
				random, rate: 0.25, answers, maxDelayMs: 60,
			};
		}

		const storm = runStorm({
			listUrls: () => cluster.entries.map(entry => entry.getUrl('caller')),
			random,
			path: 'work/echo',
			callers: 24,
			keysPerCaller: 10,
			idempotentRate: 0.4,
			maxAttempts: 4,
			deadlineMs: 400,
			patienceMs: 1000,
		});
		await disturb(cluster);
		const attempts = await storm;
		const runs = cluster.workers.flatMap(worker => worker.runs);
		const answered = attempts.filter(record => record.seen === 'ran').length;
		t.log(`${attempts.length} attempts, ${runs.length} runs, ${answered} answered, ${attempts.filter(record => record.seen === 'not-run').length} not-run`);
		t.true(answered > 0);
		t.deepEqual(findViolations(runs, attempts), []);
	});
}
