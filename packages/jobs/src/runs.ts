/**
 * Keeps runs alive on their workers and watches them, from memory alone: it goes on while the tables can't be reached.
 */
import {type Clock} from '@tamarackwind/core';
import {
	type TaskControl, type TaskResources, type TaskRun, type TaskStatus,
} from '@tamarackwind/clients';
import {type JobDuty} from './duties.js';
import {type JobRow} from './schemas.js';
import {groupByKey} from './groups.js';

/** What was last seen of a run: its status, that the worker doesn't know it, or nothing yet. */
export type Observation = TaskStatus | 'absent' | undefined;

/** One run that this holder of the duty looks after. Times are monotonic, in milliseconds. */
export type Run = {
	readonly task: TaskRun;
	readonly size: TaskResources;
	readonly startedAt: number;
	/** Whether an earlier holder of the duty started it. */
	readonly isInherited: boolean;
	/** Whether the start has been sent and not answered, so that an absent task proves nothing. */
	isStarting: boolean;
	isEvicting: boolean;
	observation: Observation;
	/** Latest time at which a renewal may have reached the worker. */
	renewedAt: number;
	/** Time of the latest renewal that the worker granted. */
	grantedAt: number;
	/** Time at which the worker was last asked and answered. */
	observedAt: number;
	/** Most that was seen in use. */
	peak: TaskResources;
	/** Processors that the run was limited to. */
	throttledTo?: number;
	/** What became of the start, when this holder sent it. */
	startOutcome?: 'started' | 'refused' | 'unknown';
	/** Whether the worker has promised to start this run no more. */
	isFenced?: boolean;
	/** Set once the run was checkpointed and has surely stopped. */
	evicted?: Eviction;
	/** Whether the run is wanted no more; its lease is not renewed. */
	isCancelled: boolean;
};

/** A run that was checkpointed and stopped to make room. */
export type Eviction = {readonly checkpoint: string; readonly reason: string; readonly minSize?: TaskResources};

export type RunKeeperOptions = {
	readonly clock: Clock;
	readonly tasks: TaskControl;
	readonly duty: JobDuty;
	/** Term of a task's lease, in milliseconds. */
	readonly leaseMs: number;
	/** Largest difference between the clocks of two VMs, in milliseconds. */
	readonly clockBoundMs: number;
};

const renewalsPerLease = 3;
const parallelCalls = 16;
/** Time for which a renewal may be on its way. */
const transitMs = 2000;

/** Renews the leases of runs and lists their states. */
export class RunKeeper {
	static create(options: RunKeeperOptions): RunKeeper {
		return new RunKeeper(options);
	}

	readonly #options: RunKeeperOptions;
	readonly #runs = new Map<string, Run>();
	readonly #silentVms = new Set<string>();

	private constructor(options: RunKeeperOptions) {
		this.#options = options;
	}

