/**
 * Finds client accounts by their keys, of which only hashes are kept.
 */
import {hash, timingSafeEqual} from 'node:crypto';
import {type AccountName} from '@tamarackwind/core';
import {type ClientAccount} from './accounts.js';

const hashAlgorithm = 'sha256';

type KnownKey = {readonly digest: Uint8Array; readonly account: ClientAccount};

/** Hashes a key in the format of `ClientAccount.keyHashes`. */
export function hashAccountKey(key: string): string {
	return hash(hashAlgorithm, key, 'hex');
}

/**
 * The accounts of one configuration, by key. A key that several accounts have counts for none of them: it could give one account access to
 * the jobs of another.
 */
export class AccountDirectory {
	static create(accounts: readonly ClientAccount[]): AccountDirectory {
		const holders = new Map<string, Set<ClientAccount>>();
		for (const account of accounts) {
			for (const keyHash of account.keyHashes) {
				holders.set(keyHash, (holders.get(keyHash) ?? new Set()).add(account));
			}
		}

		return new AccountDirectory(holders);
	}

	/** Names of the accounts that have a key in common, one list for each such group. */
	readonly conflicts: ReadonlyArray<readonly AccountName[]>;
	readonly #keys: readonly KnownKey[];

	private constructor(holders: ReadonlyMap<string, ReadonlySet<ClientAccount>>) {
		const groups = new Map<string, readonly AccountName[]>();
		const keys: KnownKey[] = [];
		for (const [keyHash, accounts] of holders) {
			const [account] = accounts;
			if (accounts.size === 1) {
				keys.push({digest: Buffer.from(keyHash, 'hex'), account: account!});
			} else {
				const names = [...accounts].map(({name}) => name);
				groups.set(JSON.stringify(names), names);
			}
		}

		this.conflicts = [...groups.values()];
		this.#keys = keys;
	}

	/** Finds the account of a key. Every known hash is compared in constant time, so the duration does not depend on which one matches. */
	findAccount(key: string): ClientAccount | undefined {
		const digest = hash(hashAlgorithm, key, 'buffer');
		let found: ClientAccount | undefined;
		for (const known of this.#keys) {
			found = timingSafeEqual(known.digest, digest) ? known.account : found;
		}

		return found;
	}
}
