/**
 * Capacity of the workers of a pool.
 */
import {type WorkerSession} from './worker-sessions.js';

/** Capacity of the workers that accept new work. */
export type WorkerCapacity = {
	/** In thousandths of a core. */
	readonly cpu: number;
	/** Whether some of them runs nothing. */
	readonly hasIdleWorker: boolean;
};

/** Computes the capacity of the workers that accept new work. */
export function computeWorkerCapacity(sessions: Iterable<Pick<WorkerSession, 'isSchedulable' | 'record' | 'tasks'>>): WorkerCapacity {
	let cpu = 0;
	let hasIdleWorker = false;
	for (const session of sessions) {
		if (session.isSchedulable) {
			cpu += session.record.capacity.cpu;
			hasIdleWorker ||= session.tasks.size === 0;
		}
	}

	return {cpu, hasIdleWorker};
}
