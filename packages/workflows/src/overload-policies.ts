/**
 * What an entry does when the capacity of a pool is insufficient: as its settings ask for, and where these are silent, as the configuration
 * has client accounts or not.
 */
import {type AccountName} from '@tamarackwind/core';
import {
	DeadlineOrder, defaultRateLimit, LeastCostOrder, type JobOrder, type RateLimit,
} from '@tamarackwind/scheduling';
import {minAccountWeight} from './accounts.js';
import {type Configuration} from './configurations.js';

export type OverloadSettings = {
	/** Order of the jobs of a pool; by default `least-cost` where the configuration has accounts, else `deadline`. */
	readonly order: 'deadline' | 'least-cost' | undefined;
	/** Whether jobs are refused; by default where the configuration has accounts. */
	readonly isRefusing: boolean | undefined;
	/** Number of jobs to which an account is entitled. */
	readonly rateLimit: RateLimit;
};

export const defaultOverloadSettings: OverloadSettings = {order: undefined, isRefusing: undefined, rateLimit: defaultRateLimit};

export type OverloadPolicyOptions = {
	readonly getSettings: () => OverloadSettings;
	readonly getConfiguration: () => Configuration | undefined;
};

/** Order of the jobs where nothing asks for another. */
export const deadlineOrder = DeadlineOrder.create();
const leastCostOrder = LeastCostOrder.create();

/** The settings in force; they may change with each version of the configuration. */
export class OverloadPolicy {
	static create(options: OverloadPolicyOptions): OverloadPolicy {
		return new OverloadPolicy(options);
	}

	private constructor(private readonly options: OverloadPolicyOptions) {}

	get order(): JobOrder {
		const order = this.options.getSettings().order ?? (this.#hasAccounts ? 'least-cost' : 'deadline');
		return order === 'least-cost' ? leastCostOrder : deadlineOrder;
	}

	get isRefusing(): boolean {
		return this.options.getSettings().isRefusing ?? this.#hasAccounts;
	}

	get rateLimit(): RateLimit {
		return this.options.getSettings().rateLimit;
	}

	/** Returns the weight of an account; the smallest for one that the configuration lacks. */
	getWeight(account: AccountName): number {
		return this.options.getConfiguration()?.accounts?.find(({name}) => name === account)?.weight ?? minAccountWeight;
	}

	get #hasAccounts(): boolean {
		return this.options.getConfiguration()?.accounts !== undefined;
	}
}
