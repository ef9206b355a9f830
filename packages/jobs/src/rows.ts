/**
 * Tables that store jobs.
 *
 * - `jobs`: one row per job. Entries insert it; afterwards only the holder of the scheduler lease writes it.
 * - `jobs-open`: a marker for each job that has not ended, so that a new holder of the scheduler lease reads only those.
 * - `jobs-inbox`: messages to the holder of the scheduler lease, which deletes them once they are processed.
 * - `jobs-control`: the row `cancels`, which every cancellation rewrites; the start of a job checks its version.
 * - `jobs-usage`: observed sizes and run times by kind and caller.
 * - `jobs-answers`: explanations that entries requested from the holder of the scheduler lease.
 * - `holds`: jobs that maintenance must not interrupt, by VM.
 */
import {createHash} from 'node:crypto';
import {type JobId} from '@tamarackwind/core';
import {type RowKey, type Write} from '@tamarackwind/clients';
import {type CancelSelector, type JobRow} from './schemas.js';

export const jobTables = {
	jobs: 'jobs',
	open: 'jobs-open',
	inbox: 'jobs-inbox',
	control: 'jobs-control',
	usage: 'jobs-usage',
	answers: 'jobs-answers',
	holds: 'holds',
} as const;

/** Key of the row that every cancellation rewrites. */
export const cancelsKey: RowKey = {table: jobTables.control, key: 'cancels'};

/** Message of an entry to the holder of the scheduler lease. */
export type InboxItem
	= | {readonly type: 'submitted'; readonly jobId: string}
		| {
			readonly type: 'cancelled';
			/** Caller whose jobs are cancelled; when an operator cancels, `undefined` selects the jobs of any caller. */
			readonly caller?: string;
			readonly selector: CancelSelector;
			/** Object that stores the job ids if there are too many for a row. */
			readonly idsObject?: string;
		}
		| {readonly type: 'explained'; readonly jobId: string; readonly token: string};

/** Value of a row in `holds`, which maintenance reads. */
export type Hold = {readonly jobId: string; readonly canCheckpoint: boolean};

const callerDigits = 12;
const keyDigits = 32;

function hashText(text: string, digits: number): string {
	return createHash('sha256').update(text).digest('hex').slice(0, digits);
}

/** Builds the prefix of the ids of a caller's jobs. */
export function buildCallerPrefix(caller: string): string {
	return `${hashText(caller, callerDigits)}-`;
}

/** Builds the id of a job; deterministic for a caller and key. */
export function buildJobId(caller: string, key: string): JobId {
	return `${buildCallerPrefix(caller)}${hashText(JSON.stringify([caller, key]), keyDigits)}` as JobId;
}

/** Builds the key of a job's row. */
export function buildJobKey(jobId: string): RowKey {
	return {table: jobTables.jobs, key: jobId};
}

/** Builds the writes that insert a job. */
export function buildInsert(row: JobRow): Write[] {
	const item: InboxItem = {type: 'submitted', jobId: row.jobId};
	return [
		{...buildJobKey(row.jobId), value: row},
		{table: jobTables.open, key: row.jobId, value: {}},
		{table: jobTables.inbox, key: `submitted-${row.jobId}`, value: item},
	];
}

/** Builds the key of the row that protects a job on a VM from maintenance. */
export function buildHoldKey(vmId: string, jobId: string): RowKey {
	return {table: jobTables.holds, key: `${vmId}/${jobId}`};
}
