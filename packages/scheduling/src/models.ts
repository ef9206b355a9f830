/**
 * Types of the inputs of scheduling decisions: steps, queue policies and candidate workers.
 */
import {type RackName, type VmId, type ZoneName} from '@tamarackwind/core';

/** Resources of a worker or of a task. */
export type Resources = {
	/** Thousandths of a core. */
	readonly cpu: number;
	/** Megabytes. */
	readonly memory: number;
	/** Whole accelerators. */
	readonly gpu: number;
};

/** One step of a job: a number of identical tasks. */
export type StepSpec = {
	/** Number of tasks. */
	readonly count: number;
	/** Resources that each task uses. */
	readonly resources: Resources;
	/** Estimated duration of a task in milliseconds, as given by the client. */
	readonly estimatedMs: number;
	/** Indices of the steps that must be done first. */
	readonly after: readonly number[];
	/** Whether tasks save checkpoints from which they can resume. */
	readonly isCheckpointing: boolean;
	/** Whether tasks make progress only while all of them run. */
	readonly isGang: boolean;
	/** Whether tasks are slow unless all of them run in one rack. */
	readonly isSameRack: boolean;
	/** Whether copies of a task may run in parallel. */
	readonly isSpeculative: boolean;
	/** Whether tasks run until their job is cancelled and are restarted whenever they end. */
	readonly isLongRunning: boolean;
	/** Whether tasks use only CPU that other tasks leave idle; their `cpu` is not reserved. */
	readonly isFiller: boolean;
	/** Label that the worker must have. */
	readonly requirement?: string;
	/** Rack that holds the tasks' data. */
	readonly affinity?: RackName;
	/** Maximum number of the step's tasks on one worker. */
	readonly antiAffinity?: number;
	/** Image that the tasks run; tasks of the same image behave alike. */
	readonly image?: string;
	/** Latency target in milliseconds; set for serving tasks only. */
	readonly targetMs?: number;
	/** Disruption budget: maximum number of tasks that orders may make unavailable at once; unlimited when omitted. */
	readonly mayMiss?: number;
};

/** Scheduling policy of a queue. */
export type QueuePolicy = {
	/** Priority; 0 is the highest. */
	readonly priority: number;
	/** Number of failed runs of a task after which its job fails. */
	readonly maxAttempts: number;
	/** Factor by which the job's critical path is multiplied in the latency objective. */
	readonly slackFactor: number;
	/** Time that the latency objective adds to the scaled critical path, in milliseconds. */
	readonly targetLatencyMs: number;
	/** Set when an external placement policy must allow a worker before it runs a step. */
	readonly advice?: AdvicePolicy;
};

/** Response times of a queue's placement policy, and the validity of its responses. */
export type AdvicePolicy = {
	/** Fixed duration of a request, in milliseconds. */
	readonly decideMs: number;
	/** Additional duration per worker in the request, in milliseconds. */
	readonly perWorkerMs: number;
	/** Validity of a response, in milliseconds. */
	readonly validMs: number;
};

/** A worker that is considered for placement. */
export type Candidate = {
	readonly id: VmId;
	readonly zone: ZoneName;
	readonly labels: readonly string[];
	readonly capacity: Resources;
	/** Unreserved resources. */
	readonly free: Resources;
	/** Level of suspicion: 0 for a healthy worker; grows with the evidence that the worker fails, stalls or is slow. */
	readonly suspicion: number;
	/** Number of tasks on the worker that serve user requests. */
	readonly servingTasks: number;
	/** Number of filler tasks on the worker. */
	readonly fillerTasks: number;
	/** Sum of the shares of the suspects that the worker just started, tasks under which another worker has crashed; at 1 it gets no further one. */
	readonly suspectLoad: number;
	/** Whether the worker tests a suspect that must start alone, so that it gets no other task until that is proven. */
	readonly isReserved: boolean;
	/** Number of starts that may still be assigned to the worker before it has answered earlier ones; unlimited when omitted. Gangs don't count. */
	readonly startSlots?: number;
};

export const noResources: Resources = {cpu: 0, memory: 0, gpu: 0};

/** Returns `a + sign * b`. */
export function addResources(a: Resources, b: Resources, sign = 1): Resources {
	return {cpu: a.cpu + (sign * b.cpu), memory: a.memory + (sign * b.memory), gpu: a.gpu + (sign * b.gpu)};
}

/** Reports whether `required` is at most `available` in every resource. */
export function isWithin(required: Resources, available: Resources): boolean {
	return required.cpu <= available.cpu && required.memory <= available.memory && required.gpu <= available.gpu;
}

/** Returns the resources that a task of a step reserves on its worker. */
export function getReservation(step: StepSpec): Resources {
	return step.isFiller ? {...step.resources, cpu: 0} : step.resources;
}
