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
	/** Worker on which the run of each task may be active. */
	readonly #workers = new Map<Task, VmId>();
	/** The tasks by the worker on which their runs may be active. */
	readonly #tasks = new Map<VmId, Set<Task>>();

	private constructor(private readonly orderTimeoutMs: number) {}

	get count(): number {
		return this.#endBy.size;
	}

	add({task, endBy}: DoubtfulRun): void {
		this.#removeFromWorker(task);
		this.#endBy.set(task, endBy);
		const worker = task.incarnation?.id;
		if (worker !== undefined) {
			this.#workers.set(task, worker);
			this.#tasks.set(worker, (this.#tasks.get(worker) ?? new Set()).add(task));
		}
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

	/** Lists the tasks whose runs may be active on a worker. */
	listTasks(worker: VmId): readonly Task[] {
		return [...this.#tasks.get(worker) ?? []];
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
			this.#removeFromWorker(task);
		}

		return taken;
	}

	/** Removes a task from its worker, which the task no longer names if its gang has ended. */
	#removeFromWorker(task: Task): void {
		const worker = this.#workers.get(task);
		if (worker === undefined) {
			return;
		}

		this.#workers.delete(task);
		const tasks = this.#tasks.get(worker)!;
		tasks.delete(task);
		if (tasks.size === 0) {
			this.#tasks.delete(worker);
		}
	}

	/** Reports whether a start without a response may still reach a later incarnation, although the VM was down at `downAt`. */
	#isStartPending({isConfirmed, orderedAt}: Task, downAt: number): boolean {
		return !isConfirmed && orderedAt > 0 && orderedAt + this.orderTimeoutMs > downAt;
	}
}
