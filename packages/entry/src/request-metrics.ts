/**
 * Metrics of the callers' requests.
 */
import {type Verdict} from '@tamarackwind/core';
import {type WorkClass} from '@tamarackwind/settings';
import {
	Counter, Gauge, Histogram, type Registry,
} from 'prom-client';

/** Upper bounds of the histogram buckets for request durations, in seconds. */
const durationBuckets = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 4.3, 10, 30, 120, 600];

/** Result of one request, for the metrics. */
export type RequestResult = {
	readonly service: string;
	readonly workClass: WorkClass | 'none';
	readonly verdict: Verdict;
	/** Code of the problem, or class of the response status, such as `2xx`. */
	readonly code: string;
	readonly seconds: number;
};

/** Metrics of the caller port. */
export class RequestMetrics {
	static create(registry: Registry): RequestMetrics {
		return new RequestMetrics(registry);
	}

	readonly #requests: Counter<'service' | 'class' | 'verdict' | 'code'>;
	readonly #durations: Histogram<'service' | 'class'>;
	readonly #inFlight: Gauge;
	readonly #attempts: Counter<'service' | 'outcome'>;
	readonly #cutRequests: Counter;
	readonly #replays: Counter<'service'>;
	readonly #unclaimed: Counter<'service'>;
	readonly #duplicateRuns: Counter;

	private constructor(registry: Registry) {
		const registers = [registry];
		this.#requests = new Counter({
			name: 'tamarackwind_requests_total', help: 'Requests of callers that ended', labelNames: ['service', 'class', 'verdict', 'code'], registers,
		});
		this.#durations = new Histogram({
			name: 'tamarackwind_request_duration_seconds', help: 'Time from the arrival of a request to its end', labelNames: ['service', 'class'], buckets: durationBuckets, registers,
		});
		this.#inFlight = new Gauge({name: 'tamarackwind_requests_in_flight', help: 'Requests that have not ended', registers});
		this.#attempts = new Counter({
			name: 'tamarackwind_dispatches_total', help: 'Dispatches to upstreams, by outcome', labelNames: ['service', 'outcome'], registers,
		});
		this.#cutRequests = new Counter({name: 'tamarackwind_requests_cut_total', help: 'Requests that the stop of the entry cut', registers});
		this.#replays = new Counter({
			name: 'tamarackwind_answers_replayed_total', help: 'Stored answers that were given again', labelNames: ['service'], registers,
		});
		this.#unclaimed = new Counter({
			name: 'tamarackwind_requests_unclaimed_total', help: 'Keyed requests that ran without a claim while the table service was down', labelNames: ['service'], registers,
		});
		this.#duplicateRuns = new Counter({name: 'tamarackwind_claims_doubled_total', help: 'Unclaimed runs whose key turned out to be claimed by another attempt', registers});
	}

	observeStart(): void {
		this.#inFlight.inc();
	}

	observeEnd({service, workClass, verdict, code, seconds}: RequestResult): void {
		this.#inFlight.dec();
		this.#requests.inc({
			service, class: workClass, verdict, code,
		});
		this.#durations.observe({service, class: workClass}, seconds);
	}

	observeDispatch(service: string, outcome: string): void {
		this.#attempts.inc({service, outcome});
	}

	observeCut(count: number): void {
		this.#cutRequests.inc(count);
	}

	observeReplay(service: string): void {
		this.#replays.inc({service});
	}

	observeUnclaimed(service: string): void {
		this.#unclaimed.inc({service});
	}

	observeDuplicateRun(): void {
		this.#duplicateRuns.inc();
	}
}
