/**
 * Chooses the worker for a task. Tasks are packed tightly unless their step requires otherwise, so that a loaded pool still has
 * workers with enough free resources for large tasks.
 */
import {
	addResources, getReservation, isWithin, type Candidate, type Resources, type StepSpec,
} from './models.js';

/** Suspicion level at and above which a worker gets tasks only when no other has capacity. */
const suspicionLimit = 1;
/** Cost of a worker outside the rack of the data, as a multiple of the worker's CPU capacity. */
const remoteCost = 2;
/** Cost per suspicion level of a suspected worker, in the same unit; above the cost of distance. */
const suspicionCost = 10;
/** Cost of each serving task on the worker of a filler, and of each filler on the worker of a serving task, in the same unit. */
const interferenceCost = 0.5;

/** Cost of each task of the same long-running step on a worker, in the same unit: the loss of one worker should affect only one of them. */
const spreadCost = 4;

/** Cost of a worker that just started a task under which another has crashed, in the same unit; below the cost of distance, as the risk lasts shortly. */
const suspectCost = 1.5;

/** Largest sum of the shares of suspects on one worker; the excess allows for rounding. */
const maxSuspectLoad = 1 + 1e-6;

/** Number of a step's tasks on each worker. */
export type StepOccupancy = ReadonlyMap<string, number>;

/** Reports whether a worker may run a task of a step when all of its resources are free. */
export function isEligible(candidate: Pick<Candidate, 'labels' | 'capacity'>, step: StepSpec): boolean {
	return (step.requirement === undefined || candidate.labels.includes(step.requirement))
		&& isWithin(getReservation(step), candidate.capacity);
}

/**
 * Chooses the worker for one task; returns `undefined` when none has capacity.
 *
 * @example
 * const worker = chooseWorker({step, candidates, occupancy: new Map([['vm-1', 2]])});
 */
export function chooseWorker<T extends Candidate>({step, candidates, occupancy, isSuspect = false, suspectShare = 0}: {
	readonly step: StepSpec;
	readonly candidates: readonly T[];
	readonly occupancy: StepOccupancy;
	/** Whether a worker has crashed under the task. It then goes to the emptiest worker. */
	readonly isSuspect?: boolean;
	/** Share that the task takes of the suspects which may start on one worker together. */
	readonly suspectShare?: number;
}): T | undefined {
	const required = getReservation(step);
	let best: T | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		const isPossible = !candidate.isReserved && isWithin(required, candidate.free) && isEligible(candidate, step)
			&& (occupancy.get(candidate.id) ?? 0) < (step.antiAffinity ?? Number.POSITIVE_INFINITY) && (suspectShare === 0 || candidate.suspectLoad + suspectShare <= maxSuspectLoad);
		const spreadPenalty = step.isLongRunning ? (occupancy.get(candidate.id) ?? 0) * spreadCost : 0;
		const cost = isPossible ? computeCost(candidate, step, required, isSuspect) + spreadPenalty : Number.POSITIVE_INFINITY;
		if (cost < bestCost) {
			best = candidate;
			bestCost = cost;
		}
	}

	return best;
}

/** Chooses the workers of all tasks of a gang, in one rack where that is requested and possible; returns `undefined` when the gang does not fit. */
export function planGang<T extends Candidate>(step: StepSpec, candidates: readonly T[]): T[] | undefined {
	const racks = step.isSameRack ? [...new Set(candidates.flatMap(candidate => candidate.labels))] : [];
	for (const rack of racks) {
		const plan = planAllTasks(step, candidates.filter(candidate => candidate.labels.includes(rack)));
		if (plan !== undefined) {
			return plan;
		}
	}

	return planAllTasks(step, candidates);
}

function planAllTasks<T extends Candidate>(step: StepSpec, candidates: readonly T[]): T[] | undefined {
	const required = getReservation(step);
	const free = new Map(candidates.map(candidate => [candidate.id as string, candidate.free]));
	const occupancy = new Map<string, number>();
	const plan: T[] = [];
	for (let index = 0; index < step.count; index++) {
		const choice = chooseWorker({step, candidates: candidates.map(candidate => ({...candidate, free: free.get(candidate.id)!})), occupancy});
		if (choice === undefined) {
			return undefined;
		}

		free.set(choice.id, addResources(choice.free, required, -1));
		occupancy.set(choice.id, (occupancy.get(choice.id) ?? 0) + 1);
		plan.push(candidates.find(candidate => candidate.id === choice.id)!);
	}

	return plan;
}

function computeCost(candidate: Candidate, step: StepSpec, required: Resources, isSuspect: boolean): number {
	const freeShare = (candidate.free.cpu - required.cpu) / Math.max(1, candidate.capacity.cpu);
	const load = isSuspect ? -freeShare : freeShare;
	const risk = candidate.suspectLoad > 0 ? suspectCost : 0;
	const distance = step.affinity !== undefined && !candidate.labels.includes(step.affinity) ? remoteCost : 0;
	const interference = step.isFiller ? candidate.servingTasks * interferenceCost : 0;
	const fillerLoad = step.targetMs === undefined ? 0 : candidate.fillerTasks * interferenceCost;
	return load + risk + distance + interference + fillerLoad + (candidate.suspicion >= suspicionLimit ? suspicionCost * candidate.suspicion : 0);
}
