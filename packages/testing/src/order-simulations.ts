/**
 * Simulates one pool under bursts of jobs, to compare orders of jobs. The pool is one number of cores without workers, and its tasks run to
 * their end; planning passes, plans of deferred jobs and estimates come at the intervals of the real scheduler.
 */
import {SeededRandom, type RandomSource} from '@tamarackwind/core';
import {
	compareRanks, computeCriticalPathMs, computeObjectiveMs, computeTimeliness, DeferredJobs, estimatePool, estimateStartMs, findRefusal, JobOrder, lateFactor, type BacklogJob, type OrderedJob, type PlannedJob, type PoolEstimate, type QueuePolicy, type Rank, type RankPeriod, type StepSpec,
} from '@tamarackwind/scheduling';
import TinyQueue from 'tinyqueue';
import {computeQuantile} from './slot-simulations.js';
import {createStep} from './system-histories.js';

/** A kind of short jobs; each has steps of 8 tasks, one after the other. */
export type JobKind = {
	readonly name: string;
	/** Duration of a task, in milliseconds. */
	readonly taskMs: number;
	/** CPU of a task, in thousandths of a core. */
	readonly cpu: number;
	/** Share of the jobs with two steps; the others have one. */
	readonly twoStepShare: number;
};

/** The CPU of a task, which the page leaves open, is taken as one core. Short kinds of docs/design/accounts-overload-limits.md: 0.64 to 2.1 s of work per task, 1.6 to 2 steps. */
export const shortKinds: readonly JobKind[] = [
	{
		name: 'A', taskMs: 640, cpu: 1000, twoStepShare: 1,
	}, {
		name: 'B', taskMs: 1000, cpu: 1000, twoStepShare: 0.8,
	}, {
		name: 'C', taskMs: 1500, cpu: 1000, twoStepShare: 0.7,
	}, {
		name: 'D', taskMs: 2100, cpu: 1000, twoStepShare: 0.6,
	},
];

const tasksPerStep = 8;
const policy: QueuePolicy = {
	priority: 0, maxAttempts: 3, slackFactor: 1.6, targetLatencyMs: 600,
};
const vmCpu = 32_000;
/** A fifth of the workers, as there are five pools. */
const poolCpu = 49 * vmCpu;
const burstMs = 5000;
/** Time between the beginnings of two bursts of a queue, in milliseconds: four queues take turns. */
const periodMs = 20_000;
/** Load between bursts as a share of that within them: a twentieth of the mean to five times the mean. */
const troughShare = 0.01;
const passMs = 15;
const planMs = 100;
/** Interval and delay at which entries learn of the estimate, in milliseconds. */
const statusMs = 600;
const statusDelayMs = 100;
/** Mean part of a running task that is left. */
const runningShare = 0.5;
/** Part of the pool that four kinds of long-running jobs take. */
const longRunningShare = 0.2;

export type OrderScenario = {
	readonly seed: number;
	/** Demand within a burst as a multiple of what the pool serves. */
	readonly burstLoad: number;
	readonly cycles: number;
	readonly kinds?: readonly JobKind[];
	/** Half of the range of worker speeds around 1. */
	readonly speedSpread?: number;
	/** Whether jobs are refused by the estimate. */
	readonly isRefusing?: boolean;
	/** Number of jobs that may overtake a deferred one. */
	readonly maxOvertakes?: number;
};

type TaskEnd = {readonly at: number; readonly job: SimulatedJob};

/** One job of an order simulation. */
export class SimulatedJob {
	readonly policy = policy;
	readonly priority = policy.priority;
	readonly criticalPathMs: number;
	readonly deadline: number;
	isKept = false;
	isDeferred = false;
	remainingMs: number;
	firstStartAt: number | undefined;
	endedAt: number | undefined;
	isRefused = false;
	/** Estimate of its end at its arrival. */
	estimatedEndAt: number | undefined;
	#step = 0;
	#waiting: number;
	#running = 0;

