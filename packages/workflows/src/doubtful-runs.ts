/**
 * Tracks tasks whose last run may be active on a worker without a session: an earlier holder assigned it, or the worker restarted
 * under its id before it had listed the run.
 */
import {type VmId} from '@tamarackwind/core';
import {type Task} from './tasks.js';
import {type IncarnationEnd} from './worker-sessions.js';

/** A task with the time by which its run has ended in any case, on the monotonic clock. */
export type DoubtfulRun = {readonly task: Task; readonly endBy: number};

/** Holds the doubtful runs of one pool. */
export class DoubtfulRuns {
	/** `orderTimeoutMs` is the time after which an order without a response can no longer reach a worker. */
	static create(orderTimeoutMs: number): DoubtfulRuns {
		return new DoubtfulRuns(orderTimeoutMs);
	}

	readonly #endBy = new Map<Task, number>();

	private constructor(private readonly orderTimeoutMs: number) {}

	get count(): number {
		return this.#endBy.size;
	}

	add({task, endBy}: DoubtfulRun): void {
		this.#endBy.set(task, endBy);
	}

	/** Reports whether a run may be active on a later incarnation of its worker: it was ordered, and the incarnation that ended never listed it. */
	isDoubtful(task: Task, {isOrdered, isReplaced, downAt}: IncarnationEnd): boolean {
		const isOver = isOrdered ?? isReplaced ?? false;
		if (isOver || !task.isInFlight || task.isListed) {
			return false;
		}

		return downAt === undefined || this.#isStartPending(task, downAt);
	}

	/** Lists the workers on which the runs may be active. */
	listWorkers(): VmId[] {
		return [...this.#endBy.keys()].flatMap(({incarnation}) => incarnation === undefined ? [] : [incarnation.id]);
	}

	/** Takes the runs that may be active on a worker. */
	takeWorker(worker: VmId): DoubtfulRun[] {
		return this.#take(({incarnation}) => incarnation?.id === worker);
	}

	/** Takes the runs that are not active, since the VMs of their workers were asked for at `downAt` and found down. */
	takeDown(deadWorkers: ReadonlySet<VmId>, downAt: number): DoubtfulRun[] {
		return this.#take(task => task.incarnation !== undefined && deadWorkers.has(task.incarnation.id) && !this.#isStartPending(task, downAt));
	}

	/** Takes the runs that have ended in any case. */
	takeExpired(now: number): DoubtfulRun[] {
		return this.#take((_task, endBy) => now > endBy);
	}

	#take(isTaken: (task: Task, endBy: number) => boolean): DoubtfulRun[] {
		const taken = [...this.#endBy].filter(([task, endBy]) => isTaken(task, endBy)).map(([task, endBy]) => ({task, endBy}));
		for (const {task} of taken) {
			this.#endBy.delete(task);
		}

		return taken;
	}

	/** Reports whether a start without a response may still reach a later incarnation, although the VM was down at `downAt`. */
	#isStartPending({isConfirmed, orderedAt}: Task, downAt: number): boolean {
		return !isConfirmed && orderedAt > 0 && orderedAt + this.orderTimeoutMs > downAt;
	}
}
