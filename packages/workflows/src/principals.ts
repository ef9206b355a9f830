/**
 * On whose behalf a request acts, and which jobs it may use.
 */
import {type AccountName} from '@tamarackwind/core';
import {type ClientAccount} from './accounts.js';

/** On whose behalf a request acts. */
export abstract class Principal {
	/** Account to which submitted jobs belong; `undefined` for jobs without an owner. */
	abstract readonly account: ClientAccount | undefined;
	/** Whether the jobs of every owner may be used. */
	abstract readonly isUnrestricted: boolean;
	/** Reports whether the jobs of an owner may be submitted again, queried and cancelled. */
	abstract hasAccess(owner: AccountName | undefined): boolean;
}

/** Principal of all requests where the configuration has no accounts: every job may be used. */
export class UncheckedPrincipal extends Principal {
	static create(): UncheckedPrincipal {
		return new UncheckedPrincipal();
	}

	override readonly account = undefined;
	override readonly isUnrestricted = true;

	override hasAccess(): boolean {
		return true;
	}
}

/** Principal of a request without a known key, which only open queues accept. */
export class AnonymousPrincipal extends Principal {
	static create(): AnonymousPrincipal {
		return new AnonymousPrincipal();
	}

	override readonly account = undefined;
	override readonly isUnrestricted = false;

	override hasAccess(owner: AccountName | undefined): boolean {
		return owner === undefined;
	}
}

/** Principal of a request with the key of an account. */
export class AccountPrincipal extends Principal {
	static create(account: ClientAccount): AccountPrincipal {
		return new AccountPrincipal(account);
	}

	override readonly isUnrestricted = false;

	private constructor(override readonly account: ClientAccount) {
		super();
	}

	override hasAccess(owner: AccountName | undefined): boolean {
		return owner === undefined || owner === this.account.name;
	}
}