	constructor(readonly id: string, readonly kind: JobKind, readonly steps: readonly StepSpec[], readonly submittedAt: number) {
		this.criticalPathMs = computeCriticalPathMs(steps, step => step.estimatedMs);
		this.remainingMs = this.criticalPathMs;
		this.deadline = submittedAt + computeObjectiveMs(this);
		this.#waiting = steps[0]!.count;
	}

	get isLongRunning(): boolean {
		return false;
	}

	get objectiveMs(): number {
		return this.deadline - this.submittedAt;
	}

	get hasWaitingTasks(): boolean {
		return this.#waiting > 0;
	}

	/** Critical path of the remaining work, of which a step without waiting tasks counts half. */
	get plannedMs(): number {
		return computeCriticalPathMs(this.steps, (step, index) => {
			const isRunning = index === this.#step && this.#waiting === 0;
			return index < this.#step ? 0 : step.estimatedMs * (isRunning ? runningShare : 1);
		});
	}

	/** Work of the waiting tasks of the current step. */
	get openWork(): number {
		const step = this.steps[this.#step];
		return step === undefined ? 0 : this.#waiting * step.resources.cpu * step.estimatedMs;
	}

	/** Work of all waiting tasks. */
	get waitingWork(): number {
		let work = this.openWork;
		for (const {resources, estimatedMs, count} of this.steps.slice(this.#step + 1)) {
			work += count * resources.cpu * estimatedMs;
		}

		return work;
	}

	get remainingWork(): number {
		const step = this.steps[this.#step];
		return this.waitingWork + (step === undefined ? 0 : this.#running * step.resources.cpu * step.estimatedMs * runningShare);
	}

	get currentStep(): StepSpec {
		return this.steps[this.#step]!;
	}

	startTask(now: number): void {
		this.firstStartAt ??= now;
		this.#waiting--;
		this.#running++;
	}

	endTask(now: number): void {
		this.#running--;
		if (this.#running === 0 && this.#waiting === 0) {
			this.#step++;
			this.#waiting = this.steps[this.#step]?.count ?? 0;
			this.remainingMs = computeCriticalPathMs(this.steps, (step, index) => index < this.#step ? 0 : step.estimatedMs);
			if (this.#step === this.steps.length) {
				this.endedAt = now;
			}
		}
	}
}

/** The order of deadlines alone: a job that can't be in time any more keeps its place. */
export class EarliestDeadlineOrder extends JobOrder {
	override readonly latePosition = 'deadline';
	override readonly isDeferring = false;

	override rank(job: OrderedJob): RankPeriod {
		return createPlainPeriod(job.submittedAt + computeObjectiveMs(job));
	}

	override chooseDeferred<T extends PlannedJob>(): Set<T> {
		return new Set();
	}
}

/** The order of remaining work, whatever the deadlines. */
export class ShortestWorkOrder extends JobOrder {
	override readonly latePosition = 'deadline';
	override readonly isDeferring = false;

	override rank(job: OrderedJob): RankPeriod {
		return createPlainPeriod(job.remainingWork);
	}

	override chooseDeferred<T extends PlannedJob>(): Set<T> {
		return new Set();
	}
}

/** The order of the time that a job can still wait. */
export class LeastSlackOrder extends JobOrder {
	override readonly latePosition = 'deadline';
	override readonly isDeferring = false;

	override rank(job: OrderedJob): RankPeriod {
		return createPlainPeriod(job.submittedAt + computeObjectiveMs(job) - job.remainingMs);
	}

	override chooseDeferred<T extends PlannedJob>(): Set<T> {
		return new Set();
	}
}

function createPlainPeriod(position: number): RankPeriod {
	return {rank: [0, position], until: Number.POSITIVE_INFINITY};
}

/** Generates the jobs of bursts as a Poisson process; each kind asks for the same part of the work. */
export function generateJobs(random: RandomSource, {burstLoad, cycles, kinds = shortKinds}: Pick<OrderScenario, 'burstLoad' | 'cycles' | 'kinds'>): SimulatedJob[] {
	const jobs: SimulatedJob[] = [];
	for (const kind of kinds) {
		const workPerJob = tasksPerStep * kind.cpu * kind.taskMs * (1 + kind.twoStepShare);
		const jobsPerMs = (burstLoad * poolCpu * (1 - longRunningShare)) / kinds.length / workPerJob;
		for (let at = 0; at < cycles * periodMs;) {
			at += -Math.log(1 - random.readFraction()) / jobsPerMs;
			if (at % periodMs < burstMs || random.readFraction() < troughShare) {
				const step = createStep({count: tasksPerStep, resources: {cpu: kind.cpu, memory: 10, gpu: 0}, estimatedMs: kind.taskMs});
				const steps = random.readFraction() < kind.twoStepShare ? [step, {...step, after: [0]}] : [step];
				jobs.push(new SimulatedJob(random.createToken().slice(0, 16), kind, steps, at));
			}
		}
	}

	return jobs.toSorted((a, b) => a.submittedAt - b.submittedAt);
}

/** One pool with an order. */
class PoolSimulation {
	readonly #active = new Set<SimulatedJob>();
	readonly #ends = new TinyQueue<TaskEnd>([], (a, b) => a.at - b.at);
	readonly #deferred: DeferredJobs<SimulatedJob>;
	readonly #cpu = poolCpu * (1 - longRunningShare);
	readonly #published: Array<{readonly estimate: PoolEstimate | undefined; readonly at: number}> = [];
	#freeCpu = this.#cpu;
	#plannedAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly order: JobOrder, private readonly scenario: OrderScenario, private readonly random: RandomSource) {
		this.#deferred = DeferredJobs.create(scenario.maxOvertakes);
	}

	run(jobs: readonly SimulatedJob[]): void {
		let next = 0;
		for (let now = 0; next < jobs.length || this.#active.size > 0; now += passMs) {
			for (; jobs[next] !== undefined && jobs[next]!.submittedAt <= now; next++) {
				this.#accept(jobs[next]!, now);
			}

			while (this.#ends.peek() !== undefined && this.#ends.peek()!.at <= now) {
				this.#endTask(this.#ends.pop()!);
			}

			if (now - this.#plannedAt >= planMs) {
				this.#plannedAt = now;
				this.#planDeferred(now);
			}

			this.#publish(now);
			this.#place(now);
		}
	}

	#accept(job: SimulatedJob, now: number): void {
		const published = this.#published.findLast(({at}) => at <= now - statusDelayMs);
		const known = published?.estimate === undefined ? undefined : {estimate: published.estimate, ageMs: now - published.at};
		const arriving = {
			id: job.id, priority: job.priority, criticalPathMs: job.criticalPathMs, objectiveMs: job.objectiveMs, work: job.waitingWork,
		};
		job.estimatedEndAt = known === undefined ? undefined : now + estimateStartMs(known.estimate, arriving) + job.criticalPathMs;
		if (this.scenario.isRefusing === true && findRefusal(arriving, known) !== undefined) {
			job.isRefused = true;
		} else {
			this.#active.add(job);
		}
	}

	#publish(now: number): void {
		if (now - (this.#published.at(-1)?.at ?? Number.NEGATIVE_INFINITY) < statusMs) {
			return;
		}

		const {latePosition} = this.order;
		const backlog = [...this.#active].map((job): BacklogJob => {
			const {tier, deadline} = computeTimeliness(job, now);
			return {
				priority: job.priority, tier: tier === 'inTime' && job.isDeferred ? 'deferred' : tier, position: tier === 'late' && latePosition === 'work' ? job.remainingWork : deadline - now, remainingWork: job.remainingWork, waitingWork: job.waitingWork, openWork: job.openWork,
			};
		});
		this.#published.push({at: now, estimate: estimatePool(backlog, {cpu: this.#cpu, hasIdleVm: this.#freeCpu >= vmCpu, latePosition})});
	}

	#planDeferred(now: number): void {
		const planned = [...this.#active].filter(job => job.hasWaitingTasks).map(job => ({
			job, priority: job.priority, deadline: job.deadline, remainingMs: job.plannedMs, remainingWork: job.remainingWork, openWork: job.openWork, isKept: job.isKept,
		}));
		const chosen = this.order.chooseDeferred(planned, {now, cpu: this.#cpu});
		for (const job of this.#deferred.replace(new Set([...chosen].map(({job}) => job)))) {
			job.isDeferred = this.#deferred.isDeferred(job);
		}
	}

	#place(now: number): void {
		let queue = this.#rankWaiting(now);
		for (let index = 0; index < queue.length; index++) {
			const {job} = queue[index]!;
			const hasStarted = job.firstStartAt !== undefined;
			while (job.hasWaitingTasks && job.currentStep.resources.cpu <= this.#freeCpu) {
				this.#startTask(job, now);
			}

			if (this.#freeCpu < Math.min(...(this.scenario.kinds ?? shortKinds).map(({cpu}) => cpu))) {
				return;
			}

			const kept = hasStarted || job.firstStartAt === undefined ? [] : this.#noteStart(job);
			if (kept.length > 0) {
				queue = this.#rankWaiting(now);
				index = -1;
			}
		}
	}

	#noteStart(started: SimulatedJob): SimulatedJob[] {
		const kept = this.#deferred.noteStart(started);
		for (const job of kept) {
			job.isDeferred = false;
			job.isKept = true;
		}

		return kept;
	}

