/**
 * Types of multi-step jobs and the keys of their tasks and runs.
 */
import {
	type AccountName, type JobId, type ServiceName, type VmId,
} from '@tamarackwind/core';
import {type QueuePolicy, type StepSpec} from '@tamarackwind/scheduling';

/** Recurrence of a job's steps. */
export type Schedule = {
	/** Number of occurrences. */
	readonly repetitions: number;
	/** When the first occurrence is due, in milliseconds since the Unix epoch. */
	readonly firstAt: number;
	/** Time between two occurrences in milliseconds. */
	readonly intervalMs: number;
};

/** Job as specified by a client. */
export type JobSpec = {
	/** Opaque text that is passed to the workers. */
	readonly payload: string;
	readonly steps: readonly StepSpec[];
	readonly schedule?: Schedule;
};

/** An accepted job. */
export type Job = JobSpec & {
	readonly id: JobId;
	/** Name of its queue. */
	readonly queue: string;
	/** Pool whose workers run it. */
	readonly service: ServiceName;
	/** Policy of its queue at the time of acceptance. */
	readonly policy: QueuePolicy;
	/** Time of acceptance, in milliseconds since the Unix epoch by the clock of the accepting entry. */
	readonly submittedAt: number;
	/** Account that owns the job; `undefined` where it was submitted without one. */
	readonly account?: AccountName;
};

export type JobState = 'queued' | 'running' | 'succeeded' | 'failed' | 'cancelled';

/** Reports whether a state is final. */
export function isTerminal(state: JobState): boolean {
	return state === 'succeeded' || state === 'failed' || state === 'cancelled';
}

/** Identifies one task of a job. */
export type TaskKey = {
	readonly job: JobId;
	readonly occurrence: number;
	readonly step: number;
	readonly index: number;
};

/** Identifies one run of a task. */
export type RunKey = TaskKey & {readonly run: number};

/** One incarnation of a worker; a worker that restarts under the same id is a new incarnation. */
export type WorkerIncarnation = {
	readonly id: VmId;
	/** Start time of the incarnation, in milliseconds since the Unix epoch. */
	readonly startedAt: number;
};

/** Formats a task key for logs and map keys. */
export function formatTask({job, occurrence, step, index}: TaskKey): string {
	return `${job}.${occurrence}.${step}.${index}`;
}

/** Formats a worker incarnation for logs and map keys. */
export function formatIncarnation({id, startedAt}: WorkerIncarnation): string {
	return `${id}@${startedAt}`;
}
