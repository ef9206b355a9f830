/**
 * Checks all through an emulated history that no job of an account with a cap stands while the account runs less than half of its cap. All
 * amounts are those of the emulated workers.
 */
import {type JobId} from '@tamarackwind/core';
import {
	addResources, dimensions, getReservation, isWithin, type Resources, type StepSpec,
} from '@tamarackwind/scheduling';
import {formatTask, type Job} from '@tamarackwind/workflows';
import {type WorkerRoom} from './emulated-workers.js';
import {type EmulatedSystem} from './emulated-systems.js';

/** Longest time without a run that the users accept for a job that could run, in milliseconds. */
const standingLimitMs = 3000;
/** Time without a disturbance that must precede these, in milliseconds. */
const calmBeforeMs = 4000;
/** Time after the last run of a long-running task from which it counts, in milliseconds. */
const lastingGraceMs = 6000;
const sampleIntervalMs = 250;
/** Share of a cap, and of a pool's CPU, below which a waiting task counts. */
const freeShare = 0.5;

/** Samples an emulated system and records the jobs of capped accounts that stand. */
export class AccountStandingCheck {
	static create(system: EmulatedSystem): AccountStandingCheck {
		const check = new AccountStandingCheck(system);
		check.#scheduleSample();
		return check;
	}

	/** Longest time for which each job or long-running task stood in a calm, above the limit, in milliseconds. */
	readonly standing = new Map<string, number>();
	/** The job or long-running task that stood longest, in a calm or not. */
	longest: {readonly name: string; readonly ms: number; readonly since: number} = {name: '', ms: 0, since: 0};
	readonly #since = new Map<string, number>();
	#disturbedUntil: number;
	#isClosed = false;

	private constructor(private readonly system: EmulatedSystem) {
		this.#disturbedUntil = system.clock.readMonotonic();
	}

	/** Notes a disturbance that lasts until the given time on the monotonic clock. */
	recordDisturbance(until: number): void {
		this.#disturbedUntil = Math.max(this.#disturbedUntil, until);
	}

	/** Describes the jobs that stood for longer than the limit. */
	get violations(): string[] {
		return [...this.standing].map(([name, ms]) => `${name} of an account under half of its cap stood for ${Math.round(ms)} ms`);
	}

	close(): void {
		this.#isClosed = true;
	}

	#scheduleSample(): void {
		this.system.clock.schedule(sampleIntervalMs, () => {
			if (!this.#isClosed) {
				this.#sample();
				this.#scheduleSample();
			}
		});
	}

	#sample(): void {
		const now = this.system.clock.readMonotonic();
		const standing = new Set(this.#listStanding(now));
		for (const name of this.#since.keys()) {
			if (!standing.has(name)) {
				this.#since.delete(name);
			}
		}

		for (const name of standing) {
			const since = this.#since.get(name) ?? now;
			this.#since.set(name, since);
			this.longest = now - since > this.longest.ms ? {name, ms: now - since, since} : this.longest;
			if (now - Math.max(since, this.#disturbedUntil + calmBeforeMs) > standingLimitMs) {
				this.standing.set(name, Math.max(this.standing.get(name) ?? 0, now - since));
			}
		}
	}

	#listStanding(now: number): string[] {
		const {accepted, fleet, cancelled} = this.system;
		const standing: string[] = [];
		for (const [id, job] of accepted) {
			const cap = fleet.caps.getCap(job.account);
			if (cap !== undefined && !cancelled.has(id) && job.schedule === undefined && fleet.jobs.get(id)!.crashingTasks.size === 0 && isUnderHalf(fleet.computeAccountUse(job.account!), cap)) {
				standing.push(...this.#listStandingOf(id, job, now));
			}
		}

		return standing;
	}

	#listStandingOf(id: JobId, job: Job, now: number): string[] {
		const {fleet} = this.system;
		const hasRun = fleet.countRunning(id) > 0;
		const workers = fleet.listPoolRoom(job.service);
		const standing: string[] = [];
		for (const [step, spec] of job.steps.entries()) {
			const isReady = spec.after.every(earlier => listTasks(job, earlier).every(task => fleet.isDone(task)));
			const tasks = listTasks(job, step);
			if (isReady && (spec.isLongRunning || (!hasRun && isUnderHalfUsed(workers))) && hasRoomTwice(spec, workers, tasks)) {
				const open = tasks.filter(task => !fleet.hasBeenDone(task) && !fleet.isRunning(task));
				standing.push(...(spec.isLongRunning
					? open.filter(task => now - fleet.getLastRunAt(task, id) > lastingGraceMs).map(task => `task ${task}`)
					: open.slice(0, 1).map(() => `job ${id}`)));
			}
		}

		return standing;
	}
}

function listTasks({id, steps}: Job, step: number): string[] {
	return Array.from({length: steps[step]!.count}, (_, index) => formatTask({
		job: id, occurrence: 0, step, index,
	}));
}

/** Reports whether an amount is below half of a cap in each dimension that has one. */
function isUnderHalf(used: Resources, cap: Resources): boolean {
	return dimensions.every(dimension => cap[dimension] <= 0 || used[dimension] < cap[dimension] * freeShare);
}

function isUnderHalfUsed(workers: readonly WorkerRoom[]): boolean {
	const cpu = workers.reduce((sum, {capacity}) => sum + capacity.cpu, 0);
	const free = workers.reduce((sum, worker) => sum + worker.free.cpu, 0);
	return free > cpu * (1 - freeShare);
}

/** Reports whether workers have the resources of a task, or of all tasks of a gang, twice over. */
function hasRoomTwice(spec: StepSpec, workers: readonly WorkerRoom[], tasks: readonly string[]): boolean {
	const {antiAffinity = Number.POSITIVE_INFINITY, isGang, count} = spec;
	const required = getReservation(spec);
	const twice = addResources(required, required);
	let places = 0;
	for (const {free, tasks: running} of workers) {
		const limit = antiAffinity - tasks.filter(task => running.has(task)).length;
		for (let room = free, taken = 0; taken < limit && isWithin(twice, room) && places < count; taken++, places++) {
			room = addResources(room, twice, -1);
		}
	}

	return places >= (isGang ? count : 1);
}
