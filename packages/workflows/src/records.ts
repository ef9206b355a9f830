/**
 * Schemas of the rows of jobs and their progress, which validate rows when they are read.
 */
import * as z from 'zod';
import {
	type AccountName, type JobId, type RackName, type ServiceName, type VmId,
} from '@tamarackwind/core';
import {type StepSpec} from '@tamarackwind/scheduling';
import {type Job} from './jobs.js';

const resourcesSchema = z.object({cpu: z.number(), memory: z.number(), gpu: z.number()});

/** A flag that is omitted if it is not set. */
const flagSchema = z.boolean().default(false);

const stepSchema = z.object({
	count: z.int().min(1),
	resources: resourcesSchema,
	estimatedMs: z.number(),
	after: z.array(z.int()).default([]),
	isCheckpointing: flagSchema,
	isGang: flagSchema,
	isSameRack: flagSchema,
	isSpeculative: flagSchema,
	isLongRunning: flagSchema,
	isFiller: flagSchema,
	requirement: z.string().optional(),
	affinity: z.string().transform(text => text as RackName).optional(),
	antiAffinity: z.int().optional(),
	image: z.string().optional(),
	targetMs: z.number().optional(),
	mayMiss: z.int().optional(),
});

const accountSchema = z.string().transform(name => name as AccountName);

const policySchema = z.object({
	priority: z.int(),
	maxAttempts: z.int(),
	slackFactor: z.number(),
	targetLatencyMs: z.number(),
	advice: z.object({decideMs: z.number(), perWorkerMs: z.number(), validMs: z.number()}).optional(),
});

const jobSchema = z.object({
	service: z.string().transform(name => name as ServiceName),
	queue: z.string(),
	payload: z.string(),
	steps: z.array(stepSchema).min(1),
	schedule: z.object({repetitions: z.int(), firstAt: z.number(), intervalMs: z.number()}).optional(),
	policy: policySchema,
	submittedAt: z.number(),
	account: accountSchema.optional(),
});

/** Row in place of a permanently refused job, which makes a late write of the job fail. */
const tombstoneSchema = z.object({isRefused: z.literal(true)});

const submissionSchema = z.union([tombstoneSchema, jobSchema]);

/** Value of the row of a submitted job. */
export type SubmissionRow = z.input<typeof submissionSchema>;

/** Row that marks a job as permanently refused. */
export const tombstone: SubmissionRow = {isRefused: true};

/** Reports whether the row of a submitted job holds a tombstone in place of the job. */
export function isTombstone(value: unknown): boolean {
	return 'isRefused' in (value as SubmissionRow);
}

/** Encodes a job for its row. */
export function encodeJob({id: _id, steps, ...row}: Job): SubmissionRow {
	return {...row, steps: steps.map(step => encodeStep(step))};
}

/** Encodes a step without the fields that have their default values. */
function encodeStep({after, ...step}: StepSpec): z.input<typeof stepSchema> {
	return {
		...Object.fromEntries(Object.entries(step).filter(([, value]) => value !== false && value !== undefined)) as Omit<StepSpec, 'after'>, ...(after.length === 0 ? {} : {after: [...after]}),
	};
}

/** Decodes the row of a submitted job; `undefined` for a tombstone. */
export function decodeJob(id: JobId, value: unknown): Job | undefined {
	const row = submissionSchema.parse(value);
	return 'isRefused' in row ? undefined : {...row, id};
}

/** Row of the cancellation of a job that was not stored, with the accounts whose jobs it cancels besides those without an owner. */
const advanceCancellationSchema = z.object({isForAll: flagSchema, accounts: z.array(accountSchema).default([])});

/** Value of the row of an advance cancellation. */
export type AdvanceCancellationRow = z.input<typeof advanceCancellationSchema>;
/** A decoded advance cancellation. */
export type AdvanceCancellation = z.output<typeof advanceCancellationSchema>;

/** Decodes the row of an advance cancellation. */
export function decodeAdvanceCancellation(value: unknown): AdvanceCancellation {
	return advanceCancellationSchema.parse(value);
}

/** A task that was started and is not done. */
const openTaskSchema = z.tuple([z.int(), z.int(), z.int(), z.string(), z.number(), z.string(), z.int().optional(), z.number().optional()])
	.transform(([index, run, failures, worker, startedAt, checkpoint, crashes = 0, guilt = 0]) => ({
		index, run, failures, crashes, guilt, checkpoint, incarnation: worker === '' ? undefined : {id: worker as VmId, startedAt},
	}));

const stepProgressSchema = z.object({
	occurrence: z.int(),
	step: z.int(),
	/** Indices of the tasks that are done. */
	done: z.array(z.int()),
	open: z.array(openTaskSchema),
	/** Index and `hiddenRuns` of open tasks; not part of `open`, whose length earlier versions check. */
	hidden: z.array(z.tuple([z.int(), z.int()])).optional(),
});

const progressSchema = z.object({
	state: z.enum(['queued', 'running', 'succeeded', 'failed', 'cancelled']),
	/** When the job ended, in milliseconds since the Unix epoch. */
	endedAt: z.number().optional(),
	/** Number of tasks in each further row of a job whose progress does not fit into one row. */
	tasksPerRow: z.int().min(1).optional(),
	/** Account that owns the job. */
	account: accountSchema.optional(),
	steps: z.array(stepProgressSchema),
});

/** A further row of a job's progress. */
const progressPartSchema = z.object({steps: z.array(stepProgressSchema)});

/** Value of an encoded progress row. */
export type ProgressRow = z.input<typeof progressSchema>;
/** A decoded progress row. */
export type Progress = z.output<typeof progressSchema>;

/** Value of an encoded further row. */
export type ProgressPartRow = z.input<typeof progressPartSchema>;
/** A decoded further row. */
export type ProgressPart = z.output<typeof progressPartSchema>;

/** Decodes a further row of a job's progress. */
export function decodeProgressPart(value: unknown): ProgressPart {
	return progressPartSchema.parse(value);
}

/** Decodes a progress row. */
export function decodeProgress(value: unknown): Progress {
	return progressSchema.parse(value);
}

/** Value of a fence row: the holder that writes the partition and the number of its transactions. */
export type FenceRow = {readonly epoch: number; readonly sequence: number; readonly holder: string};
