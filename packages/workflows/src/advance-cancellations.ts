/**
 * Cancellations of jobs that are not stored. Each one cancels the jobs that its sender may cancel: another account can't cancel a job by its id before
 * the job is stored, either.
 */
import {type AccountName} from '@tamarackwind/core';
import {type Principal} from './principals.js';
import {type AdvanceCancellation, type AdvanceCancellationRow} from './records.js';

/** Reports whether an advance cancellation cancels the jobs of an account; one without an account belongs to everyone. */
export function hasCancelled({isForAll, accounts}: AdvanceCancellation, account: AccountName | undefined): boolean {
	return isForAll || account === undefined || accounts.includes(account);
}

/** Reports whether an advance cancellation already cancels every job that a principal may cancel. */
export function isCoveredFor({isForAll, accounts}: AdvanceCancellation, {account, isUnrestricted}: Principal): boolean {
	return isForAll || (!isUnrestricted && (account === undefined || accounts.includes(account.name)));
}

/** Creates the row of an advance cancellation that also cancels the jobs which a principal may cancel. */
export function addCanceller({isForAll, accounts}: AdvanceCancellation, {account, isUnrestricted}: Principal): AdvanceCancellationRow {
	const allAccounts = account === undefined ? accounts : [...accounts, account.name];
	return {...(isForAll || isUnrestricted ? {isForAll: true} : {}), ...(allAccounts.length === 0 ? {} : {accounts: allAccounts})};
}
