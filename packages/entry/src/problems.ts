/**
 * Error responses to callers: RFC 9457 problem bodies with a verdict.
 */
import {type ServerResponse} from 'node:http';
import {VerdictError, readErrorMessage, type Verdict} from '@tamarackwind/core';
import {headerNames} from './headers.js';

/** Problem that is sent to a caller. */
export type Problem = {
	readonly status: number;
	/** Machine-readable code, such as `unknown_service`. */
	readonly code: string;
	readonly title: string;
	readonly detail: string;
	readonly verdict: Verdict;
	/** Delay before the caller may retry, in seconds. */
	readonly retryAfterSeconds?: number;
	/** Receipt that proves to a later attempt that this one did not run. */
	readonly receipt?: string;
};

type ProblemKind = {readonly status: number; readonly title: string};

const internalKind: ProblemKind = {status: 500, title: 'Internal error'};

const problemKinds = new Map<string, ProblemKind>([
	['invalid_target', {status: 400, title: 'Invalid request target'}],
	['invalid_class', {status: 400, title: 'Invalid class of work'}],
	['invalid_deadline', {status: 400, title: 'Invalid deadline'}],
	['invalid_idempotent', {status: 400, title: 'Invalid idempotent marker'}],
	['invalid_key', {status: 400, title: 'Invalid request key'}],
	['invalid_attempt', {status: 400, title: 'Invalid attempt number'}],
	['malformed_request', {status: 400, title: 'Malformed request'}],
	['unauthenticated', {status: 401, title: 'Unauthenticated'}],
	['forbidden', {status: 403, title: 'Forbidden'}],
	['invalid_job', {status: 400, title: 'Invalid job'}],
	['unknown_job', {status: 404, title: 'Unknown job'}],
	['no_result', {status: 409, title: 'Job without a result'}],
	['unplaceable', {status: 422, title: 'Job fits no worker'}],
	['platform_unavailable', {status: 503, title: 'Platform unavailable'}],
	['unknown_service', {status: 404, title: 'Unknown service'}],
	['request_timeout', {status: 408, title: 'Request not received in time'}],
	['claim_open', {status: 409, title: 'Request key in use'}],
	['claim_unknown', {status: 409, title: 'Earlier attempt may have run'}],
	['answer_not_kept', {status: 409, title: 'Answer not kept'}],
	['body_too_large', {status: 413, title: 'Body too large'}],
	['key_reused', {status: 422, title: 'Request key reused'}],
	['headers_too_large', {status: 431, title: 'Header fields too large'}],
	['bad_answer', {status: 502, title: 'Unusable answer of the upstream'}],
	['upstream_failed', {status: 502, title: 'Upstream failed'}],
	['deadline_exceeded', {status: 504, title: 'Deadline exceeded'}],
	['start_deadline', {status: 503, title: 'No slot before the deadline'}],
	['queue_full', {status: 503, title: 'Too much work'}],
	['no_worker', {status: 503, title: 'No worker'}],
	['retry_budget', {status: 503, title: 'Retry budget spent'}],
	['caller_gone', {status: 499, title: 'Caller gone'}],
	['connect_failed', {status: 503, title: 'Upstream unreachable'}],
	['connections_busy', {status: 503, title: 'Connections busy'}],
	['view_stale', {status: 503, title: 'Entry out of date'}],
	['settings_changed', {status: 503, title: 'Settings changed'}],
	['vm_left_pool', {status: 503, title: 'VM left the pool'}],
	['settings_missing', {status: 503, title: 'Entry not ready'}],
	['claims_unavailable', {status: 503, title: 'Table service unavailable'}],
	['receipt_key_missing', {status: 503, title: 'Entry not set up for this service'}],
]);

/** Codes of transient failures, whose responses carry a `retry-after` time. */
const transientCodes = new Set(['start_deadline', 'queue_full', 'no_worker', 'retry_budget', 'connect_failed', 'connections_busy', 'view_stale', 'settings_changed', 'vm_left_pool', 'settings_missing', 'claims_unavailable']);

/** Reports whether failures with `code` are transient. */
export function isTransientProblem(code: string): boolean {
	return transientCodes.has(code);
}

/**
 * Converts a thrown value to the problem for the caller. The verdict is `may-have-run` unless the value is a `VerdictError`.
 *
 * @example
 * toProblem(new VerdictError('pool "north" has no live worker', {verdict: 'not-run', code: 'no_worker'})).status; // 503
 */
export function toProblem(error: unknown): Problem {
	const code = error instanceof VerdictError ? error.code : 'internal';
	const verdict = error instanceof VerdictError ? error.verdict : 'may-have-run';
	const detail = error instanceof VerdictError ? readErrorMessage(error) : 'the entry failed; see its log';
	return {
		...(problemKinds.get(code) ?? internalKind), code, detail, verdict,
	};
}

/** Renders the body of a problem. */
export function renderProblem({status, code, title, detail, verdict}: Problem): string {
	return JSON.stringify({
		type: 'about:blank', status, title, code, detail, verdict,
	});
}

/** Sends a problem as the complete response. */
export function sendProblem(response: ServerResponse, problem: Problem): void {
	const body = renderProblem(problem);
	const {status, verdict, retryAfterSeconds, receipt} = problem;
	response.writeHead(status, {
		'content-type': 'application/problem+json',
		'content-length': Buffer.byteLength(body),
		[headerNames.verdict]: verdict,
		...(status === 401 ? {'www-authenticate': 'Bearer'} : {}),
		...(retryAfterSeconds === undefined ? {} : {'retry-after': String(retryAfterSeconds)}),
		...(receipt === undefined ? {} : {[headerNames.receipt]: receipt}),
	});
	response.end(body);
}
