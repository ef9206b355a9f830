/**
 * Lays out the progress of a job over rows of the table service, whose size is limited. A small job has one row. A larger one has a head
 * row with its state, and further rows with the progress of a fixed number of consecutive tasks each.
 */
import {type RowKey, type TableLimits} from '@tamarackwind/clients';
import {type Job, type JobSpec} from './jobs.js';
import {getProgressKey} from './table-keys.js';

/** Upper bound of the encoded size of one task and of its share of a step, in bytes: the longest worker id, checkpoint and numbers. */
const maxTaskBytes = 800;
/** Upper bound of the encoded size of what else a head row holds, without the account, in bytes. */
const headBytes = 100;
/** Maximum number of tasks of a job with one row. */
const maxSingleRowTasks = 64;
/** Maximum number of tasks in a further row of a larger job: each change of one of them writes all. */
const maxTasksPerRow = 32;
/** Maximum size of a checkpoint that is kept in progress, in bytes of its JSON; a task with a longer one starts anew if its worker is lost. */
export const maxCheckpointBytes = 256;

/** Index of the head row. */
export const headRow = -1;

/** Position of a task within its job. */
export type TaskPosition = {readonly occurrence: number; readonly step: number; readonly index: number};

/** Maps the tasks of one job to its progress rows. */
export class ProgressLayout {
	/** Creates the layout for a job without progress; the first row also holds the account of the job. */
	static create(spec: JobSpec & Pick<Job, 'account'>, {valueBytes}: TableLimits): ProgressLayout {
		const limit = Math.max(1, Math.floor((valueBytes - headBytes - countAccountBytes(spec)) / maxTaskBytes));
		return new ProgressLayout(spec, countTasks(spec) <= Math.min(maxSingleRowTasks, limit) ? undefined : Math.min(maxTasksPerRow, limit));
	}

	/** Restores the layout with which an earlier holder wrote the progress of a job. */
	static restore(spec: JobSpec, tasksPerRow: number | undefined): ProgressLayout {
		return new ProgressLayout(spec, tasksPerRow);
	}

	/** Number of tasks before each step of an occurrence. */
	readonly #offsets: readonly number[];
	readonly #tasksPerOccurrence: number;
	readonly #taskCount: number;

	/** `tasksPerRow` is `undefined` for a job with one row. */
	private constructor(spec: JobSpec, readonly tasksPerRow: number | undefined) {
		let sum = 0;
		this.#offsets = spec.steps.map(({count}) => {
			sum += count;
			return sum - count;
		});
		this.#tasksPerOccurrence = sum;
		this.#taskCount = countTasks(spec);
	}

	/** Number of rows besides the head row. */
	get rowCount(): number {
		return this.tasksPerRow === undefined ? 0 : Math.ceil(this.#taskCount / this.tasksPerRow);
	}

	/** Returns the index of the row that holds a task. */
	findRow({occurrence, step, index}: TaskPosition): number {
		const ordinal = (occurrence * this.#tasksPerOccurrence) + this.#offsets[step]! + index;
		return this.tasksPerRow === undefined ? headRow : Math.floor(ordinal / this.tasksPerRow);
	}

	/** Lists the positions of the tasks in a row besides the head row. */
	listPositions(row: number): TaskPosition[] {
		const size = this.tasksPerRow ?? 0;
		const end = Math.min(this.#taskCount, (row + 1) * size);
		return Array.from({length: end - (row * size)}, (_, index) => this.#findPosition((row * size) + index));
	}

	/** Returns the key of a row. */
	getKey({service, id}: Job, row: number): RowKey {
		const head = getProgressKey(service, id);
		return row === headRow ? head : {...head, key: `${id}${partSeparator}${row}`};
	}

	/** Lists the keys of all rows. */
	listKeys(job: Job): RowKey[] {
		return Array.from({length: this.rowCount + 1}, (_, index) => this.getKey(job, index - 1));
	}

	#findPosition(ordinal: number): TaskPosition {
		const rest = ordinal % this.#tasksPerOccurrence;
		const step = this.#offsets.findLastIndex(offset => offset <= rest);
		return {occurrence: Math.floor(ordinal / this.#tasksPerOccurrence), step, index: rest - this.#offsets[step]!};
	}
}

/** Separates the id of a job from the index of a further progress row in its key. */
export const partSeparator = '/';

/** Computes the size of a row that holds the progress of one task of a job whatever becomes of it, in bytes. */
export function computeMinRowBytes(spec: Pick<Job, 'account'>): number {
	return headBytes + countAccountBytes(spec) + maxTaskBytes;
}

function countAccountBytes({account}: Pick<Job, 'account'>): number {
	return account === undefined ? 0 : Buffer.byteLength(JSON.stringify({account}));
}

/** Counts the tasks of a job over all of its occurrences. */
function countTasks({steps, schedule}: JobSpec): number {
	return steps.reduce((sum, {count}) => sum + count, 0) * (schedule?.repetitions ?? 1);
}
