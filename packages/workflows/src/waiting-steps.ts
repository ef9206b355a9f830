/**
 * Keeps the steps of a pool that have waiting tasks in queues by account and demand. A planning pass costs by the demands and by the steps that it
 * places, not by the steps that wait: once a demand finds no place, the rest of its queue is left alone.
 */
import {type AccountName} from '@tamarackwind/core';
import {AccountGroup, AccountTurns} from './account-turns.js';
import {type ActiveJob} from './active-jobs.js';
import {DemandQueue, formatQueue} from './demand-queues.js';
import {type WaitingDemand} from './placement-passes.js';
import {type PoolShares} from './pool-shares.js';
import {type StepState} from './tasks.js';
import {type WaitReason} from './wait-reasons.js';

export type VisitOptions = {
	/** Time of the visit, on the monotonic clock. */
	readonly now: number;
	/** Reports whether the rest of the steps is left to the next visit. */
	readonly isOverBudget: () => boolean;
	/** Tells why no step of a queue can have a place, if that is known. */
	readonly explain: (waiting: WaitingDemand) => WaitReason | undefined;
	/**
	 * Places tasks of a step and sets its wait reason, until there is no place for more, the time is over or the turn of the account is;
	 * returns whether the step has to be visited again for one of the latter.
	 */
	readonly place: (step: StepState, isTurnOver: () => boolean) => boolean;
	/** Shares of the accounts, by which they take turns; without them, steps are visited in the order of their ranks. */
	readonly shares?: PoolShares;
};

/** Queues of one account. All of them hold the same text as its name, which makes comparisons cheap. */
type AccountQueues = {readonly account: AccountName | undefined; readonly byKey: Map<string, DemandQueue>};

/** The waiting steps of one pool. */
export class WaitingSteps {
	static create(): WaitingSteps {
		return new WaitingSteps();
	}

	/** Queues by account and key. */
	readonly #queues = new Map<AccountName | undefined, AccountQueues>();
	/** Accounts that had their share of the pool at the last visit. */
	readonly #overAccounts = new Set<AccountName | undefined>();
	readonly #queueByStep = new Map<StepState, DemandQueue>();
	/** Jobs that may have waiting steps without an entry, or with another rank. */
	readonly #changedJobs = new Set<ActiveJob>();
	/** Jobs whose steps are opened at set times. */
	readonly #scheduledJobs = new Set<ActiveJob>();
	/** Number of the current round; each waiting step is visited once a round, however many visits that takes. */
	#round = 1;

	private constructor() {}

	/** Takes up a job that has not ended, and from then on its steps whenever they have waiting tasks. */
	add(job: ActiveJob): void {
		job.hooks.onWaiting = () => {
			this.#changedJobs.add(job);
		};

		this.#changedJobs.add(job);
		if (job.job.schedule !== undefined) {
			this.#scheduledJobs.add(job);
		}
	}

	/** Drops a job that has ended. */
	remove(job: ActiveJob): void {
		job.hooks.onWaiting = undefined;
		this.#changedJobs.delete(job);
		this.#scheduledJobs.delete(job);
		for (const step of job.steps) {
			this.#removeStep(step);
		}
	}

	/** Whether an update has left changes to the next one. */
	get hasChanges(): boolean {
		return this.#changedJobs.size > 0;
	}

	/** Opens what is due at the time `wall` and takes up what has changed, until the time is over; returns whether any step waits. */
	update(wall: number, isOverBudget: () => boolean): boolean {
		for (const job of this.#scheduledJobs) {
			job.openOccurrences(wall);
		}

		for (const job of this.#changedJobs) {
			job.openOccurrences(wall);
			this.#changedJobs.delete(job);
			for (const step of job.listOpenSteps()) {
				if (step.hasWaitingTasks) {
					this.#findQueue(step).add(step);
				}
			}

			if (isOverBudget()) {
				break;
			}
		}

		return this.#queueByStep.size > 0;
	}

