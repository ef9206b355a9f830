/**
 * Plans the work of one pool: runs the planning passes, which assign waiting tasks to workers, and observes what waits.
 */
import {
	appendAll, readErrorMessage, waitAtMost, type Clock, type JobId, type ServiceName, type VmId,
} from '@tamarackwind/core';
import {addResources, noResources, type Resources} from '@tamarackwind/scheduling';
import {type AccountLedger, type PoolAccounts} from './account-ledgers.js';
import {type ActiveJob} from './active-jobs.js';
import {type AdviceCache} from './advice-caches.js';
import {logCapWait, type ChargeMonitor} from './charge-monitors.js';
import {type CrashHistory} from './crash-histories.js';
import {type LoadMeter} from './load-meters.js';
import {type OverloadTerm} from './overload-terms.js';
import {PlacementPass, type PlanCandidate} from './placement-passes.js';
import {PoolBacklog} from './pool-backlogs.js';
import {computeWorkerCapacity} from './pool-capacities.js';
import {type FleetCapacity} from './fleet-capacities.js';
import {type JobLoad} from './pool-loads.js';
import {type RateLimitedLog} from './rate-limited-logs.js';
import {Signal} from './signals.js';
import {type Task} from './tasks.js';
import {WaitMonitor} from './wait-monitors.js';
import {WaitingSteps} from './waiting-steps.js';
import {AvailabilityMonitor} from './worker-availability.js';
import {type WorkerSession} from './worker-sessions.js';

/** What the planner takes over from the scheduler of its pool as it is. */
export type PlanningEnvironment = {
	readonly clock: Clock;
	readonly log: RateLimitedLog;
	readonly meter: LoadMeter;
	readonly service: ServiceName;
	/** Use and caps of the accounts over all pools. */
	readonly ledger: AccountLedger;
	/** Reports whether orders may be sent now. */
	readonly canOrder: () => boolean;
	/** Overload of all pools; without it jobs are neither deferred nor refused. */
	readonly overload?: OverloadTerm;
	/** Returns the capacity of the fleet; `undefined` while it is not known. */
	readonly getFleet?: () => FleetCapacity | undefined;
};

export type PoolPlannerOptions = PlanningEnvironment & {
	readonly advice: AdviceCache;
	readonly crashes: CrashHistory;
	readonly jobs: ReadonlyMap<JobId, ActiveJob>;
	readonly sessions: ReadonlyMap<VmId, WorkerSession>;
	/** Handles time-driven changes; called every 100 ms at least, before a pass. */
	readonly handleTimeouts: () => void;
	/** Resolves to whether the progress of the jobs is durable. */
	readonly record: (jobs: ReadonlySet<ActiveJob>) => Promise<boolean>;
	/** Starts the run of a task whose assignment is durable. */
	readonly start: (task: Task, run: number) => void;
};

/** Demand of a pool's jobs and capacity of its workers; CPU is in thousandths of a core. */
export type PoolLoad = JobLoad & {
	/** CPU of the workers that accept new work. */
	readonly cpu: number;
};

/** Maximum interval between planning passes, in milliseconds: bounds the delay of time-driven work such as lease expiry and due times. */
const maxPlanIntervalMs = 100;
/** Minimum interval between checks of all runs and leases for time-driven changes, in milliseconds: the shortest time that they judge is 30 times longer. */
const timeoutIntervalMs = 100;
/** Minimum interval between planning passes, in milliseconds: batches run ends and submissions. */
const minPlanIntervalMs = 15;
/** Time after which a planning pass stops, in milliseconds; the next one continues with the jobs that are left. */
const maxPassMs = 4;
/** Minimum time in which a pass places tasks, in milliseconds, so that it makes progress however long its preparation took. */
const minPlacementMs = 1;
/** Time after which the observation of waiting tasks stops, in milliseconds; it continues after the next pass. */
const maxObservationMs = 2;
/** Pause before a pass that continues the last one, in milliseconds: leaves the event loop to other work. */
const continuationDelayMs = 2;

