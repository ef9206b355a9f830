/**
 * Simulates retry storms: concurrent callers send requests to random entries and retry them with the same idempotency key until
 * the outcome is known.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type RandomSource, type Verdict} from '@tamarackwind/core';
import {attemptTagHeader, type AttemptRecord} from './attempt-checks.js';
import {callHttp, readText, type HttpCallResult} from './http-calls.js';

export type RetryStormOptions = {
	/** Lists the current URLs of the entries' caller ports. */
	readonly listUrls: () => readonly string[];
	readonly random: RandomSource;
	/** Service name and path within the service. */
	readonly path: string;
	/** Number of concurrent callers. */
	readonly callers: number;
	/** Number of idempotency keys that each caller uses. */
	readonly keysPerCaller: number;
	/** Fraction of the keys whose work is idempotent. */
	readonly idempotentRate: number;
	/** Maximum number of rounds of attempts for a key; some rounds send two concurrent attempts. */
	readonly maxAttempts: number;
	readonly deadlineMs: number;
	/** Time after which a caller closes its connection, in milliseconds. */
	readonly clientTimeoutMs: number;
};

/** Runs a retry storm and returns the records of all attempts. */
export async function runRetryStorm(options: RetryStormOptions): Promise<AttemptRecord[]> {
	const records: AttemptRecord[] = [];
	await Promise.all(Array.from({length: options.callers}, async () => {
		for (let index = 0; index < options.keysPerCaller; index++) {
			await sendWithRetries(options, records);
		}
	}));
	return records;
}

const duplicateRate = 0.3;
const retryDelayMs = 30;

async function sendWithRetries(options: RetryStormOptions, records: AttemptRecord[]): Promise<void> {
	const {random, idempotentRate, maxAttempts} = options;
	const key = random.createToken();
	const isIdempotent = random.readFraction() < idempotentRate;
	for (let attempt = 0; attempt < maxAttempts; attempt++) {
		const attemptCount = random.readFraction() < duplicateRate ? 2 : 1;
		const results = await Promise.all(Array.from({length: attemptCount}, async (_, index) => sendAttempt(options, key, `${key}-${attempt}-${index}`, isIdempotent)));
		records.push(...results);
		if (results.some(record => record.outcome === 'ran')) {
			return;
		}

		await delay(retryDelayMs);
	}
}

async function sendAttempt({listUrls, random, path, deadlineMs, clientTimeoutMs: timeoutMs}: RetryStormOptions, key: string, tag: string, isIdempotent: boolean): Promise<AttemptRecord> {
	const expected = `work of ${key} `.repeat(1 + (Number.parseInt(key.slice(0, 2), 16) % 40));
	const response = await callHttp(`${random.pickItem(listUrls())}/${path}`, {
		method: 'POST',
		body: expected,
		headers: {
			'idempotency-key': key,
			'tamarackwind-idempotent': String(isIdempotent),
			'tamarackwind-deadline-ms': String(deadlineMs),
			[attemptTagHeader]: tag,
		},
		signal: AbortSignal.timeout(timeoutMs),
	});
	return {
		key, tag, isIdempotent, expected, outcome: readVerdict(response), responseBody: response.isComplete ? readText(response) : undefined,
	};
}

function readVerdict({status, isComplete, headers}: HttpCallResult): AttemptRecord['outcome'] {
	if (!isComplete) {
		return 'unknown';
	}

	return status === 200 ? 'ran' : headers['tamarackwind-verdict'] as Verdict | undefined ?? 'unknown';
}
