/**
 * Placement: which worker a task goes to. Answers load that fills a pool: it packs tight where a step does not ask otherwise,
 * so that wide tasks still find a worker with room.
 */
import {
	addResources, getReservation, isWithin, type Candidate, type Resources, type StepSpec,
} from './models.js';

/** Doubt from which a worker gets work only when no other has room. */
const doubtLimit = 1;
/** Cost of a worker away from the data, as a share of the worker's processors. */
const remoteCost = 2;
/** Cost of a worker under doubt, in the same unit; above that of distance. */
const doubtCost = 10;
/** Cost of each serving task beside a filling one, in the same unit. */
const disturbanceCost = 0.5;

/** Cost of each task of the same lasting step on a worker, in the same unit: the loss of one worker should take one of them. */
const fellowCost = 4;

/** A step's part of a placement: how many of its tasks each worker has. */
export type StepOccupancy = ReadonlyMap<string, number>;

/** Tells whether a worker may run a task of a step at all, whatever its room. */
export function isEligible(candidate: Pick<Candidate, 'labels' | 'capacity'>, step: StepSpec): boolean {
	return (step.requirement === undefined || candidate.labels.includes(step.requirement))
		&& isWithin(getReservation(step), candidate.capacity);
}

/**
 * Chooses the worker for one task, or `undefined` when none has room.
 *
 * @example
 * const worker = chooseWorker({step, candidates, occupancy: new Map([['vm-1', 2]])});
 */
export function chooseWorker<T extends Candidate>({step, candidates, occupancy}: {
	readonly step: StepSpec;
	readonly candidates: readonly T[];
	readonly occupancy: StepOccupancy;
}): T | undefined {
	const need = getReservation(step);
	let best: T | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		const isOpen = isWithin(need, candidate.free) && isEligible(candidate, step)
			&& (occupancy.get(candidate.id) ?? 0) < (step.antiAffinity ?? Number.POSITIVE_INFINITY);
		const fellows = step.isLongRunning ? (occupancy.get(candidate.id) ?? 0) * fellowCost : 0;
		const cost = isOpen ? computeCost(candidate, step, need) + fellows : Number.POSITIVE_INFINITY;
		if (cost < bestCost) {
			best = candidate;
			bestCost = cost;
		}
	}

	return best;
}

/** Plans every task of a gang, all in one rack where that is wanted and possible; `undefined` when they don't fit together. */
export function planGang<T extends Candidate>(step: StepSpec, candidates: readonly T[]): T[] | undefined {
	const racks = step.isSameRack ? [...new Set(candidates.flatMap(candidate => candidate.labels))] : [];
	for (const rack of racks) {
		const plan = planTogether(step, candidates.filter(candidate => candidate.labels.includes(rack)));
		if (plan !== undefined) {
			return plan;
		}
	}

	return planTogether(step, candidates);
}

function planTogether<T extends Candidate>(step: StepSpec, candidates: readonly T[]): T[] | undefined {
	const need = getReservation(step);
	const free = new Map(candidates.map(candidate => [candidate.id as string, candidate.free]));
	const occupancy = new Map<string, number>();
	const plan: T[] = [];
	for (let index = 0; index < step.count; index++) {
		const choice = chooseWorker({step, candidates: candidates.map(candidate => ({...candidate, free: free.get(candidate.id)!})), occupancy});
		if (choice === undefined) {
			return undefined;
		}

		free.set(choice.id, addResources(choice.free, need, -1));
		occupancy.set(choice.id, (occupancy.get(choice.id) ?? 0) + 1);
		plan.push(candidates.find(candidate => candidate.id === choice.id)!);
	}

	return plan;
}

function computeCost(candidate: Candidate, step: StepSpec, need: Resources): number {
	const left = (candidate.free.cpu - need.cpu) / Math.max(1, candidate.capacity.cpu);
	const distance = step.affinity !== undefined && !candidate.labels.includes(step.affinity) ? remoteCost : 0;
	const disturbance = step.isFiller ? candidate.servingTasks * disturbanceCost : 0;
	const load = step.targetMs === undefined ? 0 : candidate.fillerTasks * disturbanceCost;
	return left + distance + disturbance + load + (candidate.doubt >= doubtLimit ? doubtCost * candidate.doubt : 0);
}
