/**
 * Checks the callers' log against the workers' log.
 */
import {type Verdict} from '@tamarackwind/core';
import {type WorkerRun} from './workers.js';

/** One attempt of a caller with one key. */
export type AttemptRecord = {
	readonly key: string;
	/** Unique name of the attempt, which the request carries to the worker. */
	readonly tag: string;
	readonly isIdempotent: boolean;
	/** What a whole answer must be. */
	readonly expected: string;
	/** How the caller saw the attempt end; `unknown` when its connection failed or the answer was visibly cut. */
	readonly seen: Verdict | 'unknown';
	/** Body of the answer when it arrived whole. */
	readonly answer?: string;
};

/** A broken promise, as one line. */
export type Violation = {
	readonly code: 'ran-twice' | 'not-run-ran' | 'wrong-answer' | 'answered-without-run';
	readonly key: string;
	readonly message: string;
};

/** Field that carries the tag of an attempt. */
export const attemptTagHeader = 'x-attempt-tag';

/**
 * Finds broken promises: non-idempotent work that ran twice, a `not-run` that ran, an answer that is not the attempt's own
 * whole answer, an answer without a run.
 */
export function findViolations(runs: readonly WorkerRun[], attempts: readonly AttemptRecord[]): Violation[] {
	const runsByKey = groupItems(runs, run => run.requestKey ?? '');
	const ranTags = new Set(runs.map(run => run.attemptTag));
	const attemptsByKey = groupItems(attempts, attempt => attempt.key);
	return [
		...[...attemptsByKey].flatMap(([key, records]) => checkRunCount(key, records, runsByKey.get(key) ?? [])),
		...attempts.flatMap(attempt => checkAttempt(attempt, ranTags, runsByKey.get(attempt.key) ?? [])),
	];
}

function checkRunCount(key: string, records: readonly AttemptRecord[], runs: readonly WorkerRun[]): Violation[] {
	const isIdempotent = records[0]?.isIdempotent === true;
	return isIdempotent || runs.length <= 1
		? []
		: [{code: 'ran-twice', key, message: `key ${key} ran ${runs.length} times: ${runs.map(run => `${run.vmId}/${run.attemptTag}`).join(', ')}`}];
}

function checkAttempt({key, tag, seen, expected, answer}: AttemptRecord, ranTags: ReadonlySet<string | undefined>, runs: readonly WorkerRun[]): Violation[] {
	if (seen === 'not-run' && ranTags.has(tag)) {
		return [{code: 'not-run-ran', key, message: `attempt ${tag} of key ${key} was told not-run and ran`}];
	}

	if (seen !== 'ran') {
		return [];
	}

	if (answer !== expected) {
		return [{code: 'wrong-answer', key, message: `attempt ${tag} of key ${key} expected ${JSON.stringify(expected.slice(0, 80))}, found ${JSON.stringify(answer?.slice(0, 80))}`}];
	}

	return runs.length > 0 ? [] : [{code: 'answered-without-run', key, message: `attempt ${tag} of key ${key} was answered and no worker ran it`}];
}

function groupItems<T>(items: readonly T[], readKey: (item: T) => string): Map<string, T[]> {
	const groups = new Map<string, T[]>();
	for (const item of items) {
		const key = readKey(item);
		const group = groups.get(key);
		if (group === undefined) {
			groups.set(key, [item]);
		} else {
			group.push(item);
		}
	}

	return groups;
}
