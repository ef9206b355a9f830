/**
 * Checks the attempts that callers recorded against the runs that workers recorded.
 */
import {type Verdict} from '@tamarackwind/core';
import {type WorkerRun} from './fake-workers.js';

/** One attempt of a caller to send a request with an idempotency key. */
export type AttemptRecord = {
	readonly key: string;
	/** Unique name of the attempt, sent to the worker in a request header. */
	readonly tag: string;
	readonly isIdempotent: boolean;
	/** Expected body of a complete response. */
	readonly expected: string;
	/** Outcome as the caller sees it; `unknown` when the connection failed or the response was visibly truncated. */
	readonly outcome: Verdict | 'unknown';
	/** Body of the response if it arrived completely. */
	readonly responseBody?: string;
};

/** A violated guarantee. */
export type Violation = {
	readonly code: 'ran-twice' | 'not-run-ran' | 'wrong-answer' | 'answered-without-run';
	readonly key: string;
	readonly message: string;
};

/** Request header that carries the tag of an attempt. */
export const attemptTagHeader = 'x-attempt-tag';

/**
 * Finds violated guarantees: non-idempotent work that ran twice, a run of an attempt whose verdict was `not-run`, a response that
 * differs from the expected one, and a response without a run.
 */
export function findAttemptViolations(runs: readonly WorkerRun[], attempts: readonly AttemptRecord[]): Violation[] {
	const runsByKey = groupItems(runs, run => run.requestKey ?? '');
	const executedTags = new Set(runs.map(run => run.attemptTag));
	const attemptsByKey = groupItems(attempts, attempt => attempt.key);
	return [
		...[...attemptsByKey].flatMap(([key, records]) => checkRunCount(key, records, runsByKey.get(key) ?? [])),
		...attempts.flatMap(attempt => checkAttempt(attempt, executedTags, runsByKey.get(attempt.key) ?? [])),
	];
}

function checkRunCount(key: string, records: readonly AttemptRecord[], runs: readonly WorkerRun[]): Violation[] {
	const isIdempotent = records[0]?.isIdempotent === true;
	return isIdempotent || runs.length <= 1
		? []
		: [{code: 'ran-twice', key, message: `key ${key} ran ${runs.length} times: ${runs.map(run => `${run.vmId}/${run.attemptTag}`).join(', ')}`}];
}

function checkAttempt({key, tag, outcome, expected, responseBody}: AttemptRecord, executedTags: ReadonlySet<string | undefined>, runs: readonly WorkerRun[]): Violation[] {
	if (outcome === 'not-run' && executedTags.has(tag)) {
		return [{code: 'not-run-ran', key, message: `attempt ${tag} of key ${key} got the verdict not-run but ran`}];
	}

	if (outcome !== 'ran') {
		return [];
	}

	if (responseBody !== expected) {
		return [{code: 'wrong-answer', key, message: `attempt ${tag} of key ${key} expected ${JSON.stringify(expected.slice(0, 80))}, found ${JSON.stringify(responseBody?.slice(0, 80))}`}];
	}

	return runs.length > 0 ? [] : [{code: 'answered-without-run', key, message: `attempt ${tag} of key ${key} got a response but no worker ran it`}];
}

function groupItems<T>(items: readonly T[], getKey: (item: T) => string): Map<string, T[]> {
	const groups = new Map<string, T[]>();
	for (const item of items) {
		const key = getKey(item);
		const group = groups.get(key);
		if (group === undefined) {
			groups.set(key, [item]);
		} else {
			group.push(item);
		}
	}

	return groups;
}
