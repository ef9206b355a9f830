/**
 * Answers of a placement policy outside of the product: which workers may run a step, asked once and kept while they hold.
 */
import {readErrorMessage, type Clock, type VmId} from '@tamarackwind/core';
import {type Task} from './active-jobs.js';
import {type DecisionLog} from './decision-logs.js';
import {type PlacementAdvisor} from './workers.js';

export type AdviceCacheOptions = {
	readonly clock: Clock;
	readonly advisor: PlacementAdvisor;
	readonly log: DecisionLog;
	/** Called when an answer has come. */
	readonly onAnswer: () => void;
};

/** Workers named in one question: a question costs time for each. */
const askedWorkers = 30;
/** Share of a ticket's time after which it counts as used up, since a start takes a while to arrive. */
const usableShare = 0.7;
/** Pause before a question that failed is asked again, in milliseconds. */
const retryMs = 200;

type Entry = {readonly tickets: Map<VmId, string>; readonly asked: Set<VmId>; expiresAt: number; isAsking: boolean};

/** Keeps the tickets of each step. */
export class AdviceCache {
	static create(options: AdviceCacheOptions): AdviceCache {
		return new AdviceCache(options);
	}

	readonly #options: AdviceCacheOptions;
	readonly #entries = new Map<string, Entry>();

	private constructor(options: AdviceCacheOptions) {
		this.#options = options;
	}

	/** Gives the candidates that the step of a task holds tickets for, and asks for more where there are none. */
	filterAllowed<T extends {readonly id: VmId}>(task: Task, candidates: readonly T[]): T[] {
		const now = this.#options.clock.readMonotonic();
		const name = formatStep(task);
		let entry = this.#entries.get(name);
		if (entry === undefined || (now >= entry.expiresAt && !entry.isAsking)) {
			entry = {
				tickets: new Map(), asked: new Set(), expiresAt: Number.POSITIVE_INFINITY, isAsking: false,
			};
			this.#entries.set(name, entry);
		}

		const {tickets, asked} = entry;
		const unasked = candidates.filter(({id}) => !asked.has(id)).slice(0, askedWorkers);
		if (!entry.isAsking && unasked.length > 0) {
			void this.#requestTickets(task, entry, unasked.map(({id}) => id));
		}

		return candidates.filter(({id}) => tickets.has(id));
	}

	/** Ticket for a task on a worker; `undefined` when its queue asks for none. */
	getTicket(task: Task, worker: VmId): string | undefined {
		return this.#entries.get(formatStep(task))?.tickets.get(worker);
	}

	async #requestTickets(task: Task, entry: Entry, workers: readonly VmId[]): Promise<void> {
		const {clock, advisor, log, onAnswer} = this.#options;
		const {job, occurrence, step} = task.key;
		entry.isAsking = true;
		const askedAt = clock.readMonotonic();
		try {
			const {tickets, validMs} = await advisor.requestTickets({job, occurrence, step}, workers);
			entry.expiresAt = Math.min(entry.expiresAt, askedAt + (validMs * usableShare));
			for (const worker of workers) {
				entry.asked.add(worker);
			}

			for (const [worker, ticket] of tickets) {
				entry.tickets.set(worker, ticket);
			}

			log.info('placement advised', {
				job, step, asked: workers.length, allowed: tickets.size, afterMs: Math.round(clock.readMonotonic() - askedAt),
			});
		} catch (error) {
			log.warn('placement not advised', {
				job, step, asked: workers.length, error: readErrorMessage(error),
			});
			await clock.sleep(retryMs);
		} finally {
			entry.isAsking = false;
			onAnswer();
		}
	}
}

function formatStep(task: Task): string {
	const {job, occurrence, step} = task.key;
	return `${job}.${occurrence}.${step}`;
}
