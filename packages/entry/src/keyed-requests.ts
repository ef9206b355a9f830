/**
 * Keyed non-idempotent requests: each runs under a claim, and a finished one gives its stored answer again.
 */
import {type ServerResponse} from 'node:http';
import {VerdictError, type Clock} from '@tamarackwind/core';
import {match} from 'ts-pattern';
import {AnswerWriter, type StoredAnswer} from './answers.js';
import {forwardRequest, type AttemptParts, type ForwardOptions} from './attempts.js';
import {
	hashParts, type Claim, type ClaimRequest, type ClaimRow, type ClaimSubject,
} from './claim-rows.js';
import {type ClaimStore} from './claims.js';
import {headerNames, type HeaderFields} from './headers.js';
import {type ReceiptSigner, type ReceiptSubject} from './receipts.js';
import {type CallerRequest} from './requests.js';

/** Time after which a first attempt stops waiting for the table service where it may run unclaimed, in milliseconds. */
const unclaimedAfterMs = 1000;

/** What keyed requests work with. */
export type KeyedParts = AttemptParts & {
	readonly claims: ClaimStore;
	/** Left out when the daemon has no receipt key. */
	readonly receipts: ReceiptSigner | undefined;
};

export type KeyedOptions = ForwardOptions & {readonly requestKey: string; readonly response: ServerResponse; readonly isClosing: () => boolean};

/** A failure that carries a receipt for the next attempt. */
export type RefusedAttempt = {readonly error: unknown; readonly receipt: string | undefined};

type Keyed = {
	readonly subject: ClaimSubject;
	/** Attempt that a receipt proves not to have run. */
	readonly provenAttempt: number | undefined;
	/** Whether no earlier attempt with the key can have run without a claim. */
	readonly mayStart: boolean;
	readonly receiptSubject: ReceiptSubject | undefined;
};

/**
 * Runs a keyed request at most once.
 *
 * @returns the failure, with a receipt where the service gives one, or `undefined` when the request was answered.
 */
export async function runKeyedRequest(parts: KeyedParts, options: KeyedOptions): Promise<RefusedAttempt | undefined> {
	const keyed = createKeyed(parts, options);
	try {
		await runUnderClaim(parts, options, keyed);
		return undefined;
	} catch (error) {
		return {error, receipt: signReceipt(parts.receipts, options.request, keyed, error)};
	}
}

function createKeyed({receipts}: KeyedParts, {request, requestKey, body}: KeyedOptions): Keyed {
	const bodyHash = body.readHash();
	const subject: ClaimSubject = {
		claimKey: hashParts(request.caller.id, request.service.name, requestKey),
		headHash: hashParts(request.method, request.path),
		bodyHash,
	};
	if (request.service.claims === 'required') {
		return {
			subject, provenAttempt: undefined, mayStart: true, receiptSubject: undefined,
		};
	}

	const receiptSubject = bodyHash === undefined ? undefined : {claimKey: subject.claimKey, requestHash: hashParts(subject.headHash, bodyHash)};
	const provenAttempt = receiptSubject === undefined ? undefined : receipts?.verify(receiptSubject, request.receipt);
	const mayStart = request.attempt === 1 || (provenAttempt !== undefined && request.attempt === provenAttempt + 1);
	return {
		subject, provenAttempt, mayStart, receiptSubject,
	};
}

/** A receipt is given only to an attempt that itself was free to start, so that it speaks for all attempts before. */
function signReceipt(receipts: ReceiptSigner | undefined, {attempt, service}: CallerRequest, {mayStart, receiptSubject}: Keyed, error: unknown): string | undefined {
	const isNotRun = error instanceof VerdictError && error.verdict === 'not-run';
	return isNotRun && mayStart && attempt !== undefined && receiptSubject !== undefined
		? receipts?.sign(receiptSubject, attempt, service.keyRetentionMs)
		: undefined;
}

