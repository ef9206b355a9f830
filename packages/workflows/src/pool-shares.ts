/**
 * Fair shares of the accounts in one pool during a planning pass.
 */
import {type AccountName} from '@tamarackwind/core';
import {
	computeDominantShare, computeFairShares, noResources, rankShare, shareClasses, type Resources, type StepSpec,
} from '@tamarackwind/scheduling';
import {type AccountUse, type PoolAccounts} from './account-ledgers.js';

export type PoolSharesOptions = {
	readonly accounts: PoolAccounts;
	/** Capacity of the workers that accept new work. */
	readonly capacity: Resources;
};

/** Share of an account, as dominant shares of the pool. */
type AccountShare = {
	/** What the account is entitled to; infinite while what it asks for is not used up. */
	readonly entitled: number;
	/** Past use at the start of the pass, which hardly changes meanwhile. */
	readonly past: number;
};

/** Compares what accounts use in a pool with their fair shares. Jobs without an account count together as one account. */
export class PoolShares {
	static create(options: PoolSharesOptions): PoolShares {
		return new PoolShares(options);
	}

	readonly #options: PoolSharesOptions;
	readonly #shares = new Map<AccountName | undefined, AccountShare>();

	private constructor(options: PoolSharesOptions) {
		this.#options = options;
	}

	/** Divides the pool by what the accounts use and what their waiting steps ask for; returns the accounts that have their share. */
	computeShares(waiting: ReadonlyMap<AccountName | undefined, {readonly demand: Resources}>): Array<AccountName | undefined> {
		const {accounts, capacity} = this.#options;
		const names = [...new Set([...waiting.keys(), ...accounts.names])];
		const entitled = computeFairShares(names.map(name => accounts.describeClaim(name, waiting.get(name)?.demand ?? noResources)), capacity);
		for (const [index, name] of names.entries()) {
			this.#shares.set(name, {entitled: entitled[index]!, past: computeDominantShare(accounts.getPastUse(name), capacity)});
		}

		return names.filter((name, index) => computeDominantShare(this.getUse(name).used, capacity) >= entitled[index]!);
	}

	/** Returns what an account uses in the pool; the same object until it changes. */
	getUse(account: AccountName | undefined): AccountUse {
		return this.#options.accounts.getUse(account);
	}

	/** Ranks the next start of an account by its share; lower values come first. */
	rankStart(account: AccountName | undefined, {resources, isGang, count}: StepSpec): number {
		const share = this.#shares.get(account);
		if (share === undefined || share.entitled === Number.POSITIVE_INFINITY) {
			return shareClasses.below;
		}

		const {capacity} = this.#options;
		return rankShare({
			...share, used: computeDominantShare(this.getUse(account).used, capacity), need: computeDominantShare(resources, capacity) * (isGang ? count : 1),
		});
	}
}
