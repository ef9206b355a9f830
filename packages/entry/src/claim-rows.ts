/**
 * Rows of claims, and what a row that was read means for a request.
 */
import {hash} from 'node:crypto';
import {type EntryId} from '@tamarackwind/core';
import {absentVersion, type Row, type RowKey} from '@tamarackwind/clients';
import {type HeaderFields} from './headers.js';

/** Table of the claims. */
export const claimTable = 'claims';

/** Identifies a keyed request. */
export type ClaimSubject = {
	/** Hash of caller, service and request key. */
	readonly claimKey: string;
	/** Hash of method and path. */
	readonly headHash: string;
	/** Hash of the body; `undefined` while the body was not read to its end. */
	readonly bodyHash: string | undefined;
};

/** The answer as a claim's row keeps it. */
export type KeptAnswer = {
	readonly status: number;
	readonly headers: HeaderFields;
	/** Body in base64; in the object store when it is left out. */
	readonly body?: string;
	readonly objectName?: string;
};

/** Value of a claim's row. */
export type ClaimRow = {
	/** `open`: may have been dispatched. `released`: surely not run. */
	readonly state: 'open' | 'finished' | 'released';
	/** Token of the claim, by which its owner knows its own write. */
	readonly token: string;
	readonly entryId: EntryId;
	readonly headHash: string;
	readonly bodyHash?: string;
	/** Attempt that claimed, when the caller counts them. */
	readonly attempt?: number;
	/** Time after which the row may be deleted, in milliseconds since the Unix epoch. */
	readonly expiresAt: number;
	/** Left out when the answer was not kept. */
	readonly answer?: KeptAnswer;
};

/** The right to run one keyed request. */
export type Claim = {
	readonly key: RowKey;
	readonly version: number;
	readonly value: ClaimRow;
};

export type ClaimRequest = ClaimSubject & {
	readonly retentionMs: number;
	readonly attempt: number | undefined;
	/** Attempt that was proven not to have run. */
	readonly provenAttempt: number | undefined;
	/** Whether a key without a row may be claimed. */
	readonly mayInsert: boolean;
	/** Monotonic time up to which the table service may be unavailable, in milliseconds. */
	readonly availableBy: number;
	/** Monotonic time up to which another claim is waited for, in milliseconds. */
	readonly finishBy: number;
	/** Aborts when the caller has gone. */
	readonly signal: AbortSignal;
};

/**
 * Outcome of a claim.
 *
 * - `claimed`: the request may run, here alone.
 * - `finished`: it ran; the answer is given again, unless it was not kept.
 * - `open`: another attempt may have run and did not end in time.
 * - `absent`: no earlier run is known, and the request may not take the claim.
 * - `mismatched`: the key was used for another request.
 * - `unavailable`: the table service did not answer in time. `claim` is of this attempt: it may be run where the
 *   service allows it, or released; when `isUncertain`, its row may have been written.
 */
export type ClaimOutcome
	= | {readonly status: 'claimed'; readonly claim: Claim}
		| {readonly status: 'finished'; readonly row: ClaimRow}
		| {readonly status: 'open' | 'absent' | 'mismatched'}
		| {readonly status: 'unavailable'; readonly claim: Claim; readonly isUncertain: boolean};

/** Hashes parts to the key of a claim or the hash of a request; the parts can't run into each other. */
export function hashParts(...parts: readonly string[]): string {
	return hash('sha256', JSON.stringify(parts), 'hex');
}

/** Names the row of a claim. */
export function createRowKey(claimKey: string): RowKey {
	return {table: claimTable, key: claimKey};
}

/** Reads the value of a claim's row. */
export function readClaimRow(row: Row): ClaimRow {
	return row.value as ClaimRow;
}

/** Decides on a row that was read: an outcome, the version at which to claim, or `undefined` to wait. */
export function resolveClaim(row: Row | undefined, request: ClaimRequest, token: string): ClaimOutcome | number | undefined {
	if (row === undefined) {
		return request.mayInsert ? absentVersion : {status: 'absent'};
	}

	const claim = readClaimRow(row);
	if (claim.headHash !== request.headHash || isOtherBody(claim.bodyHash, request.bodyHash)) {
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
		return request.mayInsert ? row.version : {status: 'absent'};
	}

	return undefined;
}

/** Tells whether `row` is of an earlier attempt that was proven not to have run before `value` was. */
export function isSuperseded(row: ClaimRow, value: ClaimRow): boolean {
	return row.state === 'released' || (row.state === 'open' && row.attempt !== undefined && row.attempt < (value.attempt ?? 0));
}

function isOtherBody(known: string | undefined, found: string | undefined): boolean {
	return known !== undefined && found !== undefined && known !== found;
}
