/**
 * Observes runs and renews their leases on workers. All state is in memory, so that this works while the tables are unavailable.
 */
import {type Clock} from '@tamarackwind/core';
import {
	type TaskControl, type TaskResources, type TaskRun, type TaskStatus,
} from '@tamarackwind/clients';
import {type JobSchedulerLease} from './job-scheduler-leases.js';
import {type JobRow} from './schemas.js';
import {groupByKey} from './groups.js';

/** Latest observation of a run: its status, `absent` if the worker does not know it, or `undefined` before the first response. */
export type Observation = TaskStatus | 'absent' | undefined;

/** A run that this holder of the scheduler lease monitors. Times are monotonic, in milliseconds. */
export type Run = {
	readonly task: TaskRun;
	readonly size: TaskResources;
	readonly startedAt: number;
	/** Whether an earlier holder of the scheduler lease started it. */
	readonly isInherited: boolean;
	/** Whether the start is in progress; until it ends, an absent task does not prove that the run was not started. */
	isStarting: boolean;
	isEvicting: boolean;
	observation: Observation;
	/** Latest time at which the worker may have received a start or renewal. */
	renewedAt: number;
	/** Time at which the latest granted renewal was sent. */
	grantedAt: number;
	/** Time at which the latest status request with a response was sent. */
	observedAt: number;
	/** Peak resource usage. */
	peak: TaskResources;
	/** CPU cores to which the run is limited. */
	throttledTo?: number;
	/** Outcome of the start, if this holder sent it. */
	startOutcome?: 'started' | 'refused' | 'unknown';
	/** Whether the worker has confirmed that it will not start this run. */
	isFenced?: boolean;
	/** Set once the run has been checkpointed and has definitely stopped. */
	evicted?: Eviction;
	/** Whether the job was cancelled; the lease is then not renewed. */
	isCancelled: boolean;
};

/** Checkpoint and reason of a run that was stopped to free capacity. */
export type Eviction = {readonly checkpoint: string; readonly reason: string; readonly minSize?: TaskResources};

export type RunMonitorOptions = {
	readonly clock: Clock;
	readonly tasks: TaskControl;
	readonly schedulerLease: JobSchedulerLease;
	/** Duration of a task's lease, in milliseconds. */
	readonly leaseMs: number;
	/** Maximum difference between the clocks of two VMs, in milliseconds. */
	readonly clockBoundMs: number;
};

const renewalsPerLease = 3;
const maxParallelCalls = 16;
/** Maximum time for which a renewal may be in transit, in milliseconds. */
const maxTransitMs = 2000;

/** Observes runs and renews their leases. */
export class RunMonitor {
	static create(options: RunMonitorOptions): RunMonitor {
		return new RunMonitor(options);
	}

	readonly #options: RunMonitorOptions;
	readonly #runs = new Map<string, Run>();
	readonly #silentVms = new Set<string>();

	private constructor(options: RunMonitorOptions) {
		this.#options = options;
	}

	listRuns(): Run[] {
		return [...this.#runs.values()];
	}

	getRun(jobId: string): Run | undefined {
		return this.#runs.get(jobId);
	}

	/** Adds the run in a job's row. */
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

	/** Lists the workers that did not respond to the latest request. They are polled until they respond and get no new runs before. */
	listSilentVms(): string[] {
		return [...this.#silentVms];
	}

	/** Marks a worker that did not respond to a start. */
	markSilent(vmId: string): void {
		this.#silentVms.add(vmId);
	}

	/** Reports whether the lease of a run has definitely expired on its worker, even if the worker is unreachable. */
	isLeaseExpired(run: Run, isVmMissing: boolean): boolean {
		const {clock, leaseMs, clockBoundMs, schedulerLease} = this.#options;
		const offlineMs = run.isInherited && !isVmMissing ? schedulerLease.offlineMs : 0;
		return clock.readMonotonic() - run.renewedAt > leaseMs + clockBoundMs + offlineMs;
	}

	/** Observes every silent worker and every worker with runs, and renews the leases that are due. */
	async renewRuns(): Promise<void> {
		const silent = [...this.#silentVms].map(vmId => [vmId, []] as const);
		const byVm = [...new Map<string, readonly Run[]>([...silent, ...groupByKey(this.#runs.values(), run => run.task.vmId)])];
		const queue = byVm.values();
		const workers = Array.from({length: Math.min(maxParallelCalls, byVm.length)}, async () => {
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
		const requestedAt = this.#options.clock.readMonotonic();
		const startingAtRequest = new Set(runs.filter(run => run.isStarting));
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
			run.observedAt = requestedAt;
			const status = byTask.get(`${run.task.taskId} ${run.task.epoch}`);
			if (status !== undefined) {
				run.observation = status;
				run.peak = computePeak(run.peak, status.usage);
			} else if (!run.isStarting && !startingAtRequest.has(run)) {
				run.observation = 'absent';
			}
		}
	}

	/** A worker that has not responded for the duration of a lease receives no further renewals, so that its leases definitely expire. */
	#isRenewalDue(run: Run): boolean {
		const {clock, leaseMs} = this.#options;
		const now = clock.readMonotonic();
		const isResponsive = now - Math.max(run.grantedAt, run.observedAt) < leaseMs;
		const isDue = now - run.grantedAt >= leaseMs / renewalsPerLease;
		return isResponsive && isDue && !run.isStarting && !run.isCancelled && isPossiblyRunning(run);
	}

	async #renewRun(run: Run): Promise<void> {
		const {clock, tasks, schedulerLease, leaseMs} = this.#options;
		if (!schedulerLease.isRenewalAllowed() || !this.#isRenewalDue(run)) {
			return;
		}

		const sentAt = clock.readMonotonic();
		try {
			const isRenewed = await tasks.renewTask(run.task, leaseMs, clock.readWall() + maxTransitMs);
			run.renewedAt = clock.readMonotonic();
			run.grantedAt = isRenewed ? sentAt : run.grantedAt;
		} catch (error) {
			run.renewedAt = isUnsent(error) ? run.renewedAt : clock.readMonotonic();
		}
	}
}

/** Reports whether a run may still be running according to its latest observation. */
export function isPossiblyRunning({observation}: Run): boolean {
	if (observation === 'absent') {
		return false;
	}

	return observation === undefined || observation.state === 'running';
}

function isUnsent(error: unknown): boolean {
	return (error as {verdict?: string}).verdict === 'not-run';
}

function computePeak(peak: TaskResources, usage: TaskResources | undefined): TaskResources {
	return usage === undefined
		? peak
		: {
			cores: Math.max(peak.cores, usage.cores),
			memoryMb: Math.max(peak.memoryMb, usage.memoryMb),
			accelerators: Math.max(peak.accelerators, usage.accelerators),
		};
}
