/**
 * Determines what may run on a VM. A worker without a session is not known to run nothing: its registry entry may have expired while the store was
 * unavailable, and a new holder has then never seen it.
 */
import {type Clock, type PoolName, type VmId} from '@tamarackwind/core';
import {type PoolScheduler} from './pool-schedulers.js';
import {type Task} from './tasks.js';
import {type FleetVm} from './workers.js';
import {type WorkerSession} from './worker-sessions.js';

/**
 * What is known of the tasks on a VM:
 * - `listed`: they are those of the session with its worker.
 * - `assumed`: its worker has no session. They are those that the progress of jobs assigns to the worker and that are not known to have ended.
 * - `unknown`: its worker has no session, and may only be missing from the registry for a moment.
 */
export type VmOccupancy
	= | {readonly status: 'listed'; readonly session: WorkerSession; readonly tasks: ReadonlySet<Task>}
		| {readonly status: 'assumed' | 'unknown'; readonly session: undefined; readonly tasks: ReadonlySet<Task>};

export type VmOccupanciesOptions = {
	readonly clock: Clock;
	/** Time within which the entry of a live worker is back in the registry after it has expired, in milliseconds. */
	readonly entryReturnMs: number;
	/** Returns the time at which the registry was last read, on the monotonic clock. */
	readonly getRegistryReadAt: () => number;
	readonly listPools: () => readonly PoolScheduler[];
	readonly findPool: (pool: PoolName) => PoolScheduler | undefined;
};

/** Age from which a reading of the registry does not count as a current one, in milliseconds: several of its watches. */
const maxReadingAgeMs = 1000;

/** Determines what may run on the VMs of all pools. */
export class VmOccupancies {
	static create(options: VmOccupanciesOptions): VmOccupancies {
		return new VmOccupancies(options);
	}

	readonly #options: VmOccupanciesOptions;
	/** Listed workers without a session, with the time since which current readings of the registry have shown that, on the monotonic clock. */
	#missingSince = new Map<VmId, number>();

	private constructor(options: VmOccupanciesOptions) {
		this.#options = options;
	}

	/** Updates which workers of the listed VMs are missing. An outage that this holder has not seen may have ended just before its first reading, so it counts from there. */
	update(vms: readonly FleetVm[]): void {
		const {clock, getRegistryReadAt} = this.#options;
		const now = clock.readMonotonic();
		const isCurrent = now - getRegistryReadAt() <= maxReadingAgeMs;
		const missing = isCurrent ? vms.flatMap(vm => vm.worker !== undefined && this.#findSession(vm) === undefined ? [vm.worker] : []) : [];
		this.#missingSince = new Map(missing.map(worker => [worker, this.#missingSince.get(worker) ?? now]));
	}

	/** Describes what may run on a VM. One without a worker runs nothing. */
	describe(vm: FleetVm): VmOccupancy {
		const {worker} = vm;
		if (worker === undefined) {
			return {status: 'assumed', session: undefined, tasks: new Set()};
		}

		const session = this.#findSession(vm);
		if (session !== undefined) {
			return {status: 'listed', session, tasks: session.tasks};
		}

		const {clock, entryReturnMs, listPools} = this.#options;
		const missingSince = this.#missingSince.get(worker);
		const isGone = missingSince !== undefined && clock.readMonotonic() - missingSince > entryReturnMs;
		return {status: isGone ? 'assumed' : 'unknown', session: undefined, tasks: new Set(listPools().flatMap(pool => pool.listDoubtfulTasks(worker)))};
	}

	/** Finds the session with the worker of a VM, usually in the VM's own pool. */
	#findSession({worker, pool: name}: FleetVm): WorkerSession | undefined {
		if (worker === undefined) {
			return undefined;
		}

		const {findPool, listPools} = this.#options;
		const own = findPool(name)?.findWorkerSession(worker);
		if (own !== undefined) {
			return own;
		}

		for (const pool of listPools()) {
			const session = pool.findWorkerSession(worker);
			if (session !== undefined) {
				return session;
			}
		}

		return undefined;
	}
}