	#rankWaiting(now: number): Array<{readonly job: SimulatedJob; readonly rank: Rank}> {
		return [...this.#active].filter(job => job.hasWaitingTasks).map(job => ({job, rank: this.order.rank(job, now).rank})).toSorted((a, b) => compareRanks(a.rank, b.rank));
	}

	#startTask(job: SimulatedJob, now: number): void {
		const {resources, estimatedMs} = job.currentStep;
		const spread = this.scenario.speedSpread ?? 0;
		const speed = 1 + (spread * ((2 * this.random.readFraction()) - 1));
		job.startTask(now);
		this.#freeCpu -= resources.cpu;
		this.#ends.push({at: now + (estimatedMs / speed), job});
	}

	#endTask({at, job}: TaskEnd): void {
		this.#freeCpu += job.currentStep.resources.cpu;
		job.endTask(at);
		if (job.endedAt !== undefined) {
			this.#active.delete(job);
			this.#deferred.remove(job);
		}
	}
}

/** Outcome of the jobs of one kind, or of all. */
export type OrderOutcome = {
	readonly jobs: number;
	/** Share of all jobs that ended within their objective. */
	readonly inTimeShare: number;
	/** Share of all jobs that ended within three times their objective. */
	readonly valueShare: number;
	readonly refusedShare: number;
	/** Median and 90th percentile of the amount by which jobs ended after, or before, their estimate at arrival, in milliseconds. */
	readonly estimateErrorMs: readonly [median: number, high: number];
	/** Longest time from the submission of a job to the start of its first task, in milliseconds. */
	readonly longestWaitMs: number;
};

