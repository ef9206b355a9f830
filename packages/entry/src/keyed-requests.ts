/**
 * Keyed requests: non-idempotent requests with an idempotency key. Each runs under a claim, and a repeat of a finished
 * request gets the stored response.
 */
import {type ServerResponse} from 'node:http';
import {VerdictError, type Clock} from '@tamarackwind/core';
import {match} from 'ts-pattern';
import {ResponseWriter, type StoredResponse} from './response-writers.js';
import {forwardRequest, type AttemptDependencies, type ForwardOptions} from './attempts.js';
import {
	hashParts, type Claim, type ClaimRequest, type ClaimRow, type ClaimIdentity,
} from './claim-rows.js';
import {type ClaimStore} from './claims.js';
import {headerNames, type HeaderFields} from './headers.js';
import {type ReceiptSigner, type ReceiptSubject} from './receipts.js';
import {type CallerRequest} from './requests.js';

/** Time that a first attempt waits for the table service if it may run without a claim, in milliseconds. */
const claimTimeoutMs = 1000;

/** Dependencies of keyed requests. */
export type KeyedRequestDependencies = AttemptDependencies & {
	readonly claims: ClaimStore;
	/** `undefined` if the daemon has no receipt key. */
	readonly receipts: ReceiptSigner | undefined;
};

export type KeyedRequestOptions = ForwardOptions & {readonly requestKey: string; readonly response: ServerResponse; readonly isClosing: () => boolean};

/** A failed attempt, with the receipt for the next attempt if there is one. */
export type FailedAttempt = {readonly error: unknown; readonly receipt: string | undefined};

type KeyedRequest = {
	readonly identity: ClaimIdentity;
	/** Attempt that the receipt proves not to have run. */
	readonly provenAttempt: number | undefined;
	/** Whether no earlier attempt with the key can have run without a claim. */
	readonly mayStart: boolean;
	readonly receiptSubject: ReceiptSubject | undefined;
};

/**
 * Runs a keyed request at most once.
 *
 * @returns the failure, with a receipt if the service issues one, or `undefined` if a response was sent.
 */
export async function runKeyedRequest(dependencies: KeyedRequestDependencies, options: KeyedRequestOptions): Promise<FailedAttempt | undefined> {
	const keyed = createKeyedRequest(dependencies, options);
	try {
		await runUnderClaim(dependencies, options, keyed);
		return undefined;
	} catch (error) {
		return {error, receipt: signReceipt(dependencies.receipts, options.request, keyed, error)};
	}
}

function createKeyedRequest({receipts}: KeyedRequestDependencies, {request, requestKey, body}: KeyedRequestOptions): KeyedRequest {
	const bodyHash = body.readHash();
	const identity: ClaimIdentity = {
		claimKey: hashParts(request.caller.id, request.service.name, requestKey),
		headHash: hashParts(request.method, request.path),
		bodyHash,
	};
	if (request.service.claims === 'required') {
		return {
			identity, provenAttempt: undefined, mayStart: true, receiptSubject: undefined,
		};
	}

	const receiptSubject = bodyHash === undefined ? undefined : {claimKey: identity.claimKey, requestHash: hashParts(identity.headHash, bodyHash)};
	const provenAttempt = receiptSubject === undefined ? undefined : receipts?.verify(receiptSubject, request.receipt);
	const mayStart = request.attempt === 1 || (provenAttempt !== undefined && request.attempt === provenAttempt + 1);
	return {
		identity, provenAttempt, mayStart, receiptSubject,
	};
}

/**
 * Signs a receipt for an attempt that did not run. Only an attempt that was allowed to start gets one, so that the
 * receipt also covers all earlier attempts.
 */
function signReceipt(receipts: ReceiptSigner | undefined, {attempt, service}: CallerRequest, {mayStart, receiptSubject}: KeyedRequest, error: unknown): string | undefined {
	const isNotRun = error instanceof VerdictError && error.verdict === 'not-run';
	return isNotRun && mayStart && attempt !== undefined && receiptSubject !== undefined
		? receipts?.sign(receiptSubject, attempt, service.keyRetentionMs)
		: undefined;
}

