/**
 * Client accounts: who may submit jobs, and how much each may have running.
 */
import {type AccountName} from '@tamarackwind/core';
import {type Resources} from '@tamarackwind/scheduling';

/** A client account of the configuration. */
export type ClientAccount = {
	readonly name: AccountName;
	/** Share of the account when all capacity is in use, and the jobs per second up to which it is entitled to service. */
	readonly weight: number;
	/** What the account may have running over all pools; 0 in a dimension means no limit in that dimension. */
	readonly cap: Resources;
	/** SHA-256 hashes of the account's keys, in hexadecimal digits. */
	readonly keyHashes: readonly string[];
};

/** Weight of an account whose configuration names none, and of jobs without an account. */
export const minAccountWeight = 1;