	/**
	 * Visits the steps in the order of their jobs' ranks, and by shares among accounts, without those that the round has visited. A queue is
	 * left when one of its steps finds no place for a reason that holds for all. Returns `false` if the time was over; the next visit then
	 * continues the round.
	 */
	visit(options: VisitOptions): boolean {
		const {isOverBudget, shares} = options;
		const turns = AccountTurns.create(this.#listGroups(options), shares);
		for (let group = turns.takeNext(); group !== undefined; group = turns.takeNext()) {
			do {
				if (isOverBudget()) {
					return false;
				}

				// What comes next has to be found anew once a queue is left.
				if (!this.#removeFailing(group, options) && !this.#visitNext(group, turns, options)) {
					return false;
				}
			} while (turns.isFirst(group));

			turns.add(group);
		}

		this.#round++;
		return true;
	}

	/** Leaves the next queues of an account of which no step can have a place; returns whether there were any. */
	#removeFailing(group: AccountGroup, {explain}: VisitOptions): boolean {
		let isAnyLeft = false;
		for (let queue = group.next; queue !== undefined; queue = group.next) {
			queue.reason = explain(queue);
			if (queue.reason === undefined) {
				break;
			}

			isAnyLeft = true;
			queue.visitedIn = queue.reason === 'account-cap' ? queue.visitedIn : this.#round;
			group.takeQueue();
		}

		return isAnyLeft;
	}

	/** Visits the next step of an account; returns `false` if the time was over. */
	#visitNext(group: AccountGroup, turns: AccountTurns, {place}: VisitOptions): boolean {
		const queue = group.takeQueue()!;
		const entry = queue.current!;
		const {step} = entry;
		let isTurnOver = false;
		const isUnfinished = step.hasWaitingTasks && place(step, () => {
			isTurnOver = turns.isTurnOver(group, queue);
			return isTurnOver;
		});
		queue.updateWaiting(entry);
		if (isUnfinished && !isTurnOver) {
			return false;
		}

		if (isUnfinished || this.#finishStep(queue)) {
			group.addQueue(queue);
		}

		return true;
	}

	/** Moves a queue behind its current step, which was tried; returns whether the next one is to be tried. */
	#finishStep(queue: DemandQueue): boolean {
		const entry = queue.current!;
		const {step} = entry;
		if (step.hasWaitingTasks && step.waitReason === 'account-cap') {
			// Holds for the whole queue until the account uses less, and then the round comes back to the step.
			queue.reason = step.waitReason;
			return false;
		}

		entry.visitedIn = this.#round;
		if (!step.hasWaitingTasks) {
			this.#removeStep(step);
		}

		queue.reason = queue.isShared ? step.waitReason : undefined;
		queue.advance(this.#round);
		if (queue.reason === undefined && queue.current !== undefined) {
			return true;
		}

		queue.visitedIn = this.#round;
		return false;
	}

	/** Groups the queues by account, and notes the accounts that have their share; without shares, all of them are one group. */
	#listGroups({now, explain, shares}: VisitOptions): Iterable<AccountGroup> {
		const groups = new Map<AccountName | undefined, AccountGroup>();
		const all = AccountGroup.create(undefined);
		for (const {account, byKey} of this.#queues.values()) {
			const group = shares === undefined ? all : AccountGroup.create(account);
			groups.set(group.account, group);
			for (const queue of byKey.values()) {
				if (queue.visitedIn !== this.#round) {
					queue.reason = explain(queue);
					if (queue.reason === undefined) {
						queue.begin(now, this.#round);
					}

					if (queue.reason === undefined && queue.current !== undefined) {
						group.addQueue(queue);
					}
				}

				if (shares !== undefined && queue.reason !== 'no-matching-worker') {
					group.addDemand(queue);
				}
			}
		}

		this.#overAccounts.clear();
		for (const account of shares?.computeShares(groups) ?? []) {
			this.#overAccounts.add(account);
		}

		return groups.values();
	}

	#findQueue(step: StepState): DemandQueue {
		const known = this.#queueByStep.get(step);
		if (known !== undefined) {
			return known;
		}

		const isShared = step.spec.antiAffinity === undefined && step.job.job.policy.advice === undefined;
		const own = this.#queues.get(step.account) ?? {account: step.account, byKey: new Map<string, DemandQueue>()};
		this.#queues.set(own.account, own);
		const key = formatQueue(step, isShared);
		const queue = own.byKey.get(key) ?? DemandQueue.create(step, {
			key, account: own.account, isShared, overAccounts: this.#overAccounts,
		});
		own.byKey.set(key, queue);
		this.#queueByStep.set(step, queue);
		step.queue = queue;
		return queue;
	}

	#removeStep(step: StepState): void {
		const queue = this.#queueByStep.get(step);
		if (queue === undefined) {
			return;
		}

		queue.remove(step);
		this.#queueByStep.delete(step);
		step.queue = undefined;
		if (queue.isEmpty) {
			const {byKey} = this.#queues.get(queue.account)!;
			byKey.delete(queue.key);
			if (byKey.size === 0) {
				this.#queues.delete(queue.account);
			}
		}
	}
}
