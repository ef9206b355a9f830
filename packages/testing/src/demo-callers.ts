/**
 * Caller of the demo: sends requests through the load balancer and retries each with the same idempotency key until its outcome is known.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type RandomSource, type Verdict} from '@tamarackwind/core';
import {type WorkClass} from '@tamarackwind/settings';
import {Agent, request, type Dispatcher} from 'undici';
import {type Balancer} from './balancers.js';

export type DemoCall = {
	readonly service: string;
	/** Type of work that the upstream does, such as `seasons`. */
	readonly work: string;
	readonly workClass: WorkClass;
	readonly isIdempotent: boolean;
	readonly body: unknown;
};

/** Outcome of a call as observed by its caller. */
export type DemoOutcome = {
	readonly call: DemoCall;
	readonly key: string;
	readonly verdict: Verdict;
	readonly result?: unknown;
	readonly attempts: number;
	/** Time from the first attempt to the outcome, in milliseconds. */
	readonly elapsedMs: number;
};

type SendAttempt = {readonly verdict: Verdict | 'unknown'; readonly result?: unknown};

const maxAttempts = 12;
/** Number of `may-have-run` verdicts after which the outcome counts as unknown. */
const maxUnknownOutcomes = 2;
const retryDelayMs = 150;
const deadlineMs = 3000;

export type DemoCallerOptions = {
	readonly balancer: Balancer;
	readonly random: RandomSource;
	readonly token: string;
};

/** Sends calls and records their outcomes. */
export class DemoCaller {
	static create(options: DemoCallerOptions): DemoCaller {
		return new DemoCaller(options);
	}

	readonly outcomes: DemoOutcome[] = [];
	readonly #options: DemoCallerOptions;
	readonly #agent: Dispatcher = new Agent({pipelining: 1});

	private constructor(options: DemoCallerOptions) {
		this.#options = options;
	}

	/** Sends a call and retries it until its outcome is known or a limit of attempts or unknown outcomes is reached. */
	async send(call: DemoCall): Promise<DemoOutcome> {
		const key = this.#options.random.createToken();
		const startedAt = performance.now();
		let verdict: Verdict = 'not-run';
		let unknownOutcomes = 0;
		let attempts = 0;
		while (attempts < maxAttempts && unknownOutcomes < maxUnknownOutcomes) {
			attempts++;
			const attempt = await this.#sendOnce(call, key);
			if (attempt.verdict === 'ran') {
				return this.#recordOutcome({
					call, key, verdict: 'ran', result: attempt.result, attempts, elapsedMs: performance.now() - startedAt,
				});
			}

			unknownOutcomes += attempt.verdict === 'may-have-run' ? 1 : 0;
			verdict = attempt.verdict === 'not-run' && verdict === 'not-run' ? 'not-run' : 'may-have-run';
			await delay(retryDelayMs);
		}

		return this.#recordOutcome({
			call, key, verdict, attempts, elapsedMs: performance.now() - startedAt,
		});
	}

	async close(): Promise<void> {
		await this.#agent.close();
	}

	#recordOutcome(outcome: DemoOutcome): DemoOutcome {
		this.outcomes.push(outcome);
		return outcome;
	}

	async #sendOnce(call: DemoCall, key: string): Promise<SendAttempt> {
		const url = this.#options.balancer.pickUrl();
		if (url === undefined) {
			return {verdict: 'not-run'};
		}

		try {
			const response = await request(`${url}/${call.service}/${call.work}`, {
				dispatcher: this.#agent,
				method: 'POST',
				headers: {
					authorization: `Bearer ${this.#options.token}`,
					'content-type': 'application/json',
					'idempotency-key': key,
					'tamarackwind-class': call.workClass,
					'tamarackwind-idempotent': String(call.isIdempotent),
					'tamarackwind-deadline-ms': String(deadlineMs),
				},
				body: JSON.stringify(call.body),
			});
			const result = await response.body.json();
			return response.statusCode === 200 ? {verdict: 'ran', result} : {verdict: response.headers['tamarackwind-verdict'] as Verdict};
		} catch {
			return {verdict: 'unknown'};
		}
	}
}
