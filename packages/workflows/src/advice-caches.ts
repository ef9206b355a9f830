/**
 * Caches the tickets of an external placement policy, which allow workers to run a step. Tickets are requested once and kept until they expire.
 */
import {readErrorMessage, type Clock, type VmId} from '@tamarackwind/core';
import {AdaptiveTimeout} from '@tamarackwind/clients';
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
/** Largest share of a ticket's validity that may pass before the response: validity counts from the sending, and the service handles one request at a time. */
const maxResponseShare = 0.2;
/**
 * Bounds of the time after its last look for tickets for which a step keeps its turn to request them, in milliseconds. Passes look at steps that are gone no more; a
 * round of passes over thousands of steps takes up to a second, and a turn that lapses between two looks is of no use.
 */
const turnRetention = {
	minMs: 500, maxMs: 2500, factor: 2, windowMs: 5000,
} as const;
/** Number of steps below which none is removed. */
const minRemovalSize = 1000;
/** Time after its last look for tickets for which a step without a valid one is kept, in milliseconds: a step that waits for room is not looked at. */
const entryRetentionMs = 10_000;
/** Longest time that may pass before a response, in milliseconds: a client that gives up after 3 s asks again while the service still handles its earlier requests. */
const maxResponseMs = 1000;
/** Delay before a failed request may be repeated, in milliseconds. */
const retryDelayMs = 200;

/** Answer of the policy for a worker, without a ticket if the worker may not run the step. */
type Answer = {readonly ticket: string | undefined; readonly expiresAt: number};

/** Answers for a step by worker. Expired ones are kept, so that the workers that were asked least recently are asked next. */
type StepAnswers = {readonly byWorker: Map<VmId, Answer>; isRequesting: boolean; lookedAt: number};

type Worker = {readonly id: VmId};

/** What a step looks for. */
export type TicketNeed<T> = {
	/** Reports whether a task of the step has room on a candidate. */
	readonly hasRoom?: (candidate: T) => boolean;
	/** Number of workers with room that the step needs at once, one without. */
	readonly workers?: number;
};

/** Requests and caches the tickets of each step. */
export class AdviceCache {
	static create(options: AdviceCacheOptions): AdviceCache {
		return new AdviceCache(options);
	}

	readonly #options: AdviceCacheOptions;
	readonly #entries = new Map<string, StepAnswers>();
	/** Time for which a turn is kept, by the longest recent time between two looks at a step. */
	readonly #turnRetention: AdaptiveTimeout;
	/** Steps that found the limit of open requests reached, in the order of their turns. */
	readonly #turns = new Set<StepAnswers>();
	#openRequests = 0;
	/** Number of steps at which those that are gone are removed. */
	#maxEntries = minRemovalSize;
	/** Number of requests that may be open, by the time that responses take. */
	#openLimit = maxOpenRequests;
	/** Shortest validity of tickets so far, in milliseconds. */
	#shortestValidMs = Number.POSITIVE_INFINITY;

	private constructor(options: AdviceCacheOptions) {
		this.#options = options;
		this.#turnRetention = AdaptiveTimeout.create({clock: options.clock, ...turnRetention});
	}

	/**
	 * Returns the candidates for which the task's step holds tickets, and requests tickets for candidates that were not requested yet or whose answers have expired.
	 * Those for which `hasRoom` holds are requested first.
	 */
	filterAllowed<T extends Worker>(task: Task, candidates: readonly T[], {hasRoom = () => true, workers = 1}: TicketNeed<T> = {}): T[] {
		const now = this.#options.clock.readMonotonic();
		const entry = this.#openEntry(task, now);
		const allowed = candidates.filter(({id}) => entry.byWorker.get(id)?.ticket !== undefined && readExpiry(entry, id) > now);
		const due = entry.isRequesting ? [] : candidates.filter(({id}) => readExpiry(entry, id) <= now);
		if (due.length > 0 && this.#takeTurn(entry, now)) {
			void this.#requestTickets(task, entry, chooseRequested(entry, due, hasRoom));
		}

		// A step that can start now neither needs a turn nor may delay others by one that it leaves behind.
		if (this.#turns.has(entry) && (due.length === 0 || allowed.filter(candidate => hasRoom(candidate)).length >= workers)) {
			this.#turns.delete(entry);
		}

		return allowed;
	}

	/** Returns the ticket for a task on a worker; `undefined` when there is none, as for queues without a placement policy. */
	getTicket(task: Task, worker: VmId): string | undefined {
		return this.#entries.get(formatStep(task))?.byWorker.get(worker)?.ticket;
	}

	/** Drops the tickets for a worker whose incarnation has ended; tickets are valid for one incarnation. */
	clearWorker(worker: VmId): void {
		for (const {byWorker} of this.#entries.values()) {
			byWorker.delete(worker);
		}
	}

