/**
 * Schemas of submitted jobs and of the rows that store them.
 */
import {taskResourcesSchema} from '@tamarackwind/clients';
import {workClassSchema} from '@tamarackwind/settings';
import * as z from 'zod';
import {jobKinds} from './kinds.js';

const nameSchema = z.string().regex(/^[A-Za-z\d](?:[\w.:]|-){0,127}$/v, 'expected letters, digits, "_", ".", ":" and "-"');
const dayMs = 24 * 60 * 60 * 1000;
const defaultRunMs = 60 * 60 * 1000;

/** Description of a job by its caller, without the payload. */
export const jobSpecSchema = z.strictObject({
	kind: z.enum(jobKinds),
	workClass: workClassSchema.default('batch'),
	/** Declared number of CPU cores. */
	cores: z.coerce.number().positive().default(1),
	memoryMb: z.coerce.number().int().positive().default(1024),
	accelerators: z.coerce.number().int().nonnegative().default(0),
	/** Declared run time, in milliseconds. */
	runMs: z.coerce.number().int().positive().max(30 * dayMs).default(defaultRunMs),
	/** Pool whose workers may run the job; default: any. */
	pool: nameSchema.optional(),
	/** Availability zones in which the job may run; default: any. */
	zones: z.array(nameSchema).min(1).optional(),
	/** Racks in which the job may run; default: any. */
	racks: z.array(nameSchema).min(1).optional(),
});

/** Description of a job by its caller, with defaults applied. */
export type JobSpec = z.infer<typeof jobSpecSchema>;

/** States of a job. The last five are final. */
export const jobStates = ['queued', 'starting', 'running', 'finished', 'failed', 'cancelled', 'may-have-run', 'unplaceable'] as const;

export const jobStateSchema = z.enum(jobStates);

/** State of a job. */
export type JobState = (typeof jobStates)[number];

/** Row of one job. */
export const jobRowSchema = z.object({
	jobId: z.string(),
	caller: z.string(),
	team: z.string().optional(),
	spec: jobSpecSchema,
	/** Object that stores the payload. */
	payload: z.string(),
	/** SHA-256 of the spec and the payload; detects a key that is reused for another request. */
	digest: z.string(),
	/** Wall-clock times, in milliseconds since the Unix epoch. */
	submittedAt: z.number(),
	startedAt: z.number().optional(),
	endedAt: z.number().optional(),
	state: jobStateSchema,
	/** Number of the latest run; increments with each start. */
	epoch: z.number().int(),
	/** Token of the latest write of the row. */
	writeId: z.string(),
	vmId: z.string().optional(),
	/** Incarnation of the VM at the start of the run. */
	vmIncarnation: z.string().optional(),
	/** Resources allocated to the latest run. */
	allocated: taskResourcesSchema.optional(),
	/** Minimum allocation of the next run, after a run that exceeded its allocation. */
	minSize: taskResourcesSchema.optional(),
	checkpoint: z.string().optional(),
	result: z.string().optional(),
	/** Reason for the job's state. */
	reason: z.string().optional(),
	/** Workers on which the job failed. */
	failedVms: z.array(z.string()),
	/** Number of times that the job was checkpointed and stopped to free capacity. */
	evictions: z.number().int(),
	/** Time since which no VM of the fleet can hold the job. */
	unplaceableSince: z.number().optional(),
});

/** Row of one job. */
export type JobRow = z.infer<typeof jobRowSchema>;

const finalStates = new Set<JobState>(['finished', 'failed', 'cancelled', 'may-have-run', 'unplaceable']);

/** Reports whether `state` is final. */
export function isFinal(state: JobState): boolean {
	return finalStates.has(state);
}

/** Selects jobs to cancel. */
export const cancelSelectorSchema = z.strictObject({
	/** Jobs to cancel; default: all jobs that match the other fields. */
	jobIds: z.array(z.string()).optional(),
	kind: z.enum(jobKinds).optional(),
	workClass: workClassSchema.optional(),
});

/** Selects jobs to cancel. */
export type CancelSelector = z.infer<typeof cancelSelectorSchema>;
