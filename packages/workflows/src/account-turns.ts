/**
 * Order in which the accounts of a pool place their waiting steps during one visit.
 */
import {type AccountName} from '@tamarackwind/core';
import {
	compareRanks, shareClasses, type Rank, type Resources,
} from '@tamarackwind/scheduling';
import TinyQueue from 'tinyqueue';
import {type AccountUse} from './account-ledgers.js';
import {type DemandQueue} from './demand-queues.js';
import {type PoolShares} from './pool-shares.js';

/** The queues of one account, of which the one with the best rank is next. */
export class AccountGroup {
	static create(account: AccountName | undefined): AccountGroup {
		return new AccountGroup(account);
	}

	/** What the waiting steps of the account ask for that some worker can run. */
	readonly demand: {-readonly [Key in keyof Resources]: Resources[Key]} = {cpu: 0, memory: 0, gpu: 0};
	/** Class of the account's next start by its share of the pool. */
	shareClass = 0;
	/** Rank of the next step. */
	rank: Rank = [0, 0];
	/** Use of the account by which its next start was ranked. */
	#rankedUse: AccountUse | undefined;
	#rankedClass = 0;
	readonly #collected: DemandQueue[] = [];
	/** The collected queues in order, from the first visit on. */
	#queues: TinyQueue<DemandQueue> | undefined;

	private constructor(readonly account: AccountName | undefined) {}

	get isEmpty(): boolean {
		return (this.#queues ?? this.#collected).length === 0;
	}

	/** Counts what the steps of a queue ask for. */
	addDemand({waitingTasks, resources}: DemandQueue): void {
		this.demand.cpu += waitingTasks * resources.cpu;
		this.demand.memory += waitingTasks * resources.memory;
		this.demand.gpu += waitingTasks * resources.gpu;
	}

	/** Adds a queue that has a step to visit. */
	addQueue(queue: DemandQueue): void {
		(this.#queues ?? this.#collected).push(queue);
	}

	/** The queue with the next step. */
	get next(): DemandQueue | undefined {
		return this.#sorted.peek();
	}

	/** Takes the queue with the next step. */
	takeQueue(): DemandQueue | undefined {
		return this.#sorted.pop();
	}

	/** Ranks the next step. */
	update(shares: PoolShares): void {
		this.updateFor(this.#sorted.peek()!, shares);
	}

	/**
	 * Ranks the next step of a queue. Long-running jobs keep their place, whatever their account uses. The class by share holds until the use
	 * of the account changes: most of the steps that a full pool tries find no place.
	 */
	updateFor({rank, current, spec}: DemandQueue, shares: PoolShares): void {
		this.rank = rank;
		const use = shares.getUse(this.account);
		if (use !== this.#rankedUse) {
			this.#rankedUse = use;
			this.#rankedClass = shares.rankStart(this.account, spec);
		}

		this.shareClass = current!.step.job.isLongRunning ? shareClasses.below : this.#rankedClass;
	}

	get #sorted(): TinyQueue<DemandQueue> {
		this.#queues ??= new TinyQueue(this.#collected, (a, b) => compareRanks(a.rank, b.rank));
		return this.#queues;
	}
}

/** Compares accounts by their next steps: by tier and priority, then by share, then by the rest of the rank. */
function compareGroups(a: AccountGroup, b: AccountGroup): number {
	return a.rank[0] - b.rank[0] || a.shareClass - b.shareClass || compareRanks(a.rank, b.rank);
}

/** Lets accounts take turns. An account keeps its turn while its next step comes first; without shares, there is one group of all queues. */
export class AccountTurns {
	static create(groups: Iterable<AccountGroup>, shares: PoolShares | undefined): AccountTurns {
		return new AccountTurns([...groups].filter(group => !group.isEmpty), shares);
	}

	readonly #groups: TinyQueue<AccountGroup>;

	private constructor(groups: AccountGroup[], private readonly shares: PoolShares | undefined) {
		if (shares !== undefined) {
			for (const group of groups) {
				group.update(shares);
			}
		}

		this.#groups = new TinyQueue(groups, compareGroups);
	}

	/** Takes the account whose next step comes first. */
	takeNext(): AccountGroup | undefined {
		return this.#groups.pop();
	}

	/** Returns an account at the end of its turn; one without further steps is dropped. */
	add(group: AccountGroup): void {
		if (!group.isEmpty) {
			this.#groups.push(group);
		}
	}

	/** Reports whether the account that has the turn has further steps, and none of another account comes before them. */
	isFirst(group: AccountGroup): boolean {
		if (group.isEmpty) {
			return false;
		}

		if (this.shares !== undefined) {
			group.update(this.shares);
		}

		const next = this.#groups.peek();
		return next === undefined || compareGroups(group, next) <= 0;
	}

	/** Reports whether another account comes before the next task of a queue, whose account has the turn. */
	isTurnOver(group: AccountGroup, queue: DemandQueue): boolean {
		const next = this.#groups.peek();
		if (this.shares === undefined || next === undefined) {
			return false;
		}

		group.updateFor(queue, this.shares);
		return compareGroups(next, group) < 0;
	}
}
