/**
 * One pass over the steps of a pool that are ready, which places their waiting tasks on workers.
 */
import {findMaximum, type AccountName} from '@tamarackwind/core';
import {
	addResources, chooseWorker, getReservation, hasRoom, planGang, type Candidate, type Resources, type StepOccupancy, type StepSpec,
} from '@tamarackwind/scheduling';
import {type AccountDemand, type PoolAccounts} from './account-ledgers.js';
import {type StepState, type Task} from './tasks.js';
import {type AdviceCache} from './advice-caches.js';
import {CandidateGroups, type CandidateGroup} from './candidate-groups.js';
import {
	computeSuspectShare, isSuspect, isSuspectOverdue, isTestedAlone,
} from './crash-budgets.js';
import {Demand} from './demands.js';
import {FailedDemands} from './failed-demands.js';
import {type WaitReason} from './wait-reasons.js';
import {type WorkerSession} from './worker-sessions.js';

/** A worker that is considered, with its session. */
export type PlanCandidate = Candidate & {readonly session: WorkerSession};

/** What the steps ask for that wait in one queue. */
export type WaitingDemand = AccountDemand & {readonly demand: Demand};

export type PlacementPassOptions = {
	readonly candidates: readonly PlanCandidate[];
	readonly advice: AdviceCache;
	/** Caps of the accounts; nothing is capped without. */
	readonly accounts?: PoolAccounts;
	/** Time of the pass, on the monotonic clock. */
	readonly now: number;
	/** Reports whether the pass has used up its time, so that the rest of the work is left to the next one. */
	readonly isOverBudget: () => boolean;
};

/** A candidate whose properties change with the assignments of the pass. */
type PassCandidate = {-readonly [Key in keyof PlanCandidate]: PlanCandidate[Key]};

/** Largest share of the workers that are reserved for suspects which start alone, so that other tasks have the rest. */
const reservableShare = 0.5;

/** Wait after which a suspect that starts alone shares its worker with runs that are not proven, in milliseconds. */
const maxSoleWaitMs = 1000;

/** No places of a step's other tasks. */
const noOccupancy: StepOccupancy = new Map<string, number>();

/** Share in the demand of a suspect that shares its worker with no unproven run: more than one that starts alone asks for. */
const soleShare = 2;

/** Places the waiting tasks of steps; steps that ask for at least as much as one that found no place cost constant work. */
export class PlacementPass {
	static create(options: PlacementPassOptions): PlacementPass {
		return new PlacementPass(options);
	}

	readonly #options: PlacementPassOptions;
	readonly #candidates: readonly PassCandidate[];
	readonly #groups: CandidateGroups<PassCandidate>;
	readonly #failedDemands = FailedDemands.create();
	/** Caps at the start of the pass. */
	readonly #caps: ReadonlyMap<AccountName, Resources>;
	readonly #unprovenSessions = new Map<WorkerSession, boolean>();
	/** Number of workers that may still be reserved for suspects that start alone. */
	#reservableWorkers: number;
	/** Number of starts that may still be assigned. */
	#startSlots: number;
	#isCut = false;

	private constructor(options: PlacementPassOptions) {
		this.#options = options;
		this.#caps = options.accounts?.caps ?? new Map<AccountName, Resources>();
		// The only worker of a pool takes other tasks beside a suspect.
		const isOnly = options.candidates.length === 1;
		this.#candidates = options.candidates.map(candidate => ({...candidate, isReserved: candidate.isReserved && !isOnly}));
		this.#groups = CandidateGroups.create(this.#candidates);
		this.#startSlots = this.#candidates.reduce((sum, {startSlots = Number.POSITIVE_INFINITY}) => sum + startSlots, 0);
		this.#reservableWorkers = Math.max(1, Math.floor(options.candidates.length * reservableShare)) - this.#candidates.filter(({isReserved}) => isReserved).length;
	}

	/** Whether the pass ran out of time before all tasks of its last step were tried. */
	get isCut(): boolean {
		return this.#isCut;
	}

