/**
 * Checks at each start of an emulated run that the caps of accounts are kept.
 */
import {type AccountName} from '@tamarackwind/core';
import {
	isCapped, isWithinCap, type Resources, type StepSpec,
} from '@tamarackwind/scheduling';
import {type ClientAccount} from '@tamarackwind/workflows';

/** What the runs of an account use when one of them starts. */
export type CapUse = {
	readonly account: AccountName;
	readonly step: StepSpec;
	/** Runs of the account, without the started one and those that started with it as one gang. */
	readonly others: Resources;
	/** Number of tasks of the gang that run, with the started one; 1 for a task that is in none. */
	readonly count: number;
};

/** Time for which a start may follow from an earlier version of the configuration, in milliseconds: the longest delay of an order, and that of the version. */
const noticeMs = 12_000;

/** Judges starts by the caps in force, and by those that were until a moment ago. */
export class CapCheck {
	static create(): CapCheck {
		return new CapCheck();
	}

	#versions: Array<{readonly accounts: readonly ClientAccount[]; until: number}> = [];

	private constructor() {}

	/** Puts the accounts of a configuration in force. */
	setAccounts(accounts: readonly ClientAccount[], now: number): void {
		const current = this.#versions.at(-1);
		if (current !== undefined) {
			current.until = now;
		}

		this.#versions = [...this.#versions.filter(({until}) => now - until <= noticeMs), {accounts, until: Number.POSITIVE_INFINITY}];
	}

	/** Returns the cap in force of an account; `undefined` if it has none. */
	getCap(name: AccountName | undefined): Resources | undefined {
		return findCap(this.#versions.at(-1)?.accounts ?? [], name);
	}

	/** Reports whether a start is within a cap that the holder may have applied. */
	isAllowed({account, step, others, count}: CapUse, now: number): boolean {
		return this.#versions.length === 0 || this.#versions.some(({accounts, until}) => {
			const cap = findCap(accounts, account);
			return now - until <= noticeMs && (cap === undefined || isWithinCap({
				cap, used: others, task: step.resources, count,
			}));
		});
	}
}

function findCap(accounts: readonly ClientAccount[], name: AccountName | undefined): Resources | undefined {
	const cap = accounts.find(account => account.name === name)?.cap;
	return cap !== undefined && isCapped(cap) ? cap : undefined;
}
