/**
 * Keeps the steps of a pool that have waiting tasks in queues by account and demand. A planning pass costs by the demands and by the steps that it
 * places, not by the steps that wait: once a demand finds no place, the rest of its queue is left alone.
 */
import {type AccountName} from '@tamarackwind/core';
import {compareRanks, type Rank, type StepSpec} from '@tamarackwind/scheduling';
import TinyQueue from 'tinyqueue';
import {type ActiveJob} from './active-jobs.js';
import {type StepState} from './tasks.js';
import {type Demand} from './demands.js';
import {type WaitingDemand} from './placement-passes.js';
import {type WaitQueue, type WaitReason} from './wait-reasons.js';

type Entry = {
	readonly step: StepState;
	rank: Rank;
	/** Time until which the rank holds, on the monotonic clock. */
	until: number;
	/** Round in which the step was last visited. */
	visitedIn: number;
	isRemoved: boolean;
};

/** Waiting steps of one account, or without one, with one demand. */
class DemandQueue implements WaitQueue {
	static create(step: StepState, isShared: boolean): DemandQueue {
		return new DemandQueue(step, isShared);
	}

	readonly key: string;
	readonly demand: Demand;
	readonly account: AccountName | undefined;
	/** Specification of one of the steps; those of the others ask for the same. */
	readonly spec: StepSpec;

	reason: WaitReason | undefined;
	/** Round in which the queue was last visited to its end, or found without a place. */
	visitedIn = 0;
	readonly #entries = new Map<StepState, Entry>();
	/** Entries by rank, but for those added since the last visit. */
	#sorted: Entry[] = [];
	#isSorted = true;
	/** Time until which all ranks hold, on the monotonic clock. */
	#until = Number.POSITIVE_INFINITY;
	#position = 0;

	private constructor(
		step: StepState,
		/** Whether a failure to place one of the steps holds for all of them. */
		readonly isShared: boolean,
	) {
		this.key = formatQueue(step, isShared);
		this.demand = step.demand;
		this.account = step.account;
		this.spec = step.spec;
	}

	get isEmpty(): boolean {
		return this.#entries.size === 0;
	}

	/** The entry to visit next; `undefined` after the last one. */
	get current(): Entry | undefined {
		return this.#sorted[this.#position];
	}

	add(step: StepState): void {
		if (!this.#entries.has(step)) {
			const entry: Entry = {
				step, rank: [0, 0], until: Number.NEGATIVE_INFINITY, visitedIn: 0, isRemoved: false,
			};
			this.#entries.set(step, entry);
			this.#sorted.push(entry);
		}

		this.resetRank(step);
	}

	/** Ranks a step anew at the next visit. */
	resetRank(step: StepState): void {
		const entry = this.#entries.get(step);
		if (entry !== undefined) {
			entry.until = Number.NEGATIVE_INFINITY;
			this.#until = Number.NEGATIVE_INFINITY;
		}
	}

	remove(step: StepState): void {
		const entry = this.#entries.get(step);
		if (entry !== undefined) {
			entry.isRemoved = true;
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

export type VisitOptions = {
	/** Time of the visit, on the monotonic clock. */
	readonly now: number;
	/** Reports whether the rest of the steps is left to the next visit. */
	readonly isOverBudget: () => boolean;
	/** Tells why no step of a queue can have a place, if that is known. */
	readonly explain: (waiting: WaitingDemand) => WaitReason | undefined;
	/** Places tasks of a step and sets its wait reason; returns whether the step has to be visited again since the time was over. */
	readonly place: (step: StepState) => boolean;
};

/** The waiting steps of one pool. */
export class WaitingSteps {
	static create(): WaitingSteps {
		return new WaitingSteps();
	}

	readonly #queues = new Map<string, DemandQueue>();
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
	 * Visits the steps in the order of their jobs' ranks, without those that the round has visited. A queue is left when one of its steps
	 * finds no place for a reason that holds for all. Returns `false` if the time was over; the next visit then continues the round.
	 */
	visit(options: VisitOptions): boolean {
		const {now, isOverBudget, place} = options;
		const queues = new TinyQueue(this.#listVisitable(options), (a, b) => compareRanks(a.current!.rank, b.current!.rank));
		for (let queue = queues.pop(); queue !== undefined; queue = queues.pop()) {
			if (isOverBudget()) {
				return false;
			}

			const entry = queue.current!;
			const {step} = entry;
			if (step.hasWaitingTasks && place(step)) {
				return false;
			}

			if (step.hasWaitingTasks && step.waitReason === 'account-cap') {
				// Holds for the whole queue until the account uses less, and then the round comes back to it.
				queue.reason = step.waitReason;
				continue;
			}

			entry.visitedIn = this.#round;
			if (!step.hasWaitingTasks) {
				this.#removeStep(step);
			}

			queue.reason = queue.isShared ? step.waitReason : undefined;
			queue.advance(this.#round);
			if (queue.reason === undefined && queue.current !== undefined) {
				queues.push(queue);
			} else {
				queue.visitedIn = this.#round;
			}
		}

		this.#round++;
		return true;
	}

	#listVisitable({now, explain}: VisitOptions): DemandQueue[] {
		const visitable: DemandQueue[] = [];
		for (const queue of this.#queues.values()) {
			if (queue.visitedIn !== this.#round) {
				queue.reason = explain(queue);
				if (queue.reason === undefined) {
					queue.begin(now, this.#round);
				}

				if (queue.reason === undefined && queue.current !== undefined) {
					visitable.push(queue);
				}
			}
		}

		return visitable;
	}

	#findQueue(step: StepState): DemandQueue {
		const known = this.#queueByStep.get(step);
		if (known !== undefined) {
			return known;
		}

		const isShared = step.spec.antiAffinity === undefined && step.job.job.policy.advice === undefined;
		const queue = this.#queues.get(formatQueue(step, isShared)) ?? DemandQueue.create(step, isShared);
		this.#queues.set(queue.key, queue);
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
			this.#queues.delete(queue.key);
		}
	}
}

/** Names a queue. Accounts are charged the whole CPU of fillers, of which the demand has none. */
function formatQueue({account, spec, demand: {key, requirement}}: StepState, isShared: boolean): string {
	const charge = account === undefined ? '' : `${spec.resources.cpu} ${account}`;
	return `${isShared ? 'shared' : 'single'} ${key} ${requirement?.length ?? ''} ${requirement ?? ''} ${charge}`;
}
