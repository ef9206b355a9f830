/**
 * One pass over the steps of a pool that are ready, which places their waiting tasks on workers.
 */
import {findMaximum} from '@tamarackwind/core';
import {
	addResources, chooseWorker, getReservation, isEligible, isWithin, planGang, type Candidate, type Resources, type StepOccupancy, type StepSpec,
} from '@tamarackwind/scheduling';
import {type StepState, type Task} from './active-jobs.js';
import {type AdviceCache} from './advice-caches.js';
import {
	computeSuspectShare, isSuspect, isSuspectOverdue, isTestedAlone,
} from './crash-budgets.js';
import {type WaitReason} from './wait-monitors.js';
import {type WorkerSession} from './worker-sessions.js';

/** A worker that is considered, with its session. */
export type PlanCandidate = Candidate & {readonly session: WorkerSession};

export type PlacementPassOptions = {
	readonly candidates: readonly PlanCandidate[];
	readonly advice: AdviceCache;
	/** Time of the pass, on the monotonic clock. */
	readonly now: number;
};

/** Largest share of the workers that are reserved for suspects which start alone, so that other tasks have the rest. */
const reservableShare = 0.5;

/** Wait after which a suspect that starts alone shares its worker with runs that are not proven, in milliseconds. */
const maxSoleWaitMs = 1000;

/** Share in the demand of a suspect that shares its worker with no unproven run: more than one that starts alone asks for. */
const soleShare = 2;

/** A demand for which no worker had a place; the free resources only shrink during a pass. */
type FailedDemand = {
	readonly requirement: string | undefined;
	readonly resources: Resources;
	/** Share of a worker's suspects; 0 for tasks that are none. */
	readonly suspectShare: number;
	/** Number of tasks that must be placed together. */
	readonly count: number;
	readonly reason: WaitReason;
};

type Demand = Omit<FailedDemand, 'reason'>;

/** Places the waiting tasks of steps; steps that ask for at least as much as one that found no place cost constant work. */
export class PlacementPass {
	static create(options: PlacementPassOptions): PlacementPass {
		return new PlacementPass(options);
	}

	readonly #options: PlacementPassOptions;
	readonly #candidates: PlanCandidate[];
	readonly #failedDemands: FailedDemand[] = [];
	readonly #unprovenSessions = new Map<WorkerSession, boolean>();
	/** Number of workers that may still be reserved for suspects that start alone. */
	#reservableWorkers: number;

	private constructor(options: PlacementPassOptions) {
		this.#options = options;
		// The only worker of a pool takes other tasks beside a suspect.
		const isOnly = options.candidates.length === 1;
		this.#candidates = options.candidates.map(candidate => ({...candidate, isReserved: candidate.isReserved && !isOnly}));
		this.#reservableWorkers = Math.max(1, Math.floor(options.candidates.length * reservableShare)) - this.#candidates.filter(({isReserved}) => isReserved).length;
	}

	/** Assigns the waiting tasks of a step for which there is a place; returns them. */
	placeStep(step: StepState): Task[] {
		const {now} = this.#options;
		const single = describeDemand(step.spec);
		const failure = this.#findFailure(single);
		step.waitReason = failure?.reason;
		step.suspectWaitReason = undefined;
		if (failure !== undefined) {
			return [];
		}

		const waiting = step.tasks.filter(task => task.phase === 'waiting' && task.notBefore <= now);
		const allowed = waiting.length === 0 ? [] : this.#listAllowed(waiting[0]!);
		if (step.spec.isGang) {
			return waiting.length === step.tasks.length ? this.#placeGang(step, waiting, allowed) : [];
		}

		return this.#placeTasks(step, waiting, allowed);
	}

	#placeTasks(step: StepState, waiting: readonly Task[], allowed: PlanCandidate[]): Task[] {
		const {occupancy} = step;
		const placed: Task[] = [];
		for (const task of waiting) {
			const isTested = isSuspect(task);
			const choice = isTested ? this.#placeSuspect(task, allowed, occupancy) : this.#placeOrdinary(task, allowed, occupancy);
			if (typeof choice !== 'string') {
				this.#assign(task, choice, task.run + 1, allowed);
				occupancy.set(choice.id, (occupancy.get(choice.id) ?? 0) + 1);
				placed.push(task);
			} else if (isTested) {
				step.suspectWaitReason = choice;
			} else {
				step.waitReason = choice;
				break;
			}
		}

