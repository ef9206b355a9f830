/**
 * Storms: callers that send work over all entries and send it again, under the same key, until its outcome is known.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type RandomSource, type Verdict} from '@tamarackwind/core';
import {attemptTagHeader, type AttemptRecord} from './histories.js';
import {callHttp, readText, type HttpAnswer} from './http-calls.js';

export type StormOptions = {
	/** URLs of the entries' caller ports at this moment. */
	readonly listUrls: () => readonly string[];
	readonly random: RandomSource;
	/** Service and path below it. */
	readonly path: string;
	/** Callers that send at once. */
	readonly callers: number;
	/** Keys that each caller sends. */
	readonly keysPerCaller: number;
	/** Part of the keys whose work is idempotent. */
	readonly idempotentRate: number;
	/** Attempts that are made for a key, two of them at once now and then. */
	readonly maxAttempts: number;
	readonly deadlineMs: number;
	/** Time after which a caller hangs up, in milliseconds. */
	readonly patienceMs: number;
};

/** Runs a storm; resolves to the log of all attempts. */
export async function runStorm(options: StormOptions): Promise<AttemptRecord[]> {
	const records: AttemptRecord[] = [];
	await Promise.all(Array.from({length: options.callers}, async () => {
		for (let index = 0; index < options.keysPerCaller; index++) {
			await sendKey(options, records);
		}
	}));
	return records;
}

const doubleRate = 0.3;
const pauseMs = 30;

async function sendKey(options: StormOptions, records: AttemptRecord[]): Promise<void> {
	const {random, idempotentRate, maxAttempts} = options;
	const key = random.createToken();
	const isIdempotent = random.readFraction() < idempotentRate;
	for (let attempt = 0; attempt < maxAttempts; attempt++) {
		const parallel = random.readFraction() < doubleRate ? 2 : 1;
		const ended = await Promise.all(Array.from({length: parallel}, async (_, index) => sendAttempt(options, key, `${key}-${attempt}-${index}`, isIdempotent)));
		records.push(...ended);
		if (ended.some(record => record.seen === 'ran')) {
			return;
		}

		await delay(pauseMs);
	}
}

async function sendAttempt({listUrls, random, path, deadlineMs, patienceMs}: StormOptions, key: string, tag: string, isIdempotent: boolean): Promise<AttemptRecord> {
	const expected = `work of ${key} `.repeat(1 + (Number.parseInt(key.slice(0, 2), 16) % 40));
	const answer = await callHttp(`${random.pickItem(listUrls())}/${path}`, {
		method: 'POST',
		body: expected,
		headers: {
			'idempotency-key': key,
			'tamarackwind-idempotent': String(isIdempotent),
			'tamarackwind-deadline-ms': String(deadlineMs),
			[attemptTagHeader]: tag,
		},
		signal: AbortSignal.timeout(patienceMs),
	});
	return {
		key, tag, isIdempotent, expected, seen: readVerdict(answer), answer: answer.isWhole ? readText(answer) : undefined,
	};
}

function readVerdict({status, isWhole, headers}: HttpAnswer): AttemptRecord['seen'] {
	if (!isWhole) {
		return 'unknown';
	}

	return status === 200 ? 'ran' : headers['tamarackwind-verdict'] as Verdict | undefined ?? 'unknown';
}