	listRuns(): Run[] {
		return [...this.#runs.values()];
	}

	getRun(jobId: string): Run | undefined {
		return this.#runs.get(jobId);
	}

	/** Looks after the run that a job's row names. */
	addRun(row: JobRow, isInherited: boolean): Run {
		const now = this.#options.clock.readMonotonic();
		const size = row.allocated ?? {cores: row.spec.cores, memoryMb: row.spec.memoryMb, accelerators: row.spec.accelerators};
		const run: Run = {
			task: {vmId: row.vmId!, taskId: row.jobId, epoch: row.epoch},
			size,
			startedAt: isInherited ? now - Math.max(0, this.#options.clock.readWall() - (row.startedAt ?? 0)) : now,
			isInherited,
			isStarting: false,
			isEvicting: false,
			isCancelled: false,
			observation: undefined,
			renewedAt: now,
			grantedAt: now,
			observedAt: now,
			peak: {cores: 0, memoryMb: 0, accelerators: 0},
		};
		this.#runs.set(row.jobId, run);
		return run;
	}

	removeRun(jobId: string): void {
		this.#runs.delete(jobId);
	}

	clear(): void {
		this.#runs.clear();
	}

	/** Workers that did not answer when last asked; they are asked until they do, and get no new runs before. */
	listSilentVms(): string[] {
		return [...this.#silentVms];
	}

	/** Notes a worker that did not answer a start. */
	noteSilentVm(vmId: string): void {
		this.#silentVms.add(vmId);
	}

	/** Tells whether the lease of a run has surely lapsed on its worker, which may not be reachable. */
	isSurelyLapsed(run: Run, isVmGone: boolean): boolean {
		const {clock, leaseMs, clockBoundMs, duty} = this.#options;
		const offlineMs = run.isInherited && !isVmGone ? duty.offlineMs : 0;
		return clock.readMonotonic() - run.renewedAt > leaseMs + clockBoundMs + offlineMs;
	}

	/** Observes every worker that has runs, and renews the leases that are due. */
	async renewRuns(): Promise<void> {
		const silent = [...this.#silentVms].map(vmId => [vmId, []] as const);
		const byVm = [...new Map<string, readonly Run[]>([...silent, ...groupByKey(this.#runs.values(), run => run.task.vmId)])];
		const queue = byVm.values();
		const workers = Array.from({length: Math.min(parallelCalls, byVm.length)}, async () => {
			for (const [vmId, runs] of queue) {
				await this.#observeVm(vmId, runs);
				for (const run of runs) {
					await this.#renewRun(run);
				}
			}
		});
		await Promise.all(workers);
	}

	async #observeVm(vmId: string, runs: readonly Run[]): Promise<void> {
		const askedAt = this.#options.clock.readMonotonic();
		const startingBefore = new Set(runs.filter(run => run.isStarting));
		let statuses: TaskStatus[];
		try {
			statuses = await this.#options.tasks.listTasks(vmId);
		} catch {
			this.#silentVms.add(vmId);
			return;
		}

		this.#silentVms.delete(vmId);

		const byTask = new Map(statuses.map(status => [`${status.taskId} ${status.epoch}`, status]));
		for (const run of runs) {
			run.observedAt = askedAt;
			const status = byTask.get(`${run.task.taskId} ${run.task.epoch}`);
			if (status !== undefined) {
				run.observation = status;
				run.peak = findPeak(run.peak, status.usage);
			} else if (!run.isStarting && !startingBefore.has(run)) {
				run.observation = 'absent';
			}
		}
	}

	/** A worker that has not answered for a lease gets no renewals any more, so that its lease surely lapses. */
	#isRenewalDue(run: Run): boolean {
		const {clock, leaseMs} = this.#options;
		const now = clock.readMonotonic();
		const isHeard = now - Math.max(run.grantedAt, run.observedAt) < leaseMs;
		const isDue = now - run.grantedAt >= leaseMs / renewalsPerLease;
		return isHeard && isDue && !run.isStarting && !run.isCancelled && isPossiblyRunning(run);
	}

	async #renewRun(run: Run): Promise<void> {
		const {clock, tasks, duty, leaseMs} = this.#options;
		if (!duty.isKeeper() || !this.#isRenewalDue(run)) {
			return;
		}

		const sentAt = clock.readMonotonic();
		try {
			const isRenewed = await tasks.renewTask(run.task, leaseMs, clock.readWall() + transitMs);
			run.renewedAt = clock.readMonotonic();
			run.grantedAt = isRenewed ? sentAt : run.grantedAt;
		} catch (error) {
			run.renewedAt = isUnsent(error) ? run.renewedAt : clock.readMonotonic();
		}
	}
}

/** Tells whether a run may still be running by what was seen of it. */
export function isPossiblyRunning({observation}: Run): boolean {
	if (observation === 'absent') {
		return false;
	}

	return observation === undefined || observation.state === 'running';
}

function isUnsent(error: unknown): boolean {
	return (error as {verdict?: string}).verdict === 'not-run';
}

function findPeak(peak: TaskResources, usage: TaskResources | undefined): TaskResources {
	return usage === undefined
		? peak
		: {
			cores: Math.max(peak.cores, usage.cores),
			memoryMb: Math.max(peak.memoryMb, usage.memoryMb),
			accelerators: Math.max(peak.accelerators, usage.accelerators),
		};
}
