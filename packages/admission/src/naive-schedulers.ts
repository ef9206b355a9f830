/**
 * Baseline scheduler for comparisons: picks a random worker, without queues or shares.
 */
import {VerdictError, type PoolName, type RandomSource} from '@tamarackwind/core';
import {type VmRecord} from '@tamarackwind/clients';
import {Scheduler, SlotGrant, type SlotRequest} from './schedulers.js';

export type NaiveSchedulerOptions = {
	readonly random: RandomSource;
	/** Lists the workers of a pool that accept new work. */
	readonly listWorkers: (pool: PoolName) => readonly VmRecord[];
};

class NaiveGrant extends SlotGrant {
	override readonly vm: VmRecord;

	constructor(vm: VmRecord) {
		super();
		this.vm = vm;
	}

	override release(): void {}
}

/** Dispatches each request to a random worker at once. */
export class NaiveScheduler extends Scheduler {
	static create(options: NaiveSchedulerOptions): NaiveScheduler {
		return new NaiveScheduler(options);
	}

	readonly #options: NaiveSchedulerOptions;

	private constructor(options: NaiveSchedulerOptions) {
		super();
		this.#options = options;
	}

	override async acquireSlot({pool}: SlotRequest): Promise<SlotGrant> {
		const vm = this.#options.random.pickItem(this.#options.listWorkers(pool.name));
		if (vm === undefined) {
			throw new VerdictError(`pool "${pool.name}" has no live worker`, {verdict: 'not-run', code: 'no_worker'});
		}

		return new NaiveGrant(vm);
	}

	override suggestRetryAfter(): number {
		return 1;
	}

	override markLeaving(): void {}

	override async close(): Promise<void> {}
}
