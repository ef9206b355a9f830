/**
 * One pass over the steps of a pool that are ready, which places their waiting tasks on workers.
 */
import {
	addResources, chooseWorker, getReservation, isEligible, isWithin, planGang, type Candidate, type Resources, type StepSpec,
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
		const {spec, occupancy} = step;
		const placed: Task[] = [];
		for (const task of waiting) {
			const suspectShare = this.#computeShare(task);
			const demand = describeDemand(spec, {suspectShare});
			const isTested = isSuspect(task);
			const failure = isTested ? this.#findFailure(demand) : undefined;
			const isHeldBack = failure !== undefined || (isTestedAlone(task) && this.#reservableWorkers <= 0);
			const choice = isHeldBack
				? undefined
				: chooseWorker({
					step: spec, candidates: this.#listTestable(task, allowed), occupancy, isSuspect: isTested, suspectShare,
				});
			if (choice !== undefined) {
				this.#assign(task, choice, task.run + 1, allowed);
				occupancy.set(choice.id, (occupancy.get(choice.id) ?? 0) + 1);
				placed.push(task);
			} else if (isTested) {
				step.suspectWaitReason = failure?.reason ?? this.#explainFailure(step, allowed, demand);
			} else {
				step.waitReason = this.#explainFailure(step, allowed, demand);
				break;
			}
		}

		return placed;
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

		const run = Math.max(...waiting.map(task => task.run)) + 1;
		for (const [index, task] of waiting.entries()) {
			this.#assign(task, plan[index]!, run, allowed);
		}

		return [...waiting];
	}

	/** Returns the candidates that the placement policy allows for a task's step; all of them without a policy. */
	#listAllowed(task: Task): PlanCandidate[] {
		return task.job.job.policy.advice === undefined ? this.#candidates : this.#options.advice.filterAllowed(task, this.#candidates);
	}

	/** Lists the candidates on which a task can be tested: for one that starts alone, those without unproven runs, until it has waited for too long. */
	#listTestable(task: Task, allowed: PlanCandidate[]): PlanCandidate[] {
		const isSole = isTestedAlone(task) && this.#options.now - task.releasedAt < maxSoleWaitMs;
		return isSole ? allowed.filter(({session}) => !session.hasUnprovenRuns) : allowed;
	}

	#computeShare(task: Task): number {
		return isSuspect(task) && !isSuspectOverdue(task, this.#options.now) ? computeSuspectShare(task) : 0;
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
		if (spec.antiAffinity === undefined && allowed === this.#candidates && failed.suspectShare < 1) {
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
