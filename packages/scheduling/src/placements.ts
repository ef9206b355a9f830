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

/** Excess that allows for rounding when resources are divided. */
const roundingSlack = 1e-6;

/** Number of a step's tasks on each worker. */
export type StepOccupancy = ReadonlyMap<string, number>;

/** Reports whether a worker may run a task of a step when all of its resources are free. */
export function isEligible(candidate: Pick<Candidate, 'labels' | 'capacity'>, step: StepSpec): boolean {
	return (step.requirement === undefined || candidate.labels.includes(step.requirement))
		&& isWithin(getReservation(step), candidate.capacity);
}

/** Reports whether a worker has room for a further task of a step, whatever is reserved for suspects and however many starts it has to answer. */
export function hasRoom(candidate: Candidate, step: StepSpec, occupancy: StepOccupancy): boolean {
	return isWithin(getReservation(step), candidate.free) && isEligible(candidate, step) && (occupancy.get(candidate.id) ?? 0) < (step.antiAffinity ?? Number.POSITIVE_INFINITY);
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
		const isPossible = !candidate.isReserved && (step.isGang || candidate.startSlots !== 0) && (suspectShare === 0 || candidate.suspectLoad + suspectShare <= maxSuspectLoad) && hasRoom(candidate, step, occupancy);
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
	const usable = candidates.filter(candidate => !candidate.isReserved && isEligible(candidate, step));
	if (countPlaces(step, usable) < step.count) {
		return undefined;
	}

	const racks = step.isSameRack ? [...new Set(usable.flatMap(candidate => candidate.labels))] : [];
	for (const rack of racks) {
		const plan = planAllTasks(step, usable.filter(candidate => candidate.labels.includes(rack)));
		if (plan !== undefined) {
			return plan;
		}
	}

	return planAllTasks(step, usable);
}

/** Counts the tasks of a step for which eligible workers have room together. */
export function countPlaces(step: StepSpec, candidates: ReadonlyArray<Pick<Candidate, 'free'>>): number {
	const required = getReservation(step);
	const limit = Math.min(step.count, step.antiAffinity ?? Number.POSITIVE_INFINITY);
	let places = 0;
	for (const {free} of candidates) {
		places += isWithin(required, free) ? Math.min(limit, countFits(required, free)) : 0;
	}

	return places;
}

/** Counts how often `required` fits into `free`, which has room for it at least once. */
function countFits(required: Resources, free: Resources): number {
	return Math.min(...(['cpu', 'memory', 'gpu'] as const).map(resource => required[resource] > 0 ? Math.floor((free[resource] / required[resource]) + roundingSlack) : Number.POSITIVE_INFINITY));
}

/** Copy of a candidate whose free resources shrink with the tasks planned for it. */
type PlannedCandidate<T extends Candidate> = Omit<Candidate, 'free'> & {free: Resources; readonly original: T};

function planAllTasks<T extends Candidate>(step: StepSpec, candidates: readonly T[]): T[] | undefined {
	if (countPlaces(step, candidates) < step.count) {
		return undefined;
	}

	const required = getReservation(step);
	const planned: Array<PlannedCandidate<T>> = candidates.map(candidate => ({...candidate, original: candidate}));
	const occupancy = new Map<string, number>();
	const plan: T[] = [];
	for (let index = 0; index < step.count; index++) {
		const choice = chooseWorker({step, candidates: planned, occupancy});
		if (choice === undefined) {
			return undefined;
		}

		choice.free = addResources(choice.free, required, -1);
		occupancy.set(choice.id, (occupancy.get(choice.id) ?? 0) + 1);
		plan.push(choice.original);
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
