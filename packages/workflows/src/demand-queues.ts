/**
 * Queue of the waiting steps of one account that ask for the same, in the order of their jobs' ranks.
 */
import {type AccountName} from '@tamarackwind/core';
import {
	compareRanks, type Rank, type Resources, type StepSpec,
} from '@tamarackwind/scheduling';
import {type Demand} from './demands.js';
import {type StepState} from './tasks.js';
import {type WaitQueue, type WaitReason} from './wait-reasons.js';

/** A step in a queue. */
export type QueuedStep = {
	readonly step: StepState;
	/** Number of tasks of the step that are known to wait. */
	waitingTasks: number;
	rank: Rank;
	/** Time until which the rank holds, on the monotonic clock. */
	until: number;
	/** Round in which the step was last visited. */
	visitedIn: number;
	isRemoved: boolean;
};

export type DemandQueueOptions = {
	/** Names the queue among those of its account. */
	readonly key: string;
	readonly account: AccountName | undefined;
	/** Whether a failure to place one of the steps holds for all of them. */
	readonly isShared: boolean;
	/** Accounts that have their share of the pool. */
	readonly overAccounts: ReadonlySet<AccountName | undefined>;
};

/** Waiting steps of one account, or without one, with one demand. */
export class DemandQueue implements WaitQueue {
	static create(step: StepState, options: DemandQueueOptions): DemandQueue {
		return new DemandQueue(step, options);
	}

	readonly key: string;
	readonly demand: Demand;
	readonly account: AccountName | undefined;
	/** Specification of one of the steps; those of the others ask for the same. */
	readonly spec: StepSpec;
	/** What one task takes of its account's cap and share. */
	readonly resources: Resources;
	/** Whether a failure to place one of the steps holds for all of them. */
	readonly isShared: boolean;
	readonly #overAccounts: ReadonlySet<AccountName | undefined>;
	reason: WaitReason | undefined;
	/** Round in which the queue was last visited to its end, or found without a place. */
	visitedIn = 0;
	readonly #entries = new Map<StepState, QueuedStep>();
	/** Entries by rank, but for those added since the last visit. */
	#sorted: QueuedStep[] = [];
	#isSorted = true;
	/** Time until which all ranks hold, on the monotonic clock. */
	#until = Number.POSITIVE_INFINITY;
	#position = 0;
	#rank: Rank = [0, 0];
	#waitingTasks = 0;

	private constructor({demand, spec}: StepState, {key, account, isShared, overAccounts}: DemandQueueOptions) {
		this.key = key;
		this.account = account;
		this.isShared = isShared;
		this.demand = demand;
		this.spec = spec;
		this.resources = spec.resources;
		this.#overAccounts = overAccounts;
	}

	/** Number of tasks that wait in the queue. */
	get waitingTasks(): number {
		return this.#waitingTasks;
	}

	/** Rank of the step to visit next. */
	get rank(): Rank {
		return this.#rank;
	}

	get isOverShare(): boolean {
		return this.#overAccounts.has(this.account);
	}

	get isEmpty(): boolean {
		return this.#entries.size === 0;
	}

	/** The entry to visit next; `undefined` after the last one. */
	get current(): QueuedStep | undefined {
		return this.#sorted[this.#position];
	}

	add(step: StepState): void {
		if (!this.#entries.has(step)) {
			const entry: QueuedStep = {
				step, waitingTasks: 0, rank: [0, 0], until: Number.NEGATIVE_INFINITY, visitedIn: 0, isRemoved: false,
			};
			this.#entries.set(step, entry);
			this.#sorted.push(entry);
		}

		const entry = this.#entries.get(step)!;
		entry.until = Number.NEGATIVE_INFINITY;
		this.#until = Number.NEGATIVE_INFINITY;
		this.updateWaiting(entry);
	}

	/** Counts the waiting tasks of a step anew. */
	updateWaiting(entry: QueuedStep): void {
		const waitingTasks = entry.step.counts.get('waiting');
		if (waitingTasks !== entry.waitingTasks) {
			this.#waitingTasks += waitingTasks - entry.waitingTasks;
			entry.waitingTasks = waitingTasks;
		}
	}

	remove(step: StepState): void {
		const entry = this.#entries.get(step);
		if (entry !== undefined) {
			entry.isRemoved = true;
			this.#waitingTasks -= entry.waitingTasks;
			this.#entries.delete(step);
			this.#isSorted = false;
		}
	}

	/** Moves to the entry of the best rank that the round has not visited. */
	begin(now: number, round: number): void {
		this.#position = 0;
		this.#sort(now);
		this.#moveToUnvisited(round);
	}

	/** Moves to the next entry that the round has not visited. */
	advance(round: number): void {
		this.#position++;
		this.#moveToUnvisited(round);
	}

	#moveToUnvisited(round: number): void {
		for (let entry = this.current; entry !== undefined && (entry.isRemoved || entry.visitedIn === round); entry = this.current) {
			this.#position++;
		}

		this.#rank = this.current?.rank ?? this.#rank;
	}

	#sort(now: number): void {
		if (this.#isSorted && now <= this.#until) {
			return;
		}

		this.#sorted = this.#sorted.filter(({isRemoved}) => !isRemoved);
		this.#until = Number.POSITIVE_INFINITY;
		for (const entry of this.#sorted) {
			if (now > entry.until) {
				({rank: entry.rank, until: entry.until} = entry.step.job.ranking.compute(now));
			}

			this.#until = Math.min(this.#until, entry.until);
		}

		// Takes linear time, since the order has hardly changed.
		this.#sorted.sort((a, b) => compareRanks(a.rank, b.rank));
		this.#isSorted = true;
	}
}

/**
 * Names the queue of a step among those of its account. Accounts are charged the whole CPU of fillers, of which the demand has none, and
 * long-running steps go first for the cap of their account.
 */
export function formatQueue({account, spec, demand: {key, requirement}}: StepState, isShared: boolean): string {
	return `${isShared ? 'shared' : 'single'} ${key} ${account === undefined ? '' : `${spec.resources.cpu} ${spec.isLongRunning}`} ${requirement ?? ''}`;
}
