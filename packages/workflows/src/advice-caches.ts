/**
 * Caches the tickets of an external placement policy, which allow workers to run a step. Tickets are requested once and kept until they expire.
 */
import {readErrorMessage, type Clock, type VmId} from '@tamarackwind/core';
import {type Task} from './tasks.js';
import {type RateLimitedLog} from './rate-limited-logs.js';
import {type PlacementAdvisor} from './workers.js';

export type AdviceCacheOptions = {
	readonly clock: Clock;
	readonly advisor: PlacementAdvisor;
	readonly log: RateLimitedLog;
	/** Called after each request, whether it succeeded or failed. */
	readonly onResponse: () => void;
};

/** Maximum number of workers in one request: the response time grows with each worker. */
const maxRequestedWorkers = 30;
/** Maximum number of open requests: the service turns calls away while 32 wait. */
const maxOpenRequests = 24;
/** Share of a ticket's validity for which it is used, since a start takes time to arrive. */
const usableValidityShare = 0.7;
/** Delay before a failed request may be repeated, in milliseconds. */
const retryDelayMs = 200;

type StepTickets = {readonly tickets: Map<VmId, string>; readonly requested: Set<VmId>; expiresAt: number; isRequesting: boolean};

/** Requests and caches the tickets of each step. */
export class AdviceCache {
	static create(options: AdviceCacheOptions): AdviceCache {
		return new AdviceCache(options);
	}

	readonly #options: AdviceCacheOptions;
	readonly #entries = new Map<string, StepTickets>();
	#openRequests = 0;

	private constructor(options: AdviceCacheOptions) {
		this.#options = options;
	}

	/** Returns the candidates for which the task's step holds tickets, and requests tickets for candidates that were not requested yet. */
	filterAllowed<T extends {readonly id: VmId}>(task: Task, candidates: readonly T[]): T[] {
		const now = this.#options.clock.readMonotonic();
		const key = formatStep(task);
		let entry = this.#entries.get(key);
		if (entry === undefined || (now >= entry.expiresAt && !entry.isRequesting)) {
			entry = {
				tickets: new Map(), requested: new Set(), expiresAt: Number.POSITIVE_INFINITY, isRequesting: false,
			};
			this.#entries.set(key, entry);
		}

		const {tickets, requested} = entry;
		const unrequested = candidates.filter(({id}) => !requested.has(id)).slice(0, maxRequestedWorkers);
		if (!entry.isRequesting && unrequested.length > 0 && this.#openRequests < maxOpenRequests) {
			void this.#requestTickets(task, entry, unrequested.map(({id}) => id));
		}

		return candidates.filter(({id}) => tickets.has(id));
	}

	/** Returns the ticket for a task on a worker; `undefined` when there is none, as for queues without a placement policy. */
	getTicket(task: Task, worker: VmId): string | undefined {
		return this.#entries.get(formatStep(task))?.tickets.get(worker);
	}

	/** Drops the tickets for a worker whose incarnation has ended; tickets are valid for one incarnation. */
	clearWorker(worker: VmId): void {
		for (const {tickets, requested} of this.#entries.values()) {
			tickets.delete(worker);
			requested.delete(worker);
		}
	}

	/** Drops the ticket of a task's step for a worker that refused it, so that it is requested again. */
	clearTicket(task: Task, worker: VmId): void {
		const entry = this.#entries.get(formatStep(task));
		entry?.tickets.delete(worker);
		entry?.requested.delete(worker);
	}

	async #requestTickets(task: Task, entry: StepTickets, workers: readonly VmId[]): Promise<void> {
		const {clock, advisor, log, onResponse} = this.#options;
		const {job, occurrence, step} = task.key;
		entry.isRequesting = true;
		this.#openRequests++;
		const requestedAt = clock.readMonotonic();
		try {
			const {tickets, validMs} = await advisor.requestTickets({job, occurrence, step}, workers);
			entry.expiresAt = Math.min(entry.expiresAt, requestedAt + (validMs * usableValidityShare));
			for (const worker of workers) {
				entry.requested.add(worker);
			}

			for (const [worker, ticket] of tickets) {
				entry.tickets.set(worker, ticket);
			}

			log.info('placement tickets received', {
				job, step, asked: workers.length, allowed: tickets.size, afterMs: Math.round(clock.readMonotonic() - requestedAt),
			});
		} catch (error) {
			log.warn('requesting placement tickets failed', {
				job, step, asked: workers.length, error: readErrorMessage(error),
			});
			await clock.sleep(retryDelayMs);
		} finally {
			entry.isRequesting = false;
			this.#openRequests--;
			onResponse();
		}
	}
}

function formatStep(task: Task): string {
	const {job, occurrence, step} = task.key;
	return `${job}.${occurrence}.${step}`;
}
