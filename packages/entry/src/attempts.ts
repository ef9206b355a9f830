/**
 * Runs the attempts of one request: acquires a slot and a connection, dispatches the request, and retries if that is safe.
 */
import {type DispatchOutcome, type Scheduler, type SlotGrant} from '@tamarackwind/admission';
import {
	VerdictError, isRetryable, readErrorMessage, type Clock, type RandomSource, type VmId,
} from '@tamarackwind/core';
import {type FleetView} from '@tamarackwind/fleet';
import {type ViewLease} from '@tamarackwind/peer';
import {type ResponseWriter} from './response-writers.js';
import {type RequestBody} from './request-bodies.js';
import {dispatchRequest} from './dispatches.js';
import {headerNames, type HeaderFields} from './headers.js';
import {type RequestMetrics} from './request-metrics.js';
import {isRequestCurrent, type CallerRequest} from './requests.js';
import {type SettingsView} from './settings-views.js';
import {type UpstreamConnection, type Upstreams} from './upstreams.js';

/** Longest pause within a response body, by the upstream or the caller, in milliseconds. */
const responseIdleTimeoutMs = 120_000;
/** Longest idle time after which a connection is reused for a non-idempotent request, in milliseconds. */
const maxNonIdempotentIdleMs = 500;
/** Longest wait for the confirmation of the entry's view, in milliseconds: two intervals of the polls and heartbeats that confirm it. */
const maxLeaseWaitMs = 1000;
const leaseCheckIntervalMs = 20;

/** Dependencies of the attempts. */
export type AttemptDependencies = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly lease: ViewLease;
	readonly settings: Pick<SettingsView, 'current'>;
	readonly fleet: Pick<FleetView, 'isServing'>;
	readonly scheduler: Scheduler;
	readonly upstreams: Upstreams;
	readonly metrics: RequestMetrics;
	/** Counts the entries that share the connection limit of each worker, including this one. */
	readonly countEntries: () => number;
};

/** A request to forward to the upstreams. */
export type ForwardOptions = {
	readonly request: CallerRequest;
	/** Header fields to send to the upstream. */
	readonly headers: HeaderFields;
	readonly body: RequestBody;
	readonly responseWriter: ResponseWriter;
	/** Monotonic time by which the response head must arrive, in milliseconds. */
	readonly deadlineAt: number;
	/** Aborts when the caller disconnects. */
	readonly signal: AbortSignal;
	/** Whether a dispatch continues after the caller disconnects. */
	readonly isDetached: boolean;
};

/**
 * Forwards a request to workers until one responds.
 *
 * @throws {VerdictError} with `may-have-run` if any attempt may have run, else `not-run`.
 */
export async function forwardRequest(dependencies: AttemptDependencies, options: ForwardOptions): Promise<void> {
	const {request, body, responseWriter} = options;
	const triedVms = new Set<VmId>();
	let earlierError: VerdictError | undefined;
	for (let attempts = 0; ; attempts++) {
		const grant = await acquireSlot(dependencies, options, {attempts, triedVms, earlierError});
		triedVms.add(grant.vm.vmId as VmId);
		try {
			await runAttempt(dependencies, options, grant);
			return;
		} catch (error) {
			const failure = mergeFailures(earlierError, error);
			const isSafe = isRetryable(failure.verdict, request.isIdempotent) && body.isReplayable && body.error === undefined;
			if (!isSafe || responseWriter.status !== 0 || attempts + 1 >= request.service.maxAttempts || !isDispatchFailure(error)) {
				throw failure;
			}

			earlierError = failure;
		}
	}
}

const dispatchFailureCodes = new Set(['upstream_failed', 'connect_failed', 'bad_answer', 'connections_busy', 'vm_left_pool', 'view_stale']);

function isDispatchFailure(error: unknown): boolean {
	return error instanceof VerdictError && dispatchFailureCodes.has(error.code);
}

/** Merges the errors of two attempts. The result is never `not-run` if the request may have run in the earlier attempt. */
function mergeFailures(earlier: VerdictError | undefined, error: unknown): VerdictError {
	const later = error instanceof VerdictError ? error : new VerdictError(`the dispatch failed: ${readErrorMessage(error)}`, {code: 'internal'});
	if (earlier === undefined || earlier.verdict === 'not-run' || later.verdict !== 'not-run') {
		return later;
	}

	return new VerdictError(`${earlier.message}; then ${later.message}`, {verdict: earlier.verdict, code: later.code});
}

