/**
 * What the holder of the scheduler lease knows of the overload of all pools during its term, and publishes to all entries: when a further job
 * would get capacity, and which accounts are above their rate.
 */
import {type AccountName, type Clock, type ServiceName} from '@tamarackwind/core';
import {ArrivalRates, type PoolEstimate} from '@tamarackwind/scheduling';
import {type ActiveJob} from './active-jobs.js';
import {type OverloadPolicy} from './overload-policies.js';
import {type PoolBacklog} from './pool-backlogs.js';
import {computeWorkerCapacity} from './pool-capacities.js';

/** Overload of one pool. */
export type PoolOverload = {
	/** Omitted for a pool without CPU. */
	readonly estimate?: PoolEstimate;
	/** Share of the submissions to accept of each account above its rate. */
	readonly shares: Readonly<Record<AccountName, number>>;
};

/** Overload of all pools as the holder publishes it. */
export type OverloadStatus = {
	/** Epoch of the holder: the row with the status outlives a change of the holder. */
	readonly epoch: number;
	readonly pools: Readonly<Record<ServiceName, PoolOverload>>;
};

/** Overload as an entry knows it. */
export type KnownOverload = {readonly status: OverloadStatus; readonly ageMs: number};

/** A pool as input to the status. */
export type OverloadedPool = {
	readonly service: ServiceName;
	readonly sessions: Parameters<typeof computeWorkerCapacity>[0];
	readonly backlog: Pick<PoolBacklog, 'computeWaitingCpu' | 'estimate'>;
};

export type OverloadTermOptions = {
	readonly clock: Clock;
	readonly policy: OverloadPolicy;
	readonly epoch: number;
	/** Called with the actual end of a job less its estimate, in milliseconds. */
	readonly onEstimateError?: (errorMs: number) => void;
};

/** Minimum interval between two statuses, in milliseconds: each costs by the number of waiting jobs, and queries of callers ask for it too. */
const minStatusIntervalMs = 100;

/** Overload during one term of the holder. */
export class OverloadTerm {
	static create(options: OverloadTermOptions): OverloadTerm {
		return new OverloadTerm(options);
	}

	readonly #options: OverloadTermOptions;
	readonly #rates: ArrivalRates<AccountName>;
	#published: {readonly status: OverloadStatus; readonly at: number} | undefined;

	private constructor(options: OverloadTermOptions) {
		this.#options = options;
		this.#rates = ArrivalRates.create(options.policy.rateLimit);
	}

	get policy(): OverloadPolicy {
		return this.#options.policy;
	}

	/** What was published last. */
	get known(): KnownOverload | undefined {
		return this.#published === undefined ? undefined : {status: this.#published.status, ageMs: this.#options.clock.readMonotonic() - this.#published.at};
	}

	/** Drops what was published last, as the row of the lease has no room for it. */
	revoke(): void {
		this.#published = undefined;
	}

	/** Records a job that was accepted; one without an account has no rate. */
	recordArrival({job, submittedAt}: ActiveJob): void {
		if (job.account !== undefined) {
			this.#rates.record(job.account, job.id, submittedAt);
		}
	}

	/** Records the actual end of a job less its estimate, in milliseconds. */
	recordEstimateError(errorMs: number): void {
		this.#options.onEstimateError?.(errorMs);
	}

	/** Describes the overload of the pools for all entries; `undefined` while nothing is refused. `getIncomingCpu` returns the CPU of VMs on their way to a pool. */
	describe(pools: readonly OverloadedPool[], getIncomingCpu: (service: ServiceName) => number): OverloadStatus | undefined {
		if (!this.policy.isRefusing) {
			this.#published = undefined;
			return undefined;
		}

		const now = this.#options.clock.readMonotonic();
		if (this.#published !== undefined && now - this.#published.at < minStatusIntervalMs) {
			return this.#published.status;
		}

		const described = pools.map(({service, sessions, backlog}) => {
			const {cpu, hasIdleWorker} = computeWorkerCapacity(sessions);
			return {service, estimate: backlog.estimate(cpu + getIncomingCpu(service), hasIdleWorker), waitingCpu: hasIdleWorker ? new Map<AccountName | undefined, number>() : backlog.computeWaitingCpu()};
		});
		const shares = this.#rates.computeShares({
			now, getWeight: account => this.policy.getWeight(account), isContended: account => described.some(({waitingCpu}) => hasOthers(waitingCpu, account)),
		});
		const status: OverloadStatus = {
			epoch: this.#options.epoch,
			pools: Object.fromEntries(described.map(({service, estimate, waitingCpu}) => [service, {
				...(estimate === undefined ? {} : {estimate}), shares: Object.fromEntries([...shares].filter(([account]) => hasOthers(waitingCpu, account))),
			} satisfies PoolOverload])),
		};
		this.#published = {status, at: now};
		return status;
	}
}

/** Reports whether work of other accounts waits. */
function hasOthers(waitingCpu: ReadonlyMap<AccountName | undefined, number>, account: AccountName): boolean {
	return [...waitingCpu.keys()].some(other => other !== account);
}