	/** Drops the ticket of a task's step for a worker that refused it, so that it is requested again. */
	clearTicket(task: Task, worker: VmId): void {
		this.#entries.get(formatStep(task))?.byWorker.delete(worker);
	}

	#openEntry(task: Task, now: number): StepAnswers {
		const key = formatStep(task);
		const known = this.#entries.get(key);
		if (known !== undefined) {
			this.#turnRetention.recordResponseTime(now - known.lookedAt);
			known.lookedAt = now;
			return known;
		}

		if (this.#entries.size >= this.#maxEntries) {
			this.#removeEntries(now);
		}

		const entry: StepAnswers = {byWorker: new Map<VmId, Answer>(), isRequesting: false, lookedAt: now};
		this.#entries.set(key, entry);
		return entry;
	}

	/** Removes the entries of steps that have not looked for tickets for a while and hold no valid answer, such as those of jobs that have ended. */
	#removeEntries(now: number): void {
		for (const [key, entry] of this.#entries) {
			const isUsed = entry.isRequesting || now - entry.lookedAt < entryRetentionMs;
			if (!isUsed && [...entry.byWorker.values()].every(({expiresAt}) => expiresAt <= now)) {
				this.#entries.delete(key);
				this.#turns.delete(entry);
			}
		}

		this.#maxEntries = Math.max(minRemovalSize, this.#entries.size * 2);
	}

	/** Reports whether a step may send a request now; otherwise the step waits behind those that found the limit reached before. */
	#takeTurn(entry: StepAnswers, now: number): boolean {
		const retentionMs = this.#turnRetention.ms;
		let free = this.#openLimit - this.#openRequests;
		this.#turns.add(entry);
		for (const waiting of this.#turns) {
			if (free <= 0) {
				return false;
			}

			if (waiting === entry) {
				return this.#turns.delete(entry);
			}

			if (now - waiting.lookedAt > retentionMs) {
				this.#turns.delete(waiting);
			} else {
				free--;
			}
		}

		return false;
	}

	async #requestTickets(task: Task, entry: StepAnswers, workers: readonly VmId[]): Promise<void> {
		const {clock, advisor, log, onResponse} = this.#options;
		const {job, occurrence, step} = task.key;
		entry.isRequesting = true;
		this.#openRequests++;
		const openRequests = this.#openRequests;
		const requestedAt = clock.readMonotonic();
		try {
			const {tickets, validMs} = await advisor.requestTickets({job, occurrence, step}, workers);
			const afterMs = clock.readMonotonic() - requestedAt;
			this.#updateOpenLimit(validMs, afterMs / openRequests);
			const expiresAt = requestedAt + (validMs * usableValidityShare);
			for (const worker of workers) {
				entry.byWorker.set(worker, {ticket: tickets.get(worker), expiresAt});
			}

			log.info('placement tickets received', {
				job, step, asked: workers.length, allowed: tickets.size, afterMs: Math.round(afterMs),
			});
		} catch (error) {
			this.#openLimit = Math.max(1, Math.floor(Math.min(this.#openLimit, openRequests) / 2));
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

	/** Limits the open requests so that tickets arrive in time and with most of their validity left; `requestMs` is the time that each of the requests took. */
	#updateOpenLimit(validMs: number, requestMs: number): void {
		this.#shortestValidMs = Math.min(this.#shortestValidMs, validMs);
		const responseMs = Math.min(maxResponseMs, this.#shortestValidMs * maxResponseShare);
		const limit = Math.floor(responseMs / Math.max(1, requestMs));
		this.#openLimit = Math.max(1, Math.min(maxOpenRequests, limit));
	}
}

/** Returns the time at which the answer for a worker expires, which has passed if there is none. */
function readExpiry(entry: StepAnswers, worker: VmId): number {
	return entry.byWorker.get(worker)?.expiresAt ?? Number.NEGATIVE_INFINITY;
}

/** Chooses the workers of the next request: those with room first, and of these the ones that were asked least recently. */
function chooseRequested<T extends Worker>(entry: StepAnswers, due: readonly T[], hasRoom: (candidate: T) => boolean): VmId[] {
	const ranked = due.map(candidate => ({id: candidate.id, expiresAt: readExpiry(entry, candidate.id), isFull: !hasRoom(candidate)}));
	ranked.sort((a, b) => Number(a.isFull) - Number(b.isFull) || (a.expiresAt === b.expiresAt ? 0 : a.expiresAt - b.expiresAt));
	return ranked.slice(0, maxRequestedWorkers).map(({id}) => id);
}

function formatStep(task: Task): string {
	const {job, occurrence, step} = task.key;
	return `${job}.${occurrence}.${step}`;
}
