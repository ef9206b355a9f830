/**
 * Keeps tasks that fill from disturbing tasks that serve: slows the fillers of a worker while a serving task misses its target.
 */
import {readErrorMessage, type Clock} from '@tamarackwind/core';
import {chooseSpeed} from '@tamarackwind/scheduling';
import {type Task} from './active-jobs.js';
import {type DecisionLog} from './decision-logs.js';
import {type WorkerControl} from './workers.js';
import {type WorkerSession} from './worker-sessions.js';

export type PaceKeeperOptions = {
	readonly clock: Clock;
	readonly control: WorkerControl;
	readonly log: DecisionLog;
	readonly epoch: number;
};

/** Least time between two changes of a filler's pace upwards, in milliseconds: the effect of the one before shows within half a second. */
const raiseIntervalMs = 1000;

/** Paces the fillers on a pool's workers. */
export class PaceKeeper {
	static create(options: PaceKeeperOptions): PaceKeeper {
		return new PaceKeeper(options);
	}

	readonly #options: PaceKeeperOptions;
	readonly #raisedAt = new WeakMap<Task, number>();

	private constructor(options: PaceKeeperOptions) {
		this.#options = options;
	}

	/** Adjusts the pace of a worker's fillers to the last figures of those that serve beside them. */
	update(session: WorkerSession): void {
		const now = this.#options.clock.readMonotonic();
		const tasks = [...session.tasks].filter(task => task.phase === 'running');
		const fillers = tasks.filter(task => task.spec.isFiller);
		if (fillers.length === 0) {
			return;
		}

		const serving = tasks.filter(task => task.spec.targetMs !== undefined);
		const strain = Math.max(0, ...serving.map(task => task.load / task.spec.targetMs!));
		for (const task of fillers) {
			const pace = chooseSpeed(task.pace, strain);
			const isRaise = pace > task.pace;
			if (pace !== task.pace && !(isRaise && now - (this.#raisedAt.get(task) ?? 0) < raiseIntervalMs)) {
				this.#raisedAt.set(task, now);
				void this.#throttle(session, task, pace);
			}
		}
	}

	async #throttle(session: WorkerSession, task: Task, percent: number): Promise<void> {
		const {control, log, epoch} = this.#options;
		const before = task.pace;
		const key = task.runKey;
		task.pace = percent;
		log.info('filler paced', {
			job: key.job, task: task.name, worker: session.name, percent, before,
		});
		try {
			const outcome = await control.throttleRun(session.record, {key, percent, fencingToken: epoch});
			if (outcome !== 'done' && task.run === key.run) {
				task.pace = before;
			}
		} catch (error) {
			log.warn('filler not paced', {
				job: key.job, task: task.name, worker: session.name, error: readErrorMessage(error),
			});
			if (task.run === key.run) {
				task.pace = before;
			}
		}
	}
}