	/** Assigns the waiting tasks of a step for which there is a place, until the turn of its account is over; returns them. */
	placeStep(step: StepState, isTurnOver?: () => boolean): Task[] {
		const {now} = this.#options;
		step.waitReason = this.explainWait(step);
		step.suspectWaitReason = undefined;
		if (step.waitReason !== undefined) {
			return [];
		}

		const waiting = step.tasks.filter(task => task.phase === 'waiting' && task.notBefore <= now);
		const allowed = waiting.length === 0 ? [] : this.#listAllowed(waiting[0]!);
		if (step.spec.isGang) {
			return waiting.length === step.tasks.length ? this.#placeGang(step, waiting, allowed) : [];
		}

		return this.#placeTasks(step, waiting, {allowed, isTurnOver});
	}

	/** Tells why no step like the given one can have a place now, if that is known without looking at each worker. */
	explainWait(waiting: WaitingDemand): WaitReason | undefined {
		const {account, spec, demand} = waiting;
		const reason = this.explainDemand(demand);
		const {accounts} = this.#options;
		if (account === undefined || accounts === undefined || !this.#caps.has(account)) {
			return reason;
		}

		// A step for which even the end of its account's tasks makes no room claims nothing of the cap, which it could not use.
		const isClaiming = reason === undefined || this.#groups.get(demand.requirement).hasRoomAfter(demand.resources, accounts.getEndingUse(account));
		return accounts.explainStart(account, spec, isClaiming) ?? reason;
	}

