/**
 * Health of one worker, judged by how the runs of different jobs ended on it.
 */
import {type JobId} from '@tamarackwind/core';

/** Window in which run endings are considered, in milliseconds. */
const evidenceWindowMs = 6000;
/** Number of different jobs that must have failed before a worker is suspected; the failures of one job may be the job's own fault. */
const minFailedJobs = 3;

type Evidence = {readonly job: JobId; readonly isFailure: boolean; readonly at: number};

/** Tracks the recent run endings on a worker. */
export class WorkerHealth {
	static create(): WorkerHealth {
		return new WorkerHealth();
	}

	#evidence: Evidence[] = [];
	#refusedUntil = 0;

	/** Records that a run ended by itself or was stopped because it stalled. */
	recordEnding(job: JobId, isFailure: boolean, at: number): void {
		this.#evidence.push({job, isFailure, at});
	}

	/** Records that the worker refused a start and gets no new work for some time. */
	recordRefusal(until: number): void {
		this.#refusedUntil = Math.max(this.#refusedUntil, until);
	}

	/** Computes the level of suspicion: 0 for a healthy worker; from 1 the worker gets tasks only when no other has capacity. */
	computeSuspicion(now: number): number {
		if (now < this.#refusedUntil) {
			return minFailedJobs;
		}

		if (now - (this.#evidence[0]?.at ?? now) >= evidenceWindowMs) {
			this.#evidence = this.#evidence.filter(({at}) => now - at < evidenceWindowMs);
		}

		if (!this.#evidence.some(({isFailure}) => isFailure)) {
			return 0;
		}

		const failures = this.#evidence.filter(({isFailure}) => isFailure);
		const jobs = new Set(failures.map(({job}) => job)).size;
		return jobs >= minFailedJobs && failures.length * 2 > this.#evidence.length ? jobs / minFailedJobs : 0;
	}
}
