/**
 * Schema of claim rows, and the decision on a request that follows from its claim row.
 */
import {hash} from 'node:crypto';
import {type EntryId} from '@tamarackwind/core';
import {absentVersion, type Row, type RowKey} from '@tamarackwind/clients';
import {type HeaderFields} from './headers.js';

/** Table that holds the claims. */
export const claimTable = 'claims';

/** Hashes that identify a request with an idempotency key. */
export type ClaimIdentity = {
	/** Hash of the caller, the service and the idempotency key. */
	readonly claimKey: string;
	/** Hash of the method and the path. */
	readonly headHash: string;
	/** Hash of the body; `undefined` until the whole body is read. */
	readonly bodyHash: string | undefined;
};

/** A response as stored in a claim row. */
export type ClaimResponse = {
	readonly status: number;
	readonly headers: HeaderFields;
	/** Body in base64. Absent if the body is in the object store under `objectName`. */
	readonly body?: string;
	readonly objectName?: string;
};

/** Value of a claim row. */
export type ClaimRow = {
	/** `open`: the request may have been dispatched. `finished`: it ran. `released`: it certainly did not run. */
	readonly state: 'open' | 'finished' | 'released';
	/** Random token by which the owner of the claim recognizes its own write. */
	readonly token: string;
	readonly entryId: EntryId;
	readonly headHash: string;
	readonly bodyHash?: string;
	/** Number of the attempt that acquired the claim, if the caller counts attempts. */
	readonly attempt?: number;
	/** Time after which the row may be deleted, in milliseconds since the Unix epoch. */
	readonly expiresAt: number;
	/** Response of a finished request. Absent if the response was not stored. */
	readonly answer?: ClaimResponse;
};

/** Exclusive right to run one request with an idempotency key. */
export type Claim = {
	readonly key: RowKey;
	readonly version: number;
	readonly value: ClaimRow;
};

export type ClaimRequest = ClaimIdentity & {
	readonly retentionMs: number;
	readonly attempt: number | undefined;
	/** Latest attempt that a receipt proves not to have run. */
	readonly provenAttempt: number | undefined;
	/** Whether the request may acquire a claim that no other attempt holds. */
	readonly mayAcquire: boolean;
	/** Monotonic time at which to stop waiting for an unavailable table service, in milliseconds. */
	readonly tableDeadlineAt: number;
	/** Monotonic time at which to stop waiting for the attempt that holds the claim, in milliseconds. */
	readonly claimDeadlineAt: number;
	/** Aborts when the caller disconnects. */
	readonly signal: AbortSignal;
};

/**
 * Outcome of an attempt to acquire a claim.
 *
 * - `claimed`: the request may run, and only here.
 * - `finished`: the request ran; its stored response is sent again, if there is one.
 * - `open`: another attempt may have run and did not end before the deadline.
 * - `absent`: no earlier run is known, and this attempt is not allowed to acquire the claim.
 * - `mismatched`: the key was used for a different request.
 * - `unavailable`: the table service did not reply in time. `claim` belongs to this attempt, which may run it if the
 *   service allows that, or release it. If `isUncertain`, the row of the claim may have been written.
 */
export type ClaimOutcome
	= | {readonly status: 'claimed'; readonly claim: Claim}
		| {readonly status: 'finished'; readonly row: ClaimRow}
		| {readonly status: 'open' | 'absent' | 'mismatched'}
		| {readonly status: 'unavailable'; readonly claim: Claim; readonly isUncertain: boolean};

/**
 * Hashes strings to the key of a claim or the hash of a request. The JSON encoding keeps the boundaries between the
 * strings unambiguous.
 */
export function hashParts(...parts: readonly string[]): string {
	return hash('sha256', JSON.stringify(parts), 'hex');
}

/** Creates the row key of a claim. */
export function createRowKey(claimKey: string): RowKey {
	return {table: claimTable, key: claimKey};
}

export function readClaimRow(row: Row): ClaimRow {
	return row.value as ClaimRow;
}

/** Resolves a row to an outcome, to the version at which to write the claim, or to `undefined` if the request must wait. */
export function resolveClaim(row: Row | undefined, request: ClaimRequest, token: string): ClaimOutcome | number | undefined {
	if (row === undefined) {
		return request.mayAcquire ? absentVersion : {status: 'absent'};
	}

	const claim = readClaimRow(row);
	if (claim.headHash !== request.headHash || isBodyMismatch(claim.bodyHash, request.bodyHash)) {
		return {status: 'mismatched'};
	}

	if (claim.token === token) {
		return {status: 'claimed', claim: {key: createRowKey(request.claimKey), version: row.version, value: claim}};
	}

	if (claim.state === 'finished') {
		return {status: 'finished', row: claim};
	}

	const isProven = claim.attempt !== undefined && claim.attempt <= (request.provenAttempt ?? 0);
	if (claim.state === 'released' || isProven) {
		return request.mayAcquire ? row.version : {status: 'absent'};
	}

	return undefined;
}

/** Reports whether `row` belongs to an earlier attempt that was proven not to have run before `value` was created. */
export function isSuperseded(row: ClaimRow, value: ClaimRow): boolean {
	return row.state === 'released' || (row.state === 'open' && row.attempt !== undefined && row.attempt < (value.attempt ?? 0));
}

function isBodyMismatch(expected: string | undefined, actual: string | undefined): boolean {
	return expected !== undefined && actual !== undefined && expected !== actual;
}
