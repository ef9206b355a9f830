/**
 * Jobs of several steps as they are submitted, and the names of their tasks and runs.
 */
import {type JobId, type ServiceName, type VmId} from '@tamarackwind/core';
import {type QueuePolicy, type StepSpec} from '@tamarackwind/scheduling';

/** Times at which a job's steps run again and again. */
export type Schedule = {
	/** Number of occurrences. */
	readonly repetitions: number;
	/** When the first occurrence is due, in milliseconds since the Unix epoch. */
	readonly firstAt: number;
	/** Time between two occurrences in milliseconds. */
	readonly intervalMs: number;
};

/** What a client asks for. */
export type JobSpec = {
	/** Text for the workers, handed on as it is. */
	readonly payload: string;
	readonly steps: readonly StepSpec[];
	readonly schedule?: Schedule;
};

/** A job as its row keeps it. */
export type Job = JobSpec & {
	readonly id: JobId;
	/** Name of its queue. */
	readonly queue: string;
	/** Pool whose workers run it. */
	readonly service: ServiceName;
	/** Rules of its queue when it was accepted. */
	readonly policy: QueuePolicy;
	/** When it was accepted, in milliseconds since the Unix epoch by the clock of the entry that accepted it. */
	readonly submittedAt: number;
};

export type JobState = 'queued' | 'running' | 'succeeded' | 'failed' | 'cancelled';

/** Tells whether a job in this state never changes again. */
export function isTerminal(state: JobState): boolean {
	return state === 'succeeded' || state === 'failed' || state === 'cancelled';
}

/** Names one task of a job. */
export type TaskKey = {
	readonly job: JobId;
	readonly occurrence: number;
	readonly step: number;
	readonly index: number;
};

/** One start of a task. */
export type RunKey = TaskKey & {readonly run: number};

/** One life of a worker: a worker that restarts under its id has another birth. */
export type WorkerLife = {
	readonly id: VmId;
	/** When the life began, in milliseconds since the Unix epoch. */
	readonly bornAt: number;
};

/** Formats a task for logs and as a key of maps. */
export function formatTask({job, occurrence, step, index}: TaskKey): string {
	return `${job}.${occurrence}.${step}.${index}`;
}

/** Formats the life of a worker as a key of maps. */
export function formatLife({id, bornAt}: WorkerLife): string {
	return `${id}@${bornAt}`;
}
