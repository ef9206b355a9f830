/**
 * `npm run bench -- freezes [--freeze-seconds S]`: suspends, kills and replaces entries while callers retry their requests with the
 * same keys through the other entries; prints the violations that the history checker finds.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {setTimeout as delay} from 'node:timers/promises';
import {SeededRandom} from '@tamarackwind/core';
import {Cluster} from './clusters.js';
import {findAttemptViolations} from './attempt-checks.js';
import {runRetryStorm} from './retry-storms.js';

const seed = 21;

async function injectFaults(cluster: Cluster, freezeMs: number): Promise<void> {
	for (const frozenEntry of cluster.entries.slice(0, 2)) {
		await delay(500);
		frozenEntry.kill('SIGSTOP');
		await delay(freezeMs);
		frozenEntry.kill('SIGCONT');
	}

	cluster.entries[2]!.kill('SIGKILL');
	await cluster.addEntry();
}

/** Runs the bench and prints its results; sets exit code 1 if the history checker finds a violation. */
export async function runBench(args: readonly string[]): Promise<void> {
	const {values} = parseArgs({args: [...args], options: {'freeze-seconds': {type: 'string', default: '20'}}});
	const freezeMs = Number(values['freeze-seconds']) * 1000;
	const random = SeededRandom.create(seed);
	const cluster = await Cluster.create({
		tree: {service: {requestIdEcho: 'required'}, deployments: {fixture: {pools: {north: {services: {work: {}}}}}}},
		workers: {north: 3},
		entries: 4,
	});
	for (const worker of cluster.workers) {
		worker.faults = {
			random, rate: 0.1, responses: ['reset', 'cut-close', 'crossed'], maxDelayMs: 200,
		};
	}

	const storm = runRetryStorm({
		listUrls: () => cluster.entries.map(entry => entry.getUrl('caller')),
		random,
		path: 'work/echo',
		callers: 24,
		keysPerCaller: 20 + Math.round(freezeMs / 200),
		idempotentRate: 0.4,
		maxAttempts: 8,
		deadlineMs: 1000,
		clientTimeoutMs: 2000,
	});
	await injectFaults(cluster, freezeMs);
	const attempts = await storm;
	const runs = cluster.workers.flatMap(worker => worker.runs);
	const violations = findAttemptViolations(runs, attempts);
	console.table([{
		attempts: attempts.length,
		runs: runs.length,
		answered: attempts.filter(({outcome}) => outcome === 'ran').length,
		'not-run': attempts.filter(({outcome}) => outcome === 'not-run').length,
		unknown: attempts.filter(({outcome}) => outcome === 'unknown').length,
		violations: violations.length,
	}]);
	for (const {message} of violations) {
		console.log(message);
	}

	await cluster.close();
	process.exitCode = violations.length === 0 ? 0 : 1;
}