async function runUnderClaim(parts: KeyedParts, options: KeyedOptions, keyed: Keyed): Promise<void> {
	const {request} = options;
	if (request.service.claims === 'first-attempt-unclaimed' && parts.receipts === undefined) {
		throw new VerdictError(`service "${request.service.name}" needs a receipt key, and this entry has none`, {verdict: 'not-run', code: 'receipt_key_missing'});
	}

	const outcome = await parts.claims.claim(createClaimRequest(parts.clock, options, keyed));
	await match(outcome)
		.with({status: 'claimed'}, async ({claim}) => runClaimed(parts, options, claim))
		.with({status: 'finished'}, async ({row}) => serveStoredAnswer(parts, options, row))
		.with({status: 'unavailable'}, async ({claim, isUncertain}) => runWithoutTable(parts, options, keyed, {claim, isUncertain}))
		.with({status: 'mismatched'}, () => {
			throw createReuseError();
		})
		.with({status: 'open'}, () => {
			throw new VerdictError('another attempt with this key may have run and has not ended', {verdict: 'may-have-run', code: 'claim_open'});
		})
		.with({status: 'absent'}, () => {
			throw createUnknownError();
		})
		.exhaustive();
}

function createClaimRequest(clock: Clock, {request, deadlineAt, signal}: KeyedOptions, {subject, provenAttempt, mayStart}: Keyed): ClaimRequest {
	const isPatient = request.service.claims === 'required';
	return {
		...subject,
		retentionMs: request.service.keyRetentionMs,
		attempt: request.attempt,
		provenAttempt,
		mayInsert: mayStart,
		availableBy: isPatient ? deadlineAt : Math.min(deadlineAt, clock.readMonotonic() + unclaimedAfterMs),
		finishBy: deadlineAt,
		signal,
	};
}

function createReuseError(): VerdictError {
	return new VerdictError('the request key was used for a request with another method, path or body', {verdict: 'not-run', code: 'key_reused'});
}

function createUnknownError(): VerdictError {
	return new VerdictError('an earlier attempt with this key may have run; no claim or receipt tells', {verdict: 'may-have-run', code: 'claim_unknown'});
}

/** Runs a request whose claim is held here alone, and writes down how it ended. */
async function runClaimed({claims, ...parts}: KeyedParts, options: KeyedOptions, claim: Claim): Promise<void> {
	const {body, answer} = options;
	try {
		await forwardRequest(parts, {...options, isDetached: true});
		claims.finish(claim, body.readHash(), answer.stored);
	} catch (error) {
		if (error instanceof VerdictError && error.verdict === 'not-run') {
			claims.release(claim);
		}

		throw error;
	}
}

/** Decides on a request while the table service does not answer. */
async function runWithoutTable(parts: KeyedParts, options: KeyedOptions, {mayStart}: Keyed, {claim, isUncertain}: {readonly claim: Claim; readonly isUncertain: boolean}): Promise<void> {
	const {request, body, signal} = options;
	const isAllowed = request.service.claims === 'first-attempt-unclaimed' && mayStart && body.isBuffered;
	if (isAllowed && !signal.aborted) {
		parts.metrics.observeUnclaimed(request.service.name);
		await runClaimed(parts, options, claim);
		return;
	}

	if (isUncertain) {
		parts.claims.release(claim);
	}

	if (!mayStart || (request.attempt ?? 1) > 1) {
		throw createUnknownError();
	}

	throw new VerdictError('the claim of the request key can\'t be written', {verdict: 'not-run', code: 'claims_unavailable'});
}

/** Gives the stored answer of a finished request again, once the body proves to be the same. */
async function serveStoredAnswer({claims, metrics}: KeyedParts, {request, body, response, isClosing}: KeyedOptions, row: ClaimRow): Promise<void> {
	if (!body.isBuffered) {
		await body.drainRest();
		if (row.bodyHash !== undefined && row.bodyHash !== body.readHash()) {
			throw createReuseError();
		}
	}

	const answer = await claims.readAnswer(row);
	metrics.observeReplay(request.service.name);
	sendStoredAnswer(response, answer, isClosing);
}

function sendStoredAnswer(response: ServerResponse, {status, headers, body}: StoredAnswer, isClosing: () => boolean): void {
	const writer = AnswerWriter.create({
		response, maxKeptBytes: 0, isClosing,
	});
	const length: HeaderFields = body.length === 0 ? {} : {'content-length': String(body.length)};
	writer.writeHead(status, {...headers, ...length, [headerNames.replayed]: 'true'});
	if (body.length > 0) {
		writer.write(body);
	}

	writer.finish();
}

