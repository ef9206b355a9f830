/**
 * Routes for jobs: under /jobs on the caller port, and under /v1/jobs on the operator port.
 */
import {
	createIssuesError, IssuesError, VerdictError, readErrorMessage,
} from '@tamarackwind/core';
import {
	cancelSelectorSchema, jobSpecSchema, type JobRow, type JobSpec,
} from '@tamarackwind/jobs';
import {type ResolvedCaller} from '@tamarackwind/settings';
import {Hono, type Context} from 'hono';
import type * as z from 'zod';
import {type EntryContext} from './contexts.js';
import {headerNames} from './headers.js';
import {CallerAuthenticator} from './caller-identities.js';
import {type JobService} from './job-services.js';
import {requireFleetRight} from './operator-identities.js';
import {renderProblem, toProblem} from './problems.js';

const maxPayloadBytes = 64 * 1024 * 1024;
const explainTimeoutMs = 3000;
const retryAfterSeconds = 5;
const retryAfterSpreadSeconds = 25;
const listParameters = new Set(['zones', 'racks']);

/** Describes a job to callers and operators, without the internal fields of its row. */
export function describeJob({writeId, digest, payload, ...row}: JobRow): Omit<JobRow, 'writeId' | 'digest' | 'payload'> {
	return row;
}

/** Creates the routes for callers, to mount at /jobs. */
export function createJobRoutes(ctx: EntryContext, {client}: JobService): Hono {
	const app = new Hono();
	const authenticator = CallerAuthenticator.create();
	const findCaller = (c: Context): ResolvedCaller => {
		const {current} = ctx.settings;
		if (current === undefined) {
			throw new VerdictError('the entry has not read its settings yet', {verdict: 'not-run', code: 'settings_missing'});
		}

		return authenticator.findCaller(current, c.req.header('authorization'));
	};

	app.onError((error, c) => renderCallerJobProblem(ctx, error, c));
	app.post('/', async c => {
		const caller = findCaller(c);
		const row = await client.submitJob({
			caller: caller.id, team: caller.team, key: c.req.header(headerNames.requestKey), spec: parseSpec(c), payload: await readPayload(c),
		});
		return c.json(describeJob(row), 202, {location: `/jobs/${row.jobId}`});
	});
	app.get('/', async c => c.json((await client.listJobs(findCaller(c).id)).map(row => describeJob(row))));
	app.post('/cancel', async c => {
		const caller = findCaller(c);
		await client.cancelJobs(parseInput(cancelSelectorSchema, await c.req.json()), caller.id);
		return c.json({accepted: true}, 202);
	});
	app.get('/:id', async c => c.json(describeJob(await client.getJob(c.req.param('id'), findCaller(c).id))));
	app.delete('/:id', async c => {
		const caller = findCaller(c);
		const {jobId} = await client.getJob(c.req.param('id'), caller.id);
		await client.cancelJobs({jobIds: [jobId]}, caller.id);
		return c.json({accepted: true}, 202);
	});
	app.get('/:id/result', async c => {
		const bytes = await client.fetchResult(c.req.param('id'), findCaller(c).id);
		return c.body(new Uint8Array(bytes), 200, {'content-type': 'application/octet-stream', 'content-length': String(bytes.length)});
	});
	return app;
}

/** Creates the routes for operators, to mount at /v1/jobs. */
export function createOperatorJobRoutes(ctx: EntryContext, {client}: JobService): Hono {
	const app = new Hono();
	app.onError((error, c) => renderOperatorJobError(error, c));
	app.get('/', async c => c.json((await client.listAllJobs(c.req.query('all') === 'true')).map(row => describeJob(row))));
	app.post('/cancel', async c => {
		requireFleetRight(ctx.config.deployment);
		await client.cancelJobs(parseInput(cancelSelectorSchema, await c.req.json()));
		return c.json({accepted: true}, 202);
	});
	app.get('/:id', async c => c.json(describeJob(await client.getJob(c.req.param('id')))));
	app.get('/:id/explain', async c => {
		const row = await client.getJob(c.req.param('id'));
		const text = await client.explainJob(row.jobId, explainTimeoutMs);
		return c.json({jobId: row.jobId, state: row.state, explanation: text ?? `${row.state}${row.reason === undefined ? '' : `: ${row.reason}`}; no entry that schedules jobs answered`});
	});
	return app;
}

function parseSpec(c: Context): JobSpec {
	const entries = Object.entries(c.req.queries()).map(([name, values]) => [name, listParameters.has(name) ? values : values.at(-1)] as const);
	return parseInput(jobSpecSchema, Object.fromEntries(entries));
}

/**
 * Parses input with a schema.
 *
 * @throws {IssuesError} with all issues of the input.
 */
function parseInput<Schema extends z.ZodType>(schema: Schema, input: unknown): z.infer<Schema> {
	const parsed = schema.safeParse(input);
	if (parsed.success) {
		return parsed.data;
	}

	throw createIssuesError(parsed.error.issues.map(({code, path, message}) => ({code, path: path.map(String), message})));
}

async function readPayload(c: Context): Promise<Uint8Array> {
	if (Number(c.req.header('content-length') ?? 0) > maxPayloadBytes) {
		throw createTooLargeError();
	}

	const bytes = new Uint8Array(await c.req.arrayBuffer());
	if (bytes.length > maxPayloadBytes) {
		throw createTooLargeError();
	}

	return bytes;
}

function createTooLargeError(): VerdictError {
	return new VerdictError(`the payload is larger than ${maxPayloadBytes} bytes`, {verdict: 'not-run', code: 'body_too_large'});
}

/**
 * Renders a problem response. The `retry-after` time is random, so that callers do not all retry at once after an
 * outage.
 */
function renderCallerJobProblem({random}: EntryContext, error: unknown, c: Context): Response {
	const problem = toProblem(toVerdictError(error));
	const retryAfter = String(retryAfterSeconds + random.pickIndex(retryAfterSpreadSeconds));
	return c.body(renderProblem(problem), problem.status as 400, {
		'content-type': 'application/problem+json',
		[headerNames.verdict]: problem.verdict,
		...(problem.status === 401 ? {'www-authenticate': 'Bearer'} : {}),
		...(problem.status === 503 ? {'retry-after': retryAfter} : {}),
	});
}

function toVerdictError(error: unknown): unknown {
	if (error instanceof IssuesError) {
		return new VerdictError(error.message, {verdict: 'not-run', code: 'invalid_job'});
	}

	return error instanceof SyntaxError
		? new VerdictError('the body is not JSON', {verdict: 'not-run', code: 'invalid_job'})
		: error;
}

function renderOperatorJobError(error: unknown, c: Context): Response {
	if (error instanceof IssuesError) {
		return c.json({code: 'invalid_job', message: error.message, issues: error.issues}, 400);
	}

	const {status, code} = toProblem(toVerdictError(error));
	return c.json({code: code === 'platform_unavailable' ? 'unavailable' : code, message: readErrorMessage(error)}, status as 400);
}