	/** Tells why the cap of an account forbids a start; `undefined` if it does not. */
	#explainCap({account, spec}: AccountDemand): WaitReason | undefined {
		return account === undefined || !this.#caps.has(account) ? undefined : this.#options.accounts?.explainStart(account, spec);
	}

	/** Tells why a demand can have no place now, if that is known without looking at each worker. */
	explainDemand(demand: Demand): WaitReason | undefined {
		const {requirement, resources, count} = demand;
		const group = this.#groups.get(requirement);
		if (!group.isEligible(resources)) {
			return 'no-matching-worker';
		}

		if (!group.hasPossibleRoom(resources)) {
			return count > 1 ? 'gang-no-room' : 'no-room';
		}

		if (this.#startSlots <= 0 && count === 1) {
			return 'start-queued';
		}

		return this.#failedDemands.getReason(demand);
	}

	#placeTasks(step: StepState, waiting: readonly Task[], {allowed, isTurnOver = () => false}: {readonly allowed: readonly PassCandidate[]; readonly isTurnOver?: () => boolean}): Task[] {
		const occupancy = isSpread(step.spec) ? step.occupancy : new Map<string, number>();
		const placed: Task[] = [];
		for (const [index, task] of waiting.entries()) {
			if (index > 0 && this.#options.isOverBudget()) {
				this.#isCut = true;
				break;
			}

			if (placed.length > 0 && isTurnOver()) {
				break;
			}

			step.waitReason = this.#explainCap(step);
			if (step.waitReason !== undefined) {
				break;
			}

			const isTested = isSuspect(task);
			const choice = isTested ? this.#placeSuspect(task, allowed, occupancy) : this.#placeOrdinary(task, allowed, occupancy);
			if (typeof choice !== 'string') {
				this.#assign(task, choice, task.run + 1);
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
	#placeOrdinary({stepState}: Task, allowed: readonly PassCandidate[], occupancy: StepOccupancy): PassCandidate | WaitReason {
		const choice = chooseWorker({step: stepState.spec, candidates: allowed, occupancy});
		return choice ?? this.#explainFailure(stepState.spec, allowed, stepState.demand, occupancy);
	}

	/** Chooses the worker on which a suspect is tested, or tells why there is none. */
	#placeSuspect(task: Task, allowed: readonly PassCandidate[], occupancy: StepOccupancy): PassCandidate | WaitReason {
		const {now} = this.#options;
		const {spec} = task.stepState;
		const isAlone = isTestedAlone(task);
		const isSole = isAlone && now - task.releasedAt < maxSoleWaitMs;
		const suspectShare = isSuspectOverdue(task, now) ? 0 : computeSuspectShare(task);
		const demand = Demand.create(spec, {suspectShare: isSole ? soleShare : suspectShare});
		const failure = this.#failedDemands.getReason(demand);
		if (failure !== undefined || (isAlone && this.#reservableWorkers <= 0)) {
			return failure ?? 'suspect';
		}

		const candidates = isSole ? allowed.filter(({session}) => !this.#hasUnprovenRuns(session)) : allowed;
		const choice = chooseWorker({
			step: spec, candidates, occupancy, isSuspect: true, suspectShare,
		});
		return choice ?? this.#explainFailure(spec, allowed, demand, occupancy);
	}

	/** Reports whether a worker has unproven runs, from the start of the pass on or by its assignments. */
	#hasUnprovenRuns(session: WorkerSession): boolean {
		const known = this.#unprovenSessions.get(session) ?? session.hasUnprovenRuns;
		this.#unprovenSessions.set(session, known);
		return known;
	}

	#placeGang(step: StepState, waiting: readonly Task[], allowed: readonly PassCandidate[]): Task[] {
		const plan = planGang(step.spec, allowed);
		if (plan === undefined) {
			step.waitReason = 'gang-no-room';
			this.#recordFailure(step.spec, allowed, step.demand, step.waitReason);
			return [];
		}

		const run = findMaximum(waiting.map(task => task.run), 0) + 1;
		for (const [index, task] of waiting.entries()) {
			this.#assign(task, plan[index]!, run);
		}

		return [...waiting];
	}

	/** Returns the candidates that the placement policy allows for a task's step; all of them without a policy. */
	#listAllowed(task: Task): readonly PassCandidate[] {
		const {spec, stepState} = task;
		if (task.job.job.policy.advice === undefined) {
			return this.#groups.get(spec.requirement).candidates;
		}

		const occupancy = spec.antiAffinity === undefined ? noOccupancy : stepState.occupancy;
		return this.#options.advice.filterAllowed(task, this.#candidates, {
			hasRoom: candidate => !candidate.isReserved && candidate.startSlots !== 0 && hasRoom(candidate, spec, occupancy),
			workers: spec.isGang ? spec.count : 1,
		});
	}

	#explainFailure(spec: StepSpec, allowed: readonly PassCandidate[], demand: Demand, occupancy: StepOccupancy): WaitReason {
		const group = this.#groups.get(spec.requirement);
		group.updateMaxFree();
		const reason = this.#findReason(spec, group, {allowed, demand, occupancy});
		this.#recordFailure(spec, allowed, demand, reason);
		return reason;
	}

	#findReason(spec: StepSpec, group: CandidateGroup<PassCandidate>, {allowed, demand, occupancy}: {
		readonly allowed: readonly PassCandidate[];
		readonly demand: Demand;
		readonly occupancy: StepOccupancy;
	}): WaitReason {
		const withRoom = allowed.filter(candidate => hasRoom(candidate, spec, occupancy));
		if (withRoom.length === 0) {
			return allowed !== group.candidates && allowed.length === 0 ? 'no-ticket' : 'no-room';
		}

		return withRoom.every(({startSlots}) => startSlots === 0) ? 'start-queued' : 'suspect';
	}

	/** Remembers a failure that holds for other steps too: one that depends on neither the step's other tasks nor its tickets. */
	#recordFailure(spec: StepSpec, allowed: readonly PassCandidate[], demand: Demand, reason: WaitReason): void {
		if (spec.antiAffinity === undefined && allowed === this.#groups.get(spec.requirement).candidates) {
			this.#failedDemands.add(demand, reason);
		}
	}

	#assign(task: Task, candidate: PassCandidate, run: number): void {
		const {id, session} = candidate;
		task.run = run;
		task.phase = 'recorded';
		task.isConfirmed = false;
		task.isListed = false;
		task.isStartQueued = false;
		task.incarnation = {id, startedAt: session.record.startedAt};
		session.addTask(task);
		this.#unprovenSessions.set(session, true);
		candidate.free = addResources(candidate.free, getReservation(task.spec), -1);
		if (candidate.startSlots !== undefined) {
			candidate.startSlots = Math.max(0, candidate.startSlots - 1);
			this.#startSlots--;
		}

		candidate.suspectLoad += isSuspect(task) ? computeSuspectShare(task) : 0;
		candidate.isReserved ||= isTestedAlone(task) && this.#candidates.length > 1;
		if (isTestedAlone(task)) {
			this.#reservableWorkers--;
		}
	}
}

/** Reports whether the places of a step's other tasks matter for the choice of a worker. */
function isSpread({isLongRunning, antiAffinity}: StepSpec): boolean {
	return isLongRunning || antiAffinity !== undefined;
}
