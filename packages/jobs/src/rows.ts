/**
 * Tables in which jobs are kept.
 *
 * - `jobs`: one row a job. Entries insert it; after that only the holder of the duty writes it.
 * - `jobs-open`: a marker for each job that has not ended, so that a new holder reads only those.
 * - `jobs-inbox`: what the holder of the duty has not yet taken notice of; it deletes what it has taken.
 * - `jobs-control`: the row `cancels`, rewritten by every cancellation; the start of a job checks its version.
 * - `jobs-usage`: learned sizes and run times of a kind and caller.
 * - `jobs-answers`: explanations that an entry asked the holder for.
 * - `holds`: jobs that maintenance has to respect, by VM.
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

/** Row that every cancellation rewrites. */
export const cancelsKey: RowKey = {table: jobTables.control, key: 'cancels'};

/** What an entry tells the holder of the duty. */
export type InboxItem
	= | {readonly type: 'submitted'; readonly jobId: string}
		| {
			readonly type: 'cancelled';
			/** Caller whose jobs are meant; any caller's when an operator cancels. */
			readonly caller?: string;
			readonly selector: CancelSelector;
			/** Object that holds the ids when they are too many for a row. */
			readonly idsObject?: string;
		}
		| {readonly type: 'explained'; readonly jobId: string; readonly token: string};

/** Value of a row that maintenance reads. */
export type Hold = {readonly jobId: string; readonly canCheckpoint: boolean};

const callerDigits = 12;
const keyDigits = 32;

function hashText(text: string, digits: number): string {
	return createHash('sha256').update(text).digest('hex').slice(0, digits);
}

/** Prefix of the ids of a caller's jobs. */
export function buildCallerPrefix(caller: string): string {
	return `${hashText(caller, callerDigits)}-`;
}

/** Id of the job that a caller submits with a key; the same for the same caller and key. */
export function buildJobId(caller: string, key: string): JobId {
	return `${buildCallerPrefix(caller)}${hashText(JSON.stringify([caller, key]), keyDigits)}` as JobId;
}

/** Key of a job's row. */
export function buildJobKey(jobId: string): RowKey {
	return {table: jobTables.jobs, key: jobId};
}

/** Writes that insert a job. */
export function buildInsert(row: JobRow): Write[] {
	const item: InboxItem = {type: 'submitted', jobId: row.jobId};
	return [
		{...buildJobKey(row.jobId), value: row},
		{table: jobTables.open, key: row.jobId, value: {}},
		{table: jobTables.inbox, key: `submitted-${row.jobId}`, value: item},
	];
}

/** Key of the row that tells maintenance of a job on a VM. */
export function buildHoldKey(vmId: string, jobId: string): RowKey {
	return {table: jobTables.holds, key: `${vmId}/${jobId}`};
}
