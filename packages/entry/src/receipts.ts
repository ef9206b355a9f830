/**
 * Receipts: proofs of an entry that one attempt of a keyed request was not run.
 */
import {createHmac, timingSafeEqual} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import {type Clock} from '@tamarackwind/core';

/** What a receipt is bound to. */
export type ReceiptSubject = {
	/** Key of the claim, made of caller, service and request key. */
	readonly claimKey: string;
	/** Hash of method, path and body. */
	readonly requestHash: string;
};

const receiptPattern = /^v1\.(?<attempt>[1-9]\d{0,9})\.(?<expiresAt>\d{1,15})\.(?<mac>[\w\-]{43})$/v;
const minKeyBytes = 32;

/**
 * Reads the key that all entries of a deployment share.
 *
 * @throws {RangeError} when the file holds less than 32 bytes.
 */
export async function loadReceiptKey(file: string): Promise<Uint8Array> {
	const key = Buffer.from((await readFile(file, 'utf8')).trim());
	if (key.length < minKeyBytes) {
		throw new RangeError(`receipt key file ${file} holds ${key.length} bytes, expected at least ${minKeyBytes}`);
	}

	return key;
}

/** Signs and verifies receipts. */
export class ReceiptSigner {
	static create(key: Uint8Array, clock: Clock): ReceiptSigner {
		return new ReceiptSigner(key, clock);
	}

	readonly #key: Uint8Array;
	readonly #clock: Clock;

	private constructor(key: Uint8Array, clock: Clock) {
		this.#key = key;
		this.#clock = clock;
	}

	/** Signs that `attempt` of a request was not run; the receipt is good for `validMs` milliseconds. */
	sign(subject: ReceiptSubject, attempt: number, validMs: number): string {
		const expiresAt = Math.floor(this.#clock.readWall() + validMs);
		return `v1.${attempt}.${expiresAt}.${this.#computeMac(subject, attempt, expiresAt)}`;
	}

	/** Gives the attempt that a receipt proves not to have run, or `undefined` when it proves nothing. */
	verify(subject: ReceiptSubject, receipt: string | undefined): number | undefined {
		const groups = receiptPattern.exec(receipt ?? '')?.groups;
		if (groups === undefined) {
			return undefined;
		}

		const attempt = Number(groups.attempt);
		const expiresAt = Number(groups.expiresAt);
		const isGenuine = timingSafeEqual(Buffer.from(groups.mac!), Buffer.from(this.#computeMac(subject, attempt, expiresAt)));
		return isGenuine && expiresAt > this.#clock.readWall() ? attempt : undefined;
	}

	#computeMac({claimKey, requestHash}: ReceiptSubject, attempt: number, expiresAt: number): string {
		return createHmac('sha256', this.#key).update(`v1\n${claimKey}\n${requestHash}\n${attempt}\n${expiresAt}`).digest('base64url');
	}
}