/** Runs one order on the jobs of a scenario; the same seed gives the same jobs to all orders. */
export function simulateOrder(order: JobOrder, scenario: OrderScenario): SimulatedJob[] {
	const jobs = generateJobs(SeededRandom.create(scenario.seed), scenario);
	new PoolSimulation(order, scenario, SeededRandom.create(scenario.seed + 1)).run(jobs);
	return jobs;
}

/** Summarizes the outcome of jobs. */
export function computeOutcome(jobs: readonly SimulatedJob[]): OrderOutcome {
	const errors = jobs.flatMap(({endedAt, estimatedEndAt}) => endedAt === undefined || estimatedEndAt === undefined ? [] : [Math.abs(endedAt - estimatedEndAt)]);
	const countEnded = (factor: number): number => jobs.filter(job => job.endedAt !== undefined && job.endedAt <= job.submittedAt + (factor * job.objectiveMs)).length;
	return {
		jobs: jobs.length,
		inTimeShare: countEnded(1) / jobs.length,
		valueShare: countEnded(lateFactor) / jobs.length,
		refusedShare: jobs.filter(({isRefused}) => isRefused).length / jobs.length,
		estimateErrorMs: [computeQuantile(errors, 0.5), computeQuantile(errors, 0.9)],
		longestWaitMs: Math.max(0, ...jobs.map(job => (job.firstStartAt ?? job.submittedAt) - job.submittedAt)),
	};
}
