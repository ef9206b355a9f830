/**
 * What the decisions know of work and of workers.
 */
import {type RackName, type VmId, type ZoneName} from '@tamarackwind/core';

/** Room on a worker, or what a task takes of it. */
export type Resources = {
	/** Thousandths of a core. */
	readonly cpu: number;
	/** Megabytes. */
	readonly memory: number;
	/** Whole accelerators. */
	readonly gpu: number;
};

/** One step of a job: tasks that are alike. */
export type StepSpec = {
	/** Number of tasks. */
	readonly count: number;
	/** What each task takes. */
	readonly resources: Resources;
	/** Rough duration of a task in milliseconds, as its owner states it. */
	readonly estimatedMs: number;
	/** Steps whose tasks must all be done first. */
	readonly after: readonly number[];
	/** Tasks save their progress and can go on from it. */
	readonly isCheckpointing: boolean;
	/** Tasks work only while all of them run. */
	readonly isGang: boolean;
	/** Tasks are slow unless all run in one rack. */
	readonly isSameRack: boolean;
	/** Copies of a task may run in parallel. */
	readonly isSpeculative: boolean;
	/** Tasks run until their job is cancelled and are restarted however they end. */
	readonly isLongRunning: boolean;
	/** Tasks take what others leave of the processors; their `cpu` is not reserved. */
	readonly isFiller: boolean;
	/** Label that the worker must have. */
	readonly requirement?: string;
	/** Rack that holds the data. */
	readonly affinity?: RackName;
	/** Most tasks of the step on one worker. */
	readonly antiAffinity?: number;
	/** What the tasks run; tasks of one image behave alike. */
	readonly image?: string;
	/** Bound of the response times that a serving task keeps, in milliseconds. */
	readonly targetMs?: number;
	/** Tasks that orders may make unavailable at once; no bound when left out. */
	readonly mayMiss?: number;
};

/** Rules of a queue. */
export type QueuePolicy = {
	/** 0 comes first. */
	readonly priority: number;
	/** Failed runs of a task after which its job has failed. */
	readonly maxAttempts: number;
	/** Factor on a job's longest chain of work that its objective allows. */
	readonly slackFactor: number;
	/** Time that the objective allows beside the work, in milliseconds. */
	readonly targetLatencyMs: number;
	/** Set when a placement policy outside must allow a worker before it runs a step. */
	readonly advice?: AdvicePolicy;
};

/** What it takes to ask the placement policy of a queue. */
export type AdvicePolicy = {
	/** Fixed time of a call, in milliseconds. */
	readonly decideMs: number;
	/** Time a worker named, in milliseconds. */
	readonly perWorkerMs: number;
	/** Time for which an answer holds, in milliseconds. */
	readonly validMs: number;
};

/** A worker as a placement sees it. */
export type Candidate = {
	readonly id: VmId;
	readonly zone: ZoneName;
	readonly labels: readonly string[];
	readonly capacity: Resources;
	/** Room that is neither in use nor reserved. */
	readonly free: Resources;
	/** 0 for a sound worker; grows with the evidence that it fails, stalls or is slow. */
	readonly doubt: number;
	/** Tasks on it that serve users of their own. */
	readonly servingTasks: number;
	/** Tasks on it that fill what others leave. */
	readonly fillerTasks: number;
};

/** Resources of nothing. */
export const noResources: Resources = {cpu: 0, memory: 0, gpu: 0};

/** Adds `sign` times `b` to `a`. */
export function addResources(a: Resources, b: Resources, sign = 1): Resources {
	return {cpu: a.cpu + (sign * b.cpu), memory: a.memory + (sign * b.memory), gpu: a.gpu + (sign * b.gpu)};
}

/** Tells whether `need` fits into `room`. */
export function isWithin(need: Resources, room: Resources): boolean {
	return need.cpu <= room.cpu && need.memory <= room.memory && need.gpu <= room.gpu;
}

/** What a task of a step reserves of a worker's room. */
export function getReservation(step: StepSpec): Resources {
	return step.isFiller ? {...step.resources, cpu: 0} : step.resources;
}
