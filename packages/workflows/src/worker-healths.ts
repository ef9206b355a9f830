/**
 * Evidence on one worker: how runs of different jobs ended there.
 */
import {type JobId} from '@tamarackwind/core';

/** Time for which an ending counts, in milliseconds. */
const evidenceMs = 6000;
/** Different jobs that must have failed before a worker is under doubt; one bad job is not the worker's fault. */
const distinctFailures = 3;

type Evidence = {readonly job: JobId; readonly isFailure: boolean; readonly at: number};

/** Endings on a worker within the last seconds. */
export class WorkerHealth {
	static create(): WorkerHealth {
		return new WorkerHealth();
	}

	#evidence: Evidence[] = [];
	#refusedUntil = 0;

	/** Notes that a run ended by itself or had to be stopped because it stood still. */
	recordEnding(job: JobId, isFailure: boolean, at: number): void {
		this.#evidence.push({job, isFailure, at});
	}

	/** Notes that the worker refuses work for a while. */
	recordRefusal(until: number): void {
		this.#refusedUntil = Math.max(this.#refusedUntil, until);
	}

	/** 0 for a sound worker; from 1 on it gets work only where no other has room. */
	computeDoubt(now: number): number {
		if (now < this.#refusedUntil) {
			return distinctFailures;
		}

		this.#evidence = this.#evidence.filter(({at}) => now - at < evidenceMs);
		const failures = this.#evidence.filter(({isFailure}) => isFailure);
		const jobs = new Set(failures.map(({job}) => job)).size;
		return jobs >= distinctFailures && failures.length * 2 > this.#evidence.length ? jobs / distinctFailures : 0;
	}
}
