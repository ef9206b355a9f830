/**
 * Explanations of the state of a job.
 */
import {match} from 'ts-pattern';
import {type JobRow} from './schemas.js';

/** Explains why a job waits, or where it was placed and why. */
export function explainJobRow(row: JobRow, waitReason: string | undefined, isCancelled: boolean): string {
	const cancelled = isCancelled ? '; its cancellation was accepted' : '';
	const after = row.epoch === 0 || row.reason === undefined ? '' : `; before: ${row.reason}`;
	const text = match(row.state)
		.with('queued', () => `waits: ${waitReason ?? 'the next round of scheduling looks at it'}${after}`)
		.with('starting', 'running', state => `${state} on ${row.vmId}, run ${row.epoch}: ${row.reason}`)
		.otherwise(state => `${state}: ${row.reason}`);
	return `${text}${cancelled}`;
}
