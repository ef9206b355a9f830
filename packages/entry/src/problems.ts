/**
 * Failures as callers see them: RFC 9457 problem bodies with a verdict.
 */
import {type ServerResponse} from 'node:http';
import {type Verdict} from '@tamarackwind/core';
import {headerNames} from './headers.js';

/** A failure that is told to a caller. */
export type Problem = {
	readonly status: number;
	/** Machine-readable kind, such as `unknown_service`. */
	readonly code: string;
	readonly title: string;
	readonly detail: string;
	readonly verdict: Verdict;
	/** Seconds after which the caller may try again. */
	readonly retryAfterSeconds?: number;
};

/** Sends a problem as the whole answer. */
export function sendProblem(response: ServerResponse, problem: Problem): void {
	const {status, retryAfterSeconds, ...rest} = problem;
	const body = JSON.stringify({type: 'about:blank', status, ...rest});
	response.writeHead(status, {
		'content-type': 'application/problem+json',
		'content-length': Buffer.byteLength(body),
		[headerNames.verdict]: problem.verdict,
		...(retryAfterSeconds === undefined ? {} : {'retry-after': String(retryAfterSeconds)}),
	});
	response.end(body);
}