async function runUnderClaim(dependencies: KeyedRequestDependencies, options: KeyedRequestOptions, keyed: KeyedRequest): Promise<void> {
	const {request} = options;
	if (request.service.claims === 'first-attempt-unclaimed' && dependencies.receipts === undefined) {
		throw new VerdictError(`service "${request.service.name}" needs a receipt key, and this entry has none`, {verdict: 'not-run', code: 'receipt_key_missing'});
	}

	const outcome = await dependencies.claims.claim(createClaimRequest(dependencies.clock, options, keyed));
	await match(outcome)
		.with({status: 'claimed'}, async ({claim}) => runClaimed(dependencies, options, claim))
		.with({status: 'finished'}, async ({row}) => serveStoredResponse(dependencies, options, row))
		.with({status: 'unavailable'}, async ({claim, isUncertain}) => handleUnavailableTable(dependencies, options, keyed, {claim, isUncertain}))
		.with({status: 'mismatched'}, () => {
			throw createKeyReuseError();
		})
		.with({status: 'open'}, () => {
			throw new VerdictError('another attempt with this key may have run and has not ended', {verdict: 'may-have-run', code: 'claim_open'});
		})
		.with({status: 'absent'}, () => {
			throw createUnknownClaimError();
		})
		.exhaustive();
}

function createClaimRequest(clock: Clock, {request, deadlineAt, signal}: KeyedRequestOptions, {identity, provenAttempt, mayStart}: KeyedRequest): ClaimRequest {
	const isClaimRequired = request.service.claims === 'required';
	return {
		...identity,
		retentionMs: request.service.keyRetentionMs,
		attempt: request.attempt,
		provenAttempt,
		mayAcquire: mayStart,
		tableDeadlineAt: isClaimRequired ? deadlineAt : Math.min(deadlineAt, clock.readMonotonic() + claimTimeoutMs),
		claimDeadlineAt: deadlineAt,
		signal,
	};
}

function createKeyReuseError(): VerdictError {
	return new VerdictError('the request key was used for a request with another method, path or body', {verdict: 'not-run', code: 'key_reused'});
}

function createUnknownClaimError(): VerdictError {
	return new VerdictError('an earlier attempt with this key may have run; no claim or receipt tells', {verdict: 'may-have-run', code: 'claim_unknown'});
}

/** Runs a request whose claim this attempt holds, and records whether it ran. */
async function runClaimed({claims, ...dependencies}: KeyedRequestDependencies, options: KeyedRequestOptions, claim: Claim): Promise<void> {
	const {body, responseWriter} = options;
	try {
		await forwardRequest(dependencies, {...options, isDetached: true});
		claims.finish(claim, body.readHash(), responseWriter.stored);
	} catch (error) {
		if (error instanceof VerdictError && error.verdict === 'not-run') {
			claims.release(claim);
		}

		throw error;
	}
}

/** Runs or refuses a request while the table service is unavailable. */
async function handleUnavailableTable(dependencies: KeyedRequestDependencies, options: KeyedRequestOptions, {mayStart}: KeyedRequest, {claim, isUncertain}: {readonly claim: Claim; readonly isUncertain: boolean}): Promise<void> {
	const {request, body, signal} = options;
	const isAllowed = request.service.claims === 'first-attempt-unclaimed' && mayStart && body.isBuffered;
	if (isAllowed && !signal.aborted) {
		dependencies.metrics.observeUnclaimed(request.service.name);
		await runClaimed(dependencies, options, claim);
		return;
	}

	if (isUncertain) {
		dependencies.claims.release(claim);
	}

	if (!mayStart || (request.attempt ?? 1) > 1) {
		throw createUnknownClaimError();
	}

	throw new VerdictError('the claim of the request key can\'t be written', {verdict: 'not-run', code: 'claims_unavailable'});
}

/** Sends the stored response of a finished request again after checking that the body is the same. */
async function serveStoredResponse({claims, metrics}: KeyedRequestDependencies, {request, body, response, isClosing}: KeyedRequestOptions, row: ClaimRow): Promise<void> {
	if (!body.isBuffered) {
		await body.drainRest();
		if (row.bodyHash !== undefined && row.bodyHash !== body.readHash()) {
			throw createKeyReuseError();
		}
	}

	const storedResponse = await claims.readResponse(row);
	metrics.observeReplay(request.service.name);
	sendStoredResponse(response, storedResponse, isClosing);
}

function sendStoredResponse(response: ServerResponse, {status, headers, body}: StoredResponse, isClosing: () => boolean): void {
	const writer = ResponseWriter.create({
		response, maxStoredBytes: 0, isClosing,
	});
	const length: HeaderFields = body.length === 0 ? {} : {'content-length': String(body.length)};
	writer.writeHead(status, {...headers, ...length, [headerNames.replayed]: 'true'});
	if (body.length > 0) {
		writer.write(body);
	}

	writer.finish();
}