async function runAttempt(dependencies: AttemptDependencies, options: ForwardOptions, grant: SlotGrant): Promise<void> {
	const {request, responseWriter} = options;
	let outcome: DispatchOutcome = 'failed';
	try {
		await runOnWorker(dependencies, options, grant);
		outcome = responseWriter.status >= 500 ? 'error-answer' : 'answered';
	} catch (error) {
		outcome = toDispatchOutcome(error);
		throw error;
	} finally {
		grant.release(outcome);
		dependencies.metrics.observeDispatch(request.service.name, outcome);
	}
}

type AttemptState = {
	/** Number of earlier attempts. */
	readonly attempts: number;
	readonly triedVms: ReadonlySet<VmId>;
	/** Failure of the earlier attempts. */
	readonly earlierError: VerdictError | undefined;
};

/** Acquires a slot while the lease is valid. An entry that was paused gets slots before it has confirmed its view again. */
async function acquireSlot(dependencies: AttemptDependencies, options: ForwardOptions, {attempts, triedVms, earlierError}: AttemptState): Promise<SlotGrant> {
	const {request, deadlineAt, signal} = options;
	try {
		for (;;) {
			const grant = await dependencies.scheduler.acquireSlot({
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
			if (dependencies.lease.isValid()) {
				return grant;
			}

			grant.release('caller-gone');
			await waitForLease(dependencies, options);
		}
	} catch (error) {
		throw mergeFailures(earlierError, error);
	}
}

/**
 * Waits until the lease is valid.
 *
 * @throws {VerdictError} `not-run`, with code `view_stale` after `maxLeaseWaitMs` or at the deadline.
 */
async function waitForLease({lease, clock}: AttemptDependencies, {deadlineAt, signal}: ForwardOptions): Promise<void> {
	const endsAt = Math.min(deadlineAt, clock.readMonotonic() + maxLeaseWaitMs);
	while (!lease.isValid()) {
		if (clock.readMonotonic() >= endsAt) {
			throw createStaleViewError();
		}

		if (signal.aborted) {
			throw createCallerGoneError();
		}

		await clock.sleep(leaseCheckIntervalMs, signal);
	}
}

/**
 * Converts an error to the outcome that the scheduler records. Only failures of the worker itself count against its
 * health.
 */
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

async function runOnWorker(dependencies: AttemptDependencies, options: ForwardOptions, {vm}: SlotGrant): Promise<void> {
	const {upstreams} = dependencies;
	const {request, body} = options;
	const connection = await upstreams.acquireConnection(vm, {
		limit: computeConnectionLimit(request.pool.connectionsPerVm, dependencies.countEntries()),
		maxIdleMs: request.isIdempotent ? Number.POSITIVE_INFINITY : maxNonIdempotentIdleMs,
	});
	let isReusable = false;
	try {
		await sendOnConnection(dependencies, options, connection, vm.vmId as VmId);
		isReusable = true;
	} catch (error) {
		throw body.error ?? error;
	} finally {
		upstreams.releaseConnection(vm, connection, isReusable);
	}
}

/**
 * Computes how many connections to one VM this entry may hold. The limit leaves room for one entry that joins before
 * the others know of it.
 */
function computeConnectionLimit(connectionsPerVm: number, entries: number): number {
	return Math.max(1, Math.floor(connectionsPerVm / (entries + 1)));
}

async function sendOnConnection(dependencies: AttemptDependencies, options: ForwardOptions, connection: UpstreamConnection, vmId: VmId): Promise<void> {
	const {clock, random, scheduler} = dependencies;
	const {request, headers, body, responseWriter, deadlineAt, signal, isDetached} = options;
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
		idleTimeoutMs: responseIdleTimeoutMs,
		signal: isDetached ? undefined : signal,
		responseWriter,
		checkBeforeSend: () => checkBeforeSend(dependencies, options, vmId),
		onResponseHead(responseHeaders) {
			if (responseHeaders[headerNames.leaving] === 'true') {
				scheduler.markLeaving(vmId);
			}
		},
	});
}

/** Returns the reason why a request must not be sent now, if there is one. */
function checkBeforeSend({lease, clock, settings, fleet}: AttemptDependencies, {request, deadlineAt, signal}: ForwardOptions, vmId: VmId): VerdictError | undefined {
	if (signal.aborted) {
		return createCallerGoneError();
	}

	if (!lease.isValid()) {
		return createStaleViewError();
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

function createCallerGoneError(): VerdictError {
	return new VerdictError('the caller hung up', {verdict: 'not-run', code: 'caller_gone'});
}

function createStaleViewError(): VerdictError {
	return new VerdictError('the entry can\'t tell whether its settings and fleet are still in force', {verdict: 'not-run', code: 'view_stale'});
}
