/**
 * Control of the tasks that workers run under leases.
 */
import {z} from 'zod';

export const taskResourcesSchema = z.object({
	cores: z.number(),
	memoryMb: z.number(),
	accelerators: z.number(),
});

/** Resources of a task. */
export type TaskResources = z.infer<typeof taskResourcesSchema>;

export const taskStatusSchema = z.object({
	taskId: z.string(),
	vmId: z.string(),
	epoch: z.number().int(),
	state: z.enum(['running', 'finished', 'failed', 'stopped', 'lapsed']),
	/** Object that holds the latest checkpoint. */
	checkpoint: z.string().optional(),
	/** Object that holds the result of a finished task. */
	result: z.string().optional(),
	/** Why a task failed. */
	reason: z.string().optional(),
	/** Resources in use some seconds ago. */
	usage: taskResourcesSchema.optional(),
});

/** State of one task on one worker. */
export type TaskStatus = z.infer<typeof taskStatusSchema>;

export type TaskStart = {
	readonly vmId: string;
	readonly taskId: string;
	/** Grows with each start of the same task; a worker refuses one that is lower than it has seen. */
	readonly epoch: number;
	/** The worker stops the task when its lease was not renewed for this long. */
	readonly leaseMs: number;
	/** Kind of the work, as the worker knows it. */
	readonly kind: string;
	/** Object that holds the payload. */
	readonly payload: string;
	/** Object to go on from. */
	readonly checkpoint?: string;
	readonly resources: TaskResources;
	/** Wall-clock time after which the worker refuses the start, for one that arrives late. */
	readonly startBy?: number;
};

/** Names one run of a task. */
export type TaskRun = {
	readonly vmId: string;
	readonly taskId: string;
	readonly epoch: number;
};

/** Client of the control of tasks. Methods throw a `VerdictError`. */
export abstract class TaskControl {
	/** Starts a task under a lease; resolves to `false` when the worker refused it, `not-run`. */
	abstract startTask(start: TaskStart): Promise<boolean>;

	/**
	 * Renews the lease; resolves to `false` when the worker does not run this run of the task, or the renewal arrived after the wall-clock
	 * time `renewBy`.
	 */
	abstract renewTask(run: TaskRun, leaseMs: number, renewBy?: number): Promise<boolean>;

	/** Asks for a checkpoint; resolves to the object that holds it, if the task could make one. */
	abstract checkpointTask(run: TaskRun): Promise<string | undefined>;

	/** Limits the processors of a task. */
	abstract throttleTask(run: TaskRun, cores: number): Promise<void>;

	/** Stops a task; resolves once it has surely stopped, and the worker starts no run of it with this epoch or a lower one any more. */
	abstract stopTask(run: TaskRun): Promise<void>;

	/** Lists the tasks of a worker, ended ones included, with their lagging usage. */
	abstract listTasks(vmId: string): Promise<TaskStatus[]>;

	abstract close(): Promise<void>;
}
