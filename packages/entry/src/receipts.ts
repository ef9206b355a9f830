/**
 * Receipts: signed proofs that an attempt of a request with an idempotency key did not run.
 */
import {createHmac, timingSafeEqual} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import {type Clock} from '@tamarackwind/core';

/** The request that a receipt is valid for. */
export type ReceiptSubject = {
	/** Key of the claim, a hash of the caller, the service and the idempotency key. */
	readonly claimKey: string;
	/** Hash of the method, the path and the body. */
	readonly requestHash: string;
};

const receiptPattern = /^v1\.(?<attempt>[1-9]\d{0,9})\.(?<expiresAt>\d{1,15})\.(?<mac>[\w\-]{43})$/v;
const minKeyBytes = 32;

/**
 * Reads the receipt key, which all entries of a deployment share.
 *
 * @throws {RangeError} if the file contains less than 32 bytes.
 */
export async function loadReceiptKey(file: string): Promise<Uint8Array> {
	const key = Buffer.from((await readFile(file, 'utf8')).trim());
	if (key.length < minKeyBytes) {
		throw new RangeError(`receipt key file ${file} contains ${key.length} bytes, expected at least ${minKeyBytes}`);
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

	/** Signs a receipt that `attempt` did not run, valid for `validMs` milliseconds. */
	sign(subject: ReceiptSubject, attempt: number, validMs: number): string {
		const expiresAt = Math.floor(this.#clock.readWall() + validMs);
		return `v1.${attempt}.${expiresAt}.${this.#computeMac(subject, attempt, expiresAt)}`;
	}

	/**
	 * Returns the attempt that a receipt proves not to have run, or `undefined` if the receipt is missing, invalid or
	 * expired.
	 */
	verify(subject: ReceiptSubject, receipt: string | undefined): number | undefined {
		const groups = receiptPattern.exec(receipt ?? '')?.groups;
		if (groups === undefined) {
			return undefined;
		}

		const attempt = Number(groups.attempt);
		const expiresAt = Number(groups.expiresAt);
		const isMacValid = timingSafeEqual(Buffer.from(groups.mac!), Buffer.from(this.#computeMac(subject, attempt, expiresAt)));
		return isMacValid && expiresAt > this.#clock.readWall() ? attempt : undefined;
	}

	#computeMac({claimKey, requestHash}: ReceiptSubject, attempt: number, expiresAt: number): string {
		return createHmac('sha256', this.#key).update(`v1\n${claimKey}\n${requestHash}\n${attempt}\n${expiresAt}`).digest('base64url');
	}
}
