/**
 * Evidence on workers and jobs: which workers fail whatever they start, and which jobs fail wherever they start.
 */

export type EvidenceOptions = {
	/** Different jobs that have to fail on a worker before it is set aside. */
	readonly minJobs?: number;
	/** Part of the workers that may be set aside. */
	readonly maxFraction?: number;
	/** Time after which a worker that was set aside gets one more job, in milliseconds. */
	readonly probationMs?: number;
};

const defaultMinJobs = 3;
const defaultMaxFraction = 0.25;
const defaultProbationMs = 10 * 60 * 1000;

type JobEvidence = {readonly failedVms: Set<string>; hasSucceeded: boolean};

/** Weighs failures: one counts against a worker unless its job has failed on other workers too and succeeded on none. */
export class WorkerEvidence {
	static create(options: EvidenceOptions = {}): WorkerEvidence {
		return new WorkerEvidence(options);
	}

	readonly #minJobs: number;
	readonly #maxFraction: number;
	readonly #probationMs: number;
	readonly #setAsideSince = new Map<string, number>();
	readonly #jobs = new Map<string, JobEvidence>();
	readonly #jobsByVm = new Map<string, Set<string>>();

	private constructor({minJobs, maxFraction, probationMs}: EvidenceOptions) {
		this.#probationMs = probationMs ?? defaultProbationMs;
		this.#minJobs = minJobs ?? defaultMinJobs;
		this.#maxFraction = maxFraction ?? defaultMaxFraction;
	}

	noteFailure(vmId: string, jobId: string): void {
		const job = this.#jobs.get(jobId) ?? {failedVms: new Set(), hasSucceeded: false};
		job.failedVms.add(vmId);
		this.#jobs.set(jobId, job);
		this.#jobsByVm.set(vmId, (this.#jobsByVm.get(vmId) ?? new Set()).add(jobId));
	}

	/** A success clears the worker, and lets the job's failures count against the workers where it failed. */
	noteSuccess(vmId: string, jobId: string): void {
		this.#jobsByVm.delete(vmId);
		const job = this.#jobs.get(jobId);
		if (job !== undefined) {
			job.hasSucceeded = true;
		}
	}

	/** Clears a worker that has started anew. */
	noteRestart(vmId: string): void {
		this.#jobsByVm.delete(vmId);
	}

	/** Different jobs whose failure counts against a worker. */
	countFailures(vmId: string): number {
		let count = 0;
		for (const jobId of this.#jobsByVm.get(vmId) ?? []) {
			const job = this.#jobs.get(jobId)!;
			count += job.hasSucceeded || job.failedVms.size === 1 ? 1 : 0;
		}

		return count;
	}

	/** Lists the workers to set aside among `vmIds`, those with the most evidence first and within the bound. */
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

		return listed.filter(vmId => !this.#beginProbation(vmId, now));
	}

	/** Forgets jobs that no worker's evidence rests on any more. */
	trim(): void {
		const kept = new Set([...this.#jobsByVm.values()].flatMap(jobIds => [...jobIds]));
		for (const jobId of this.#jobs.keys()) {
			if (!kept.has(jobId)) {
				this.#jobs.delete(jobId);
			}
		}
	}

	/** After the time of probation leaves one failure less than would set the worker aside again. */
	#beginProbation(vmId: string, now: number): boolean {
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
