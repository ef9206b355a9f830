/**
 * Sends start orders to workers and applies their outcomes, including lost responses.
 */
import {
	readErrorMessage, VerdictError, type Clock,
} from '@tamarackwind/core';
import {match} from 'ts-pattern';
import {type Task} from './tasks.js';
import {type RateLimitedLog} from './rate-limited-logs.js';
import {type StartRefusal, type WorkerControl} from './workers.js';
import {type WorkerSession} from './worker-sessions.js';

export type RunStarterOptions = {
	readonly clock: Clock;
	readonly control: WorkerControl;
	readonly log: RateLimitedLog;
	readonly epoch: number;
	readonly canOrder: () => boolean;
	/** Called when a worker has refused the ticket of a start. */
	readonly onTicketRefused: (task: Task, session: WorkerSession) => void;
	/** Called when a start has failed or must be treated as failed. */
	readonly onSettled: (task: Task) => void;
};

/** Time for which a worker gets no new work after it refused a start, in milliseconds. */
const refusalBackoffMs = 1000;

/** Sends the start orders of runs whose assignment is durable. */
export class RunStarter {
	static create(options: RunStarterOptions): RunStarter {
		return new RunStarter(options);
	}

	readonly #options: RunStarterOptions;

	private constructor(options: RunStarterOptions) {
		this.#options = options;
	}

	/** Starts the recorded run of a task on the worker of a session, after the orders that were made to the worker before. */
	async start(task: Task, session: WorkerSession, getTicket: () => string | undefined): Promise<void> {
		const {run} = task;
		task.isStartQueued = true;
		await session.orders.send('start', async () => {
			task.isStartQueued = false;
			if (task.phase === 'recorded' && task.run === run && session.tasks.has(task)) {
				await this.#send(task, session, getTicket());
			}
		});
	}

	async #send(task: Task, session: WorkerSession, ticket: string | undefined): Promise<void> {
		const {clock, control, log, epoch, canOrder} = this.#options;
		if (!canOrder() || !session.isReachable || session.isOverCapacity) {
			this.#release(task, session);
			return;
		}

		session.markSent(task);
		task.phase = 'starting';
		task.orderedAt = clock.readMonotonic();
		task.progressedAt = task.orderedAt;
		const key = task.runKey;
		log.info('run ordered', {
			job: key.job, task: task.name, run: key.run, worker: session.name, doubt: session.health.computeSuspicion(task.orderedAt),
		});
		session.wake();
		try {
			const outcome = await control.startRun(session.record, {
				key, payload: task.job.job.payload, leaseUntil: session.renewLease(), fencingToken: epoch, checkpoint: task.checkpoint, ticket,
			});
			if (task.run !== key.run || task.phase !== 'starting') {
				return;
			}

			if (outcome.status === 'started') {
				task.phase = 'running';
				task.isConfirmed = true;
				task.job.hasBegun = true;
				task.orderedAt = clock.readMonotonic();
				void session.checkSuspects();
			} else {
				this.#applyRefusal(task, session, outcome.reason);
			}
		} catch (error) {
			this.#applyFailure(task, session, key.run, error);
		}
	}

	#applyRefusal(task: Task, session: WorkerSession, reason: StartRefusal): void {
		const {clock, log} = this.#options;
		log.warn('start refused', {
			job: task.job.job.id, task: task.name, run: task.run, worker: session.name, reason,
		});
		match(reason)
			.with('unhealthy', 'no-room', 'fenced', 'invalid', () => {
				session.health.recordRefusal(clock.readMonotonic() + refusalBackoffMs);
			})
			.with('no-ticket', () => {
				this.#options.onTicketRefused(task, session);
			})
			.with('superseded', 'expired', 'other-life', () => {})
			.exhaustive();
		this.#release(task, session);
	}

	#applyFailure(task: Task, session: WorkerSession, run: number, error: unknown): void {
		const {log} = this.#options;
		if (task.run !== run || task.phase !== 'starting') {
			return;
		}

		const isUnsent = error instanceof VerdictError && error.verdict === 'not-run';
		log.warn('start not answered', {
			job: task.job.job.id, task: task.name, run, worker: session.name, isUnsent, error: readErrorMessage(error),
		});
		if (isUnsent) {
			this.#release(task, session);
		} else {
			// The start may still take effect, so the run is stopped on this worker before the task is assigned to another.
			session.stopTask(task);
			this.#options.onSettled(task);
		}
	}

	#release(task: Task, session: WorkerSession): void {
		session.removeTask(task);
		task.phase = 'waiting';
		task.incarnation = undefined;
		this.#options.onSettled(task);
	}
}
