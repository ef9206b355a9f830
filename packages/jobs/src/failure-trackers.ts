/**
 * Failure statistics that distinguish faulty workers, on which any job fails, from faulty jobs, which fail on any worker.
 */

export type FailureTrackerOptions = {
	/** Number of distinct jobs that must fail on a worker before it is set aside. */
	readonly minJobs?: number;
	/** Maximum fraction of the workers that may be set aside. */
	readonly maxFraction?: number;
	/** Time after which a worker that was set aside receives jobs again on probation, in milliseconds. */
	readonly probationMs?: number;
};

const defaultMinJobs = 3;
const defaultMaxFraction = 0.25;
const defaultProbationMs = 10 * 60 * 1000;

type JobFailures = {readonly failedVms: Set<string>; hasSucceeded: boolean};

/** Counts failures by worker. A failure counts unless its job has also failed on other workers and succeeded on none. */
export class WorkerFailureTracker {
	static create(options: FailureTrackerOptions = {}): WorkerFailureTracker {
		return new WorkerFailureTracker(options);
	}

	readonly #minJobs: number;
	readonly #maxFraction: number;
	readonly #probationMs: number;
	readonly #setAsideSince = new Map<string, number>();
	readonly #jobs = new Map<string, JobFailures>();
	readonly #jobsByVm = new Map<string, Set<string>>();

	private constructor({minJobs, maxFraction, probationMs}: FailureTrackerOptions) {
		this.#probationMs = probationMs ?? defaultProbationMs;
		this.#minJobs = minJobs ?? defaultMinJobs;
		this.#maxFraction = maxFraction ?? defaultMaxFraction;
	}

	recordFailure(vmId: string, jobId: string): void {
		const job = this.#jobs.get(jobId) ?? {failedVms: new Set(), hasSucceeded: false};
		job.failedVms.add(vmId);
		this.#jobs.set(jobId, job);
		this.#jobsByVm.set(vmId, (this.#jobsByVm.get(vmId) ?? new Set()).add(jobId));
	}

	/** Clears the failures of the worker, and makes the job's failures count against the workers on which it failed. */
	recordSuccess(vmId: string, jobId: string): void {
		this.#jobsByVm.delete(vmId);
		const job = this.#jobs.get(jobId);
		if (job !== undefined) {
			job.hasSucceeded = true;
		}
	}

	/** Clears the failures of a worker that has restarted. */
	recordRestart(vmId: string): void {
		this.#jobsByVm.delete(vmId);
	}

	/** Counts the distinct jobs whose failures count against a worker. */
	countFailures(vmId: string): number {
		let count = 0;
		for (const jobId of this.#jobsByVm.get(vmId) ?? []) {
			const job = this.#jobs.get(jobId)!;
			count += job.hasSucceeded || job.failedVms.size === 1 ? 1 : 0;
		}

		return count;
	}

	/** Lists the workers among `vmIds` to set aside, those with the most failures first, up to `maxFraction`. */
	listSetAside(vmIds: readonly string[], now: number): string[] {
		const limit = Math.floor(vmIds.length * this.#maxFraction);
		const listed = vmIds
			.map(vmId => ({vmId, failures: this.countFailures(vmId)}))
			.filter(({failures}) => failures >= this.#minJobs)
			.toSorted((a, b) => b.failures - a.failures)
			.slice(0, limit)
			.map(({vmId}) => vmId);
		for (const vmId of this.#setAsideSince.keys()) {
			if (!listed.includes(vmId)) {
				this.#setAsideSince.delete(vmId);
			}
		}

		return listed.filter(vmId => !this.#tryBeginProbation(vmId, now));
	}

	/** Deletes jobs that no worker's failures refer to. */
	trim(): void {
		const referenced = new Set([...this.#jobsByVm.values()].flatMap(jobIds => [...jobIds]));
		for (const jobId of this.#jobs.keys()) {
			if (!referenced.has(jobId)) {
				this.#jobs.delete(jobId);
			}
		}
	}

	/** After `probationMs`, keeps one failure less than `minJobs`, so that one further failure sets the worker aside again. */
	#tryBeginProbation(vmId: string, now: number): boolean {
		const since = this.#setAsideSince.get(vmId) ?? now;
		this.#setAsideSince.set(vmId, since);
		if (now - since <= this.#probationMs) {
			return false;
		}

		const jobIds = [...this.#jobsByVm.get(vmId) ?? []];
		this.#jobsByVm.set(vmId, new Set(jobIds.slice(0, this.#minJobs - 1)));
		this.#setAsideSince.delete(vmId);
		return true;
	}
}
