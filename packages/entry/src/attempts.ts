/**
 * The attempts of one request: a slot, a connection, a dispatch, and again where that is safe.
 */
import {type DispatchOutcome, type Scheduler, type SlotGrant} from '@tamarackwind/admission';
import {
	VerdictError, isRetryable, readErrorMessage, type Clock, type RandomSource, type VmId,
} from '@tamarackwind/core';
import {type FleetView} from '@tamarackwind/fleet';
import {type ViewLease} from '@tamarackwind/peer';
import {type AnswerWriter} from './answers.js';
import {type RequestBody} from './bodies.js';
import {dispatchRequest} from './dispatches.js';
import {headerNames, type HeaderFields} from './headers.js';
import {type RequestMetrics} from './request-metrics.js';
import {isRequestCurrent, type CallerRequest} from './requests.js';
import {type SettingsView} from './settings-views.js';
import {type UpstreamConnection, type Upstreams} from './upstreams.js';

/** Longest pause within an answer's body, on either side, in milliseconds. */
const answerIdleTimeoutMs = 120_000;
/** Longest time for which a connection that carries non-idempotent work may have been idle, in milliseconds. */
const maxFreshIdleMs = 500;

/** What attempts work with. */
export type AttemptParts = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly lease: ViewLease;
	readonly settings: Pick<SettingsView, 'current'>;
	readonly fleet: Pick<FleetView, 'isServing'>;
	readonly scheduler: Scheduler;
	readonly upstreams: Upstreams;
	readonly metrics: RequestMetrics;
	/** Counts the entries that share the connections to the workers, this one included. */
	readonly countEntries: () => number;
};

/** A request on its way to the upstreams. */
export type ForwardOptions = {
	readonly request: CallerRequest;
	/** Fields that go on to the upstream. */
	readonly headers: HeaderFields;
	readonly body: RequestBody;
	readonly answer: AnswerWriter;
	/** Monotonic time by which the head of the answer must have arrived, in milliseconds. */
	readonly deadlineAt: number;
	/** Aborts when the caller has gone. */
	readonly signal: AbortSignal;
	/** Whether a dispatch goes on although the caller has gone. */
	readonly isDetached: boolean;
};

/**
 * Forwards a request to workers until it is answered.
 *
 * @throws {VerdictError} with the strongest verdict of all attempts.
 */
export async function forwardRequest(parts: AttemptParts, options: ForwardOptions): Promise<void> {
	const {request, body, answer} = options;
	const triedVms = new Set<VmId>();
	let earlierError: VerdictError | undefined;
	for (let attempts = 0; ; attempts++) {
		try {
			await runAttempt(parts, options, attempts, triedVms);
			return;
		} catch (error) {
			const failure = mergeErrors(earlierError, error);
			const isSafe = isRetryable(failure.verdict, request.isIdempotent) && body.isReplayable && body.error === undefined;
			if (!isSafe || answer.status !== 0 || attempts + 1 >= request.service.maxAttempts || !isDispatchFailure(error)) {
				throw failure;
			}

			earlierError = failure;
		}
	}
}

const dispatchFailureCodes = new Set(['upstream_failed', 'connect_failed', 'bad_answer', 'connections_busy', 'vm_left_pool']);

function isDispatchFailure(error: unknown): boolean {
	return error instanceof VerdictError && dispatchFailureCodes.has(error.code);
}

/** Gives the error to tell; a request that may have run in an earlier attempt is never told `not-run`. */
function mergeErrors(earlier: VerdictError | undefined, error: unknown): VerdictError {
	const later = error instanceof VerdictError ? error : new VerdictError(`the dispatch failed: ${readErrorMessage(error)}`, {code: 'internal'});
	if (earlier === undefined || earlier.verdict === 'not-run' || later.verdict !== 'not-run') {
		return later;
	}

	return new VerdictError(`${earlier.message}; then ${later.message}`, {verdict: earlier.verdict, code: later.code});
}

async function runAttempt(parts: AttemptParts, options: ForwardOptions, attempts: number, triedVms: Set<VmId>): Promise<void> {
	const {request, deadlineAt, signal, answer} = options;
	const grant = await parts.scheduler.acquireSlot({
		pool: request.pool,
		service: request.service,
		caller: request.caller,
		workClass: request.workClass,
		startBy: deadlineAt,
		attempts,
		triedVms,
		isIdempotent: request.isIdempotent,
		signal,
	});
	triedVms.add(grant.vm.vmId as VmId);
	let outcome: DispatchOutcome = 'failed';
	try {
		await runOnWorker(parts, options, grant);
		outcome = answer.status >= 500 ? 'error-answer' : 'answered';
	} catch (error) {
		outcome = toDispatchOutcome(error);
		throw error;
	} finally {
		grant.release(outcome);
		parts.metrics.observeDispatch(request.service.name, outcome);
	}
}

