/**
 * Schemas of jobs: what callers submit, and the row that the platform keeps.
 */
import {taskResourcesSchema} from '@tamarackwind/clients';
import {workClassSchema} from '@tamarackwind/settings';
import {z} from 'zod';
import {jobKinds} from './kinds.js';

const nameSchema = z.string().regex(/^[A-Za-z\d](?:[\w.:]|-){0,127}$/v, 'expected letters, digits, "_", ".", ":" and "-"');
const dayMs = 24 * 60 * 60 * 1000;
const defaultRunMs = 60 * 60 * 1000;

/** What a caller says of a job, apart from its payload. */
export const jobSpecSchema = z.strictObject({
	kind: z.enum(jobKinds),
	workClass: workClassSchema.default('batch'),
	/** Processors that the job is declared to need. */
	cores: z.coerce.number().positive().default(1),
	memoryMb: z.coerce.number().int().positive().default(1024),
	accelerators: z.coerce.number().int().nonnegative().default(0),
	/** Declared run time, in milliseconds. */
	runMs: z.coerce.number().int().positive().max(30 * dayMs).default(defaultRunMs),
	/** Pool whose workers may run the job; any when left out. */
	pool: nameSchema.optional(),
	/** Availability zones that the job may run in; any when left out. */
	zones: z.array(nameSchema).min(1).optional(),
	/** Racks that the job may run in; any when left out. */
	racks: z.array(nameSchema).min(1).optional(),
});

/** What a caller says of a job, with defaults filled in. */
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
	/** Object that holds the payload. */
	payload: z.string(),
	/** SHA-256 of the spec and the payload, by which a repeated key is recognised. */
	digest: z.string(),
	/** Wall-clock times, in milliseconds since the Unix epoch. */
	submittedAt: z.number(),
	startedAt: z.number().optional(),
	endedAt: z.number().optional(),
	state: jobStateSchema,
	/** Number of the latest run; grows with each start. */
	epoch: z.number().int(),
	/** Token of the latest write of the row. */
	writeId: z.string(),
	vmId: z.string().optional(),
	/** Incarnation of the VM when the run was started. */
	vmIncarnation: z.string().optional(),
	/** Resources that the latest run was given. */
	allocated: taskResourcesSchema.optional(),
	/** Least that the next run is given, after one that used more than it had. */
	minSize: taskResourcesSchema.optional(),
	checkpoint: z.string().optional(),
	result: z.string().optional(),
	/** Why the job is in its state. */
	reason: z.string().optional(),
	/** Workers on which a run failed. */
	failedVms: z.array(z.string()),
	/** Times that the job was checkpointed and stopped to make room. */
	evictions: z.number().int(),
	/** Time since which no VM of the fleet could hold the job. */
	unplaceableSince: z.number().optional(),
});

/** Row of one job. */
export type JobRow = z.infer<typeof jobRowSchema>;

const finalStates = new Set<JobState>(['finished', 'failed', 'cancelled', 'may-have-run', 'unplaceable']);

/** Tells whether a job in `state` has ended. */
export function isFinal(state: JobState): boolean {
	return finalStates.has(state);
}

/** Selects jobs to cancel. */
export const cancelSelectorSchema = z.strictObject({
	/** Jobs to cancel; every job that the other fields select when left out. */
	jobIds: z.array(z.string()).optional(),
	kind: z.enum(jobKinds).optional(),
	workClass: workClassSchema.optional(),
});

/** Selects jobs to cancel. */
export type CancelSelector = z.infer<typeof cancelSelectorSchema>;
