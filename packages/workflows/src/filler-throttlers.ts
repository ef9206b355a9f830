/**
 * Throttles the filler tasks of a worker while a serving task on it approaches or misses its latency target.
 */
import {findMaximum, readErrorMessage, type Clock} from '@tamarackwind/core';
import {chooseSpeed} from '@tamarackwind/scheduling';
import {type Task} from './tasks.js';
import {type RateLimitedLog} from './rate-limited-logs.js';
import {type WorkerControl} from './workers.js';
import {type WorkerSession} from './worker-sessions.js';

export type FillerThrottlerOptions = {
	readonly clock: Clock;
	readonly control: WorkerControl;
	readonly log: RateLimitedLog;
	readonly epoch: number;
};

/** Minimum time between two increases of a filler's speed, in milliseconds: the effect of an increase shows within half a second. */
const minIncreaseIntervalMs = 1000;

/** Throttles the filler tasks on a pool's workers. */
export class FillerThrottler {
	static create(options: FillerThrottlerOptions): FillerThrottler {
		return new FillerThrottler(options);
	}

	readonly #options: FillerThrottlerOptions;
	readonly #changedAt = new WeakMap<Task, number>();

	private constructor(options: FillerThrottlerOptions) {
		this.#options = options;
	}

	/** Adjusts the speed of a worker's fillers to the last reported latencies of its serving tasks. */
	update(session: WorkerSession): void {
		const now = this.#options.clock.readMonotonic();
		const tasks = [...session.tasks].filter(task => task.phase === 'running');
		const fillers = tasks.filter(task => task.spec.isFiller);
		if (fillers.length === 0) {
			return;
		}

		const serving = tasks.filter(task => task.spec.targetMs !== undefined);
		const latencyRatio = findMaximum(serving.map(task => task.load / task.spec.targetMs!), 0);
		for (const task of fillers) {
			const speedPercent = chooseSpeed(task.speedPercent, latencyRatio);
			const isIncrease = speedPercent > task.speedPercent;
			if (speedPercent !== task.speedPercent && !(isIncrease && now - (this.#changedAt.get(task) ?? 0) < minIncreaseIntervalMs)) {
				this.#changedAt.set(task, now);
				void this.#throttle(session, task, speedPercent);
			}
		}
	}

	async #throttle(session: WorkerSession, task: Task, percent: number): Promise<void> {
		const {control, log, epoch} = this.#options;
		const before = task.speedPercent;
		const key = task.runKey;
		task.speedPercent = percent;
		log.info('filler throttled', {
			job: key.job, task: task.name, worker: session.name, percent, before,
		});
		try {
			const outcome = await control.throttleRun(session.record, {key, percent, fencingToken: epoch});
			if (outcome !== 'done' && task.run === key.run) {
				task.speedPercent = before;
			}
		} catch (error) {
			log.warn('throttling the filler failed', {
				job: key.job, task: task.name, worker: session.name, error: readErrorMessage(error),
			});
			if (task.run === key.run) {
				task.speedPercent = before;
			}
		}
	}
}