		return placed;
	}

	/** Chooses the worker for a task that is no suspect, or tells why there is none. */
	#placeOrdinary({stepState}: Task, allowed: PlanCandidate[], occupancy: StepOccupancy): PlanCandidate | WaitReason {
		const choice = chooseWorker({step: stepState.spec, candidates: allowed, occupancy});
		return choice ?? this.#explainFailure(stepState, allowed, describeDemand(stepState.spec));
	}

	/** Chooses the worker on which a suspect is tested, or tells why there is none. */
	#placeSuspect(task: Task, allowed: PlanCandidate[], occupancy: StepOccupancy): PlanCandidate | WaitReason {
		const {now} = this.#options;
		const {spec} = task.stepState;
		const isAlone = isTestedAlone(task);
		const isSole = isAlone && now - task.releasedAt < maxSoleWaitMs;
		const suspectShare = isSuspectOverdue(task, now) ? 0 : computeSuspectShare(task);
		const demand = describeDemand(spec, {suspectShare: isSole ? soleShare : suspectShare});
		const failure = this.#findFailure(demand);
		if (failure !== undefined || (isAlone && this.#reservableWorkers <= 0)) {
			return failure?.reason ?? 'suspect';
		}

		const candidates = isSole ? allowed.filter(({session}) => !this.#hasUnprovenRuns(session)) : allowed;
		const choice = chooseWorker({
			step: spec, candidates, occupancy, isSuspect: true, suspectShare,
		});
		return choice ?? this.#explainFailure(task.stepState, allowed, demand);
	}

	/** Reports whether a worker has unproven runs, from the start of the pass on or by its assignments. */
	#hasUnprovenRuns(session: WorkerSession): boolean {
		const known = this.#unprovenSessions.get(session) ?? session.hasUnprovenRuns;
		this.#unprovenSessions.set(session, known);
		return known;
	}

	#placeGang(step: StepState, waiting: readonly Task[], allowed: PlanCandidate[]): Task[] {
		const {spec} = step;
		const demand = describeDemand(spec, {count: spec.count});
		const failure = this.#findFailure(demand);
		const plan = failure === undefined ? planGang(spec, allowed) : undefined;
		if (plan === undefined) {
			step.waitReason = failure?.reason ?? 'gang-no-room';
			this.#recordFailure(step, allowed, {...demand, reason: step.waitReason});
			return [];
		}

		const run = findMaximum(waiting.map(task => task.run), 0) + 1;
		for (const [index, task] of waiting.entries()) {
			this.#assign(task, plan[index]!, run, allowed);
		}

		return [...waiting];
	}

	/** Returns the candidates that the placement policy allows for a task's step; all of them without a policy. */
	#listAllowed(task: Task): PlanCandidate[] {
		return task.job.job.policy.advice === undefined ? this.#candidates : this.#options.advice.filterAllowed(task, this.#candidates);
	}

	#explainFailure(step: StepState, allowed: readonly PlanCandidate[], demand: Demand): WaitReason {
		const reason = this.#findReason(step, allowed, demand);
		this.#recordFailure(step, allowed, {...demand, reason});
		return reason;
	}

	#findReason({spec, occupancy}: StepState, allowed: readonly PlanCandidate[], {suspectShare}: Demand): WaitReason {
		if (allowed !== this.#candidates) {
			return 'no-ticket';
		}

		const areReserved = allowed.some(({isReserved}) => isReserved);
		if ((suspectShare > 0 || areReserved) && chooseWorker({step: spec, candidates: allowed.map(candidate => ({...candidate, isReserved: false})), occupancy}) !== undefined) {
			return 'suspect';
		}

		return allowed.some(candidate => isEligible(candidate, spec)) ? 'no-room' : 'no-matching-worker';
	}

	#findFailure({requirement, resources, suspectShare, count}: Demand): FailedDemand | undefined {
		return this.#failedDemands.find(failed => failed.requirement === requirement && isWithin(failed.resources, resources)
			&& failed.suspectShare <= suspectShare && failed.count <= count);
	}

	/** Remembers a failure that holds for other steps too: one that depends on neither the step's other tasks nor its tickets. */
	#recordFailure({spec}: StepState, allowed: readonly PlanCandidate[], failed: FailedDemand): void {
		if (spec.antiAffinity === undefined && allowed === this.#candidates) {
			this.#failedDemands.push(failed);
		}
	}

	#assign(task: Task, {id, session}: PlanCandidate, run: number, allowed: PlanCandidate[]): void {
		task.run = run;
		task.phase = 'recorded';
		task.isConfirmed = false;
		task.isListed = false;
		task.incarnation = {id, startedAt: session.record.startedAt};
		session.addTask(task);
		this.#unprovenSessions.set(session, true);
		for (const candidates of new Set([this.#candidates, allowed])) {
			const index = candidates.findIndex(candidate => candidate.id === id);
			const candidate = candidates[index]!;
			const free = addResources(candidate.free, getReservation(task.spec), -1);
			const suspectLoad = candidate.suspectLoad + (isSuspect(task) ? computeSuspectShare(task) : 0);
			candidates[index] = {
				...candidate, free, suspectLoad, isReserved: candidate.isReserved || (isTestedAlone(task) && this.#candidates.length > 1),
			};
		}

		if (isTestedAlone(task)) {
			this.#reservableWorkers--;
		}
	}
}

function describeDemand(spec: StepSpec, {suspectShare = 0, count = 1}: Partial<Pick<Demand, 'suspectShare' | 'count'>> = {}): Demand {
	return {
		requirement: spec.requirement, resources: getReservation(spec), suspectShare, count,
	};
}
