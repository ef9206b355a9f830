/**
 * Client interface of the task control, which runs tasks on workers under leases.
 */
import * as z from 'zod';

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
	/** Name of the object with the latest checkpoint. */
	checkpoint: z.string().optional(),
	/** Name of the object with the result of a finished task. */
	result: z.string().optional(),
	/** Reason for which the task failed. */
	reason: z.string().optional(),
	/** Resource usage, which lags by some seconds. */
	usage: taskResourcesSchema.optional(),
});

/** State of one task on one worker. */
export type TaskStatus = z.infer<typeof taskStatusSchema>;

export type TaskStart = {
	readonly vmId: string;
	readonly taskId: string;
	/** Increases with each start of the same task; a worker rejects an epoch lower than one it has seen. */
	readonly epoch: number;
	/** Time without a renewal after which the worker stops the task, in milliseconds. */
	readonly leaseMs: number;
	/** Kind of work, as defined by the worker. */
	readonly kind: string;
	/** Name of the object with the payload. */
	readonly payload: string;
	/** Name of the object with the checkpoint to resume from. */
	readonly checkpoint?: string;
	readonly resources: TaskResources;
	/** Wall-clock time after which the worker rejects the start if it arrives late. */
	readonly startBy?: number;
};

/** Identifies one run of a task. */
export type TaskRun = {
	readonly vmId: string;
	readonly taskId: string;
	readonly epoch: number;
};

/** Client of the task control. Methods throw a `VerdictError`. */
export abstract class TaskControl {
	/** Starts a task under a lease; resolves to `false` when the worker rejected the start and did not run the task. */
	abstract startTask(start: TaskStart): Promise<boolean>;

	/**
	 * Renews the lease; resolves to `false` when this run is not active on the worker, or when the renewal arrived after the wall-clock
	 * time `renewBy`.
	 */
	abstract renewTask(run: TaskRun, leaseMs: number, renewBy?: number): Promise<boolean>;

	/** Requests a checkpoint; resolves to the name of its object, or `undefined` when the task could not create one. */
	abstract checkpointTask(run: TaskRun): Promise<string | undefined>;

	/** Limits the CPU cores of a task. */
	abstract throttleTask(run: TaskRun, cores: number): Promise<void>;

	/** Stops a task; resolves once it has stopped. The worker then rejects every start of the task with this epoch or a lower one. */
	abstract stopTask(run: TaskRun): Promise<void>;

	/** Lists the tasks of a worker, including ended ones, with their lagging resource usage. */
	abstract listTasks(vmId: string): Promise<TaskStatus[]>;

	abstract close(): Promise<void>;
}