/** Plans the work of one pool while its entry holds the scheduler lease. */
export class PoolPlanner {
	static create(options: PoolPlannerOptions): PoolPlanner {
		return new PoolPlanner(options);
	}

	/** Observes the tasks that wait. */
	readonly waits: WaitMonitor;
	/** Observes the workers that get no new work. */
	readonly availability: AvailabilityMonitor;
	/** Demand and order of the pool's jobs. */
	readonly backlog: PoolBacklog;
	readonly #options: PoolPlannerOptions;
	readonly #wake = Signal.create();
	readonly #waitingSteps = WaitingSteps.create();
	readonly #accounts: PoolAccounts;
	#timeoutsHandledAt = Number.NEGATIVE_INFINITY;
	/** Whether the last planning pass ran out of time. */
	#isPassCut = false;
	#isClosed = false;

	private constructor(options: PoolPlannerOptions) {
		this.#options = options;
		this.waits = WaitMonitor.create(options);
		this.availability = AvailabilityMonitor.create(options);
		this.backlog = PoolBacklog.create(options);
		this.#accounts = options.ledger.openPool(options.service, () => {
			this.wake();
		});
	}

	/** Begins to plan, once the stored jobs of the pool are known. */
	start(): void {
		this.#accounts.markLoaded();
		void this.#run();
	}

	/** Makes the next pass begin soon. */
	wake(): void {
		this.#wake.set();
	}

	/** What the accounts are charged for in the pool. */
	get charges(): ChargeMonitor {
		return this.#accounts.charges;
	}

	/** Takes up a job, which may have ended already. */
	add(active: ActiveJob): void {
		this.#accounts.add(active);
		if (!active.isTerminal) {
			this.#waitingSteps.add(active);
			this.backlog.add(active);
		}
	}

	/** Drops a job that has ended. */
	remove(active: ActiveJob): void {
		this.#waitingSteps.remove(active);
		this.backlog.remove(active);
	}

	/** Counts, by queue, the submitted jobs of which no task is known to have started. */
	countWaitingJobs(): Map<string, number> {
		return this.backlog.countWaiting();
	}

	/** Computes the demand of the pool's jobs, without what the caps of their accounts keep from starting, and the available CPU. */
	computeLoad(): PoolLoad {
		const {cpu} = computeWorkerCapacity(this.#options.sessions.values());
		const load = this.backlog.compute();
		return this.#accounts.caps.size === 0 ? {...load, cpu} : {...load, waitingCpu: this.#computeStartableCpu(), cpu};
	}

	#computeStartableCpu(): number {
		let sum = 0;
		for (const [account, waitingCpu] of this.backlog.computeWaitingCpu()) {
			sum += this.#accounts.trimWaitingCpu(account, waitingCpu);
		}

		return sum;
	}

	/** Stops planning. */
	close(): void {
		this.#isClosed = true;
		this.#accounts.close();
		this.#wake.set();
	}

	async #run(): Promise<void> {
		const {clock, log} = this.#options;
		while (!this.#isClosed) {
			if (this.#isPassCut) {
				await clock.sleep(continuationDelayMs);
			} else {
				await waitAtMost(clock, this.#wake.wait(), maxPlanIntervalMs);
				await clock.sleep(minPlanIntervalMs);
			}

			try {
				this.#options.meter.track('plan', () => {
					this.#handleTimeoutsIfDue();
					if (this.#options.canOrder() && !this.#isClosed) {
						this.#plan();
					}
				});
				this.#observeWaits();
			} catch (error) {
				log.warn('planning failed', {service: this.#options.service, error: readErrorMessage(error), stack: error instanceof Error ? error.stack : undefined});
			}
		}
	}

	/** Observes the tasks that wait and the workers that get no work; a failure is logged, since nothing depends on the observation. */
	#observeWaits(): void {
		const {clock, log, meter, jobs, sessions} = this.#options;
		try {
			meter.track('observe waits', () => {
				const now = clock.readMonotonic();
				this.availability.observe(sessions.values(), now);
				this.#observeCharges(now);
				this.waits.observe({
					jobs: jobs.values(), now, readUse: () => ({...this.computeLoad(), unavailableCpu: this.availability.unavailableCpu}), isOverBudget: () => clock.readMonotonic() - now >= maxObservationMs,
				});
			});
		} catch (error) {
			log.warn('waiting tasks not observed', {service: this.#options.service, error: readErrorMessage(error)});
		}
	}

	/** Observes what the accounts are charged for, and logs those whose caps keep tasks waiting. */
	#observeCharges(now: number): void {
		const {ledger, log, service, sessions} = this.#options;
		const waiting = this.#accounts.charges.observe({now, isInTouch: ({incarnation}) => incarnation !== undefined && (sessions.get(incarnation.id)?.isReachable ?? false)});
		for (const account of waiting) {
			const cap = ledger.getCap(account);
			if (cap !== undefined && ledger.isComplete) {
				logCapWait(log, {
					service, account, cap, charged: ledger.getUse(account), byService: ledger.listCharges(account),
				});
			}
		}
	}

	#handleTimeoutsIfDue(): void {
		const now = this.#options.clock.readMonotonic();
		if (now - this.#timeoutsHandledAt >= timeoutIntervalMs) {
			this.#timeoutsHandledAt = now;
			this.#options.handleTimeouts();
		}
	}

	#plan(): void {
		const {clock, advice} = this.#options;
		this.#isPassCut = false;
		this.backlog.update(() => this.computeLoad().cpu);
		const now = clock.readMonotonic();
		const isUpdateOver = () => clock.readMonotonic() - now >= maxPassMs / 2;
		if (!this.#waitingSteps.update(clock.readWall(), isUpdateOver)) {
			this.#isPassCut = this.#waitingSteps.hasChanges;
			return;
		}

		const candidates = this.#listCandidates(now);
		if (candidates.length === 0) {
			return;
		}

		const endsAt = Math.max(now + maxPassMs, clock.readMonotonic() + minPlacementMs);
		const isOverBudget = () => clock.readMonotonic() >= endsAt;
		const pass = PlacementPass.create({
			candidates, advice, accounts: this.#accounts, now, isOverBudget,
		});
		const placed: Task[] = [];
		const shares = this.#accounts.openShares(sumCapacities(candidates));
		const isComplete = this.#waitingSteps.visit({
			now,
			isOverBudget,
			explain: waiting => pass.explainWait(waiting),
			shares,
			place: (step, isTurnOver) => {
				let isOver = false;
				const tasks = pass.placeStep(step, () => {
					isOver = isTurnOver();
					return isOver;
				});
				appendAll(placed, tasks);
				return this.backlog.noteStart(step.job, tasks) || isOver || (pass.isCut && tasks.length > 0);
			},
		});
		this.#isPassCut = !isComplete || this.#waitingSteps.hasChanges;
		if (placed.length > 0) {
			void this.#startRuns(placed);
		}
	}

	#listCandidates(now: number): PlanCandidate[] {
		const {sessions, crashes} = this.#options;
		return [...sessions.values()].filter(session => session.isSchedulable).map(session => {
			const candidate = session.describeCandidate(now);
			return {...candidate, suspicion: Math.max(candidate.suspicion, crashes.computeSuspicion(candidate.id, now))};
		});
	}

	async #startRuns(tasks: readonly Task[]): Promise<void> {
		const runs = tasks.map(task => ({task, run: task.run}));
		const jobs = new Set(tasks.map(task => task.job));
		for (const job of jobs) {
			job.updateState();
		}

		if (!await this.#options.record(jobs)) {
			return;
		}

		for (const {task, run} of runs) {
			this.#options.start(task, run);
		}
	}
}

/** Sums up the capacities of workers. */
function sumCapacities(candidates: readonly PlanCandidate[]): Resources {
	let sum = noResources;
	for (const {capacity} of candidates) {
		sum = addResources(sum, capacity);
	}

	return sum;
}
