/**
 * Sums up the demand of a pool's jobs. What a job adds to the sums is kept until it changes.
 */
import {type StepSpec} from '@tamarackwind/scheduling';
import {type ActiveJob} from './active-jobs.js';
import {type FleetCapacity} from './fleet-capacities.js';

/** Demand of jobs; CPU is in thousandths of a core. */
export type JobLoad = {
	/** Outstanding work, in thousandths of a core times milliseconds. */
	readonly work: number;
	/** CPU in use or assigned. */
	readonly usedCpu: number;
	/** CPU requested by waiting tasks whose preceding steps are done, without those that the fleet could not hold if nothing else ran. */
	readonly waitingCpu: number;
	/** Workers needed by the widest long-running step with anti-affinity that the fleet can hold. */
	readonly antiAffinityVms: number;
};

/** What one job adds to the demand of its pool. */
export type Contribution = JobLoad & {
	/** Whether no task of the job is known to have started. */
	readonly isWaiting: boolean;
	/** The part of `work` whose tasks wait. */
	readonly waitingWork: number;
	/** The part of `waitingWork` whose preceding steps are done. */
	readonly openWork: number;
	/** The part of `usedCpu` that long-running tasks use. */
	readonly longRunningCpu: number;
};

/** The demand of one pool's jobs. */
export class JobLoads {
	/** `getFleet` returns the capacity of the fleet; `undefined` while it is not known. */
	static create(getFleet?: () => FleetCapacity | undefined): JobLoads {
		return new JobLoads(getFleet);
	}

	readonly #contributions = new Map<ActiveJob, Contribution>();
	readonly #changedJobs = new Set<ActiveJob>();

	#changes = 0;

	/** Capacity of the fleet by which the contributions were described. */
	#fleet: FleetCapacity | undefined;

	private constructor(private readonly getFleet?: () => FleetCapacity | undefined) {}

	/** Number of changes so far. */
	get changes(): number {
		return this.#changes;
	}

	/** What each job adds to the demand. */
	get contributions(): ReadonlyMap<ActiveJob, Contribution> {
		this.#update();
		return this.#contributions;
	}

	/** Takes up a job that has not ended. */
	add(job: ActiveJob): void {
		job.hooks.onChanged = () => {
			this.#changes++;
			this.#changedJobs.add(job);
		};

		job.hooks.onChanged();
	}

	/** Drops a job that has ended. */
	remove(job: ActiveJob): void {
		this.#changes++;
		job.hooks.onChanged = undefined;
		this.#changedJobs.delete(job);
		this.#contributions.delete(job);
	}

	/** Computes the demand of all jobs. */
	compute(): JobLoad {
		this.#update();
		let work = 0;
		let usedCpu = 0;
		let waitingCpu = 0;
		let antiAffinityVms = 0;
		for (const contribution of this.#contributions.values()) {
			work += contribution.work;
			usedCpu += contribution.usedCpu;
			waitingCpu += contribution.waitingCpu;
			antiAffinityVms = Math.max(antiAffinityVms, contribution.antiAffinityVms);
		}

		return {
			work, usedCpu, waitingCpu, antiAffinityVms,
		};
	}

	/** Counts, by queue, the jobs of which no task is known to have started. */
	countWaiting(): Map<string, number> {
		this.#update();
		const counts = new Map<string, number>();
		for (const [{job: {queue}}, {isWaiting}] of this.#contributions) {
			if (isWaiting) {
				counts.set(queue, (counts.get(queue) ?? 0) + 1);
			}
		}

		return counts;
	}

	#update(): void {
		const fleet = this.getFleet?.();
		const changed = fleet === this.#fleet ? this.#changedJobs : [...this.#contributions.keys(), ...this.#changedJobs];
		this.#fleet = fleet;
		for (const job of changed) {
			this.#contributions.set(job, describeJob(job, fleet));
		}

		this.#changedJobs.clear();
	}
}

function describeJob(job: ActiveJob, fleet: FleetCapacity | undefined): Contribution {
	const isPossible = (spec: StepSpec) => fleet?.hasPlacesFor(spec) ?? true;
	let work = 0;
	let usedCpu = 0;
	let waitingCpu = 0;
	let antiAffinityVms = 0;
	let waitingWork = 0;
	let openWork = 0;
	let longRunningCpu = 0;
	for (const {spec, counts, demand: {resources: {cpu}}} of job.listUnfinishedSteps()) {
		const unfinished = counts.total - counts.get('done');
		const waiting = counts.get('waiting');
		usedCpu += (unfinished - waiting) * cpu;
		longRunningCpu += spec.isLongRunning ? (unfinished - waiting) * cpu : 0;
		waitingWork += spec.isLongRunning ? 0 : waiting * cpu * spec.estimatedMs;
		antiAffinityVms = Math.max(antiAffinityVms, spec.isLongRunning && spec.antiAffinity !== undefined && isPossible(spec) ? Math.ceil(spec.count / spec.antiAffinity) : 0);
		work += spec.isLongRunning ? 0 : unfinished * cpu * spec.estimatedMs;
	}

	for (const {spec, counts, demand: {resources: {cpu}}} of job.listOpenSteps()) {
		waitingCpu += isPossible(spec) ? counts.get('waiting') * cpu : 0;
		openWork += spec.isLongRunning ? 0 : counts.get('waiting') * cpu * spec.estimatedMs;
	}

	return {
		work, usedCpu, waitingCpu, antiAffinityVms, isWaiting: !job.hasBegun, waitingWork, openWork, longRunningCpu,
	};
}
