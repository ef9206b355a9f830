/**
 * A caller of the demo: sends work through the balancer and sends it again, under the same key, until it knows the outcome.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type RandomSource, type Verdict} from '@tamarackwind/core';
import {type WorkClass} from '@tamarackwind/settings';
import {Agent, request, type Dispatcher} from 'undici';
import {type Balancer} from './balancers.js';

export type DemoCall = {
	readonly service: string;
	/** Work that the upstream does, such as `seasons`. */
	readonly work: string;
	readonly workClass: WorkClass;
	readonly isIdempotent: boolean;
	readonly body: unknown;
};

/** Outcome of a call as its caller knows it. */
export type DemoOutcome = {
	readonly call: DemoCall;
	readonly key: string;
	readonly verdict: Verdict;
	readonly answer?: unknown;
	readonly sends: number;
	/** From the first send to the outcome, in milliseconds. */
	readonly elapsedMs: number;
};

type Attempt = {readonly verdict: Verdict | 'unknown'; readonly answer?: unknown};

const maxSends = 12;
/** Answers of `may-have-run` after which the outcome counts as unknown. */
const maxUnknownAnswers = 2;
const pauseMs = 150;
const deadlineMs = 3000;

export type DemoCallerOptions = {
	readonly balancer: Balancer;
	readonly random: RandomSource;
	readonly token: string;
};

/** Sends calls and keeps their outcomes. */
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

	/** Sends a call until its outcome is known, or is known to stay unknown. */
	async send(call: DemoCall): Promise<DemoOutcome> {
		const key = this.#options.random.createToken();
		const startedAt = performance.now();
		let verdict: Verdict = 'not-run';
		let unknownAnswers = 0;
		let sends = 0;
		while (sends < maxSends && unknownAnswers < maxUnknownAnswers) {
			sends++;
			const attempt = await this.#sendOnce(call, key);
			if (attempt.verdict === 'ran') {
				return this.#keep({
					call, key, verdict: 'ran', answer: attempt.answer, sends, elapsedMs: performance.now() - startedAt,
				});
			}

			unknownAnswers += attempt.verdict === 'may-have-run' ? 1 : 0;
			verdict = attempt.verdict === 'not-run' && verdict === 'not-run' ? 'not-run' : 'may-have-run';
			await delay(pauseMs);
		}

		return this.#keep({
			call, key, verdict, sends, elapsedMs: performance.now() - startedAt,
		});
	}

	async close(): Promise<void> {
		await this.#agent.close();
	}

	#keep(outcome: DemoOutcome): DemoOutcome {
		this.outcomes.push(outcome);
		return outcome;
	}

	async #sendOnce(call: DemoCall, key: string): Promise<Attempt> {
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
			const answer = await response.body.json();
			return response.statusCode === 200 ? {verdict: 'ran', answer} : {verdict: response.headers['tamarackwind-verdict'] as Verdict};
		} catch {
			return {verdict: 'unknown'};
		}
	}
}