/** Only what the worker itself did counts as evidence on it. */
function toDispatchOutcome(error: unknown): DispatchOutcome {
	if (!(error instanceof VerdictError)) {
		return 'failed';
	}

	if (error.verdict === 'not-run') {
		return error.code === 'connect_failed' ? 'unsent' : 'caller-gone';
	}

	if (error.code === 'caller_gone' || error.code === 'body_too_large') {
		return 'caller-gone';
	}

	return error.code === 'deadline_exceeded' ? 'timed-out' : 'failed';
}

async function runOnWorker(parts: AttemptParts, options: ForwardOptions, {vm}: SlotGrant): Promise<void> {
	const {upstreams} = parts;
	const {request, body} = options;
	const connection = await upstreams.acquireConnection(vm, {
		limit: computeConnectionLimit(request.pool.connectionsPerVm, parts.countEntries()),
		maxIdleMs: request.isIdempotent ? Number.POSITIVE_INFINITY : maxFreshIdleMs,
	});
	let isReusable = false;
	try {
		await sendOnConnection(parts, options, connection, vm.vmId as VmId);
		isReusable = true;
	} catch (error) {
		throw body.error ?? error;
	} finally {
		upstreams.releaseConnection(vm, connection, isReusable);
	}
}

/** Computes the connections to one VM that one entry may hold; one more entry may join before the others know of it. */
function computeConnectionLimit(connectionsPerVm: number, entries: number): number {
	return Math.max(1, Math.floor(connectionsPerVm / (entries + 1)));
}

async function sendOnConnection(parts: AttemptParts, options: ForwardOptions, connection: UpstreamConnection, vmId: VmId): Promise<void> {
	const {clock, random, scheduler} = parts;
	const {request, headers, body, answer, deadlineAt, signal, isDetached} = options;
	const remainingMs = Math.floor(deadlineAt - clock.readMonotonic());
	if (remainingMs <= 0) {
		throw createDeadlineError();
	}

	const requestId = random.createToken();
	await dispatchRequest({
		connection,
		method: request.method,
		path: request.path,
		headers: {
			...headers,
			[headerNames.caller]: request.caller.id,
			[headerNames.deadline]: String(remainingMs),
			[headerNames.requestId]: requestId,
		},
		body: body.openBody(),
		requestId,
		requestIdEcho: request.service.requestIdEcho,
		headTimeoutMs: remainingMs,
		idleTimeoutMs: answerIdleTimeoutMs,
		signal: isDetached ? undefined : signal,
		answer,
		checkStart: () => checkStart(parts, options, vmId),
		onHead(answerHeaders) {
			if (answerHeaders[headerNames.leaving] === 'true') {
				scheduler.noteLeaving(vmId);
			}
		},
	});
}

/** Finds why a dispatch must not start now. */
function checkStart({lease, clock, settings, fleet}: AttemptParts, {request, deadlineAt, signal}: ForwardOptions, vmId: VmId): VerdictError | undefined {
	if (signal.aborted) {
		return new VerdictError('the caller hung up', {verdict: 'not-run', code: 'caller_gone'});
	}

	if (!lease.isValid()) {
		return new VerdictError('the entry can\'t tell whether its settings and fleet are still in force', {verdict: 'not-run', code: 'view_stale'});
	}

	if (!isRequestCurrent(request, settings.current)) {
		return new VerdictError('the settings of the service, its pool or the caller changed while the request waited', {verdict: 'not-run', code: 'settings_changed'});
	}

	if (!fleet.isServing(vmId, request.pool.name)) {
		return new VerdictError(`VM "${vmId}" left pool "${request.pool.name}" while the request waited`, {verdict: 'not-run', code: 'vm_left_pool'});
	}

	return clock.readMonotonic() >= deadlineAt ? createDeadlineError() : undefined;
}

function createDeadlineError(): VerdictError {
	return new VerdictError('the deadline passed before the request was sent', {verdict: 'not-run', code: 'deadline_exceeded'});
}
