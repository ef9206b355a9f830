/**
 * Reads the inbox of the entry that holds the scheduler lease: new jobs, cancellations and requests for explanations.
 */
import {
	absentVersion, type ObjectStore, type Row, type TableService, type Write,
} from '@tamarackwind/clients';
import {type JobStore} from './job-stores.js';
import {cancelsKey, jobTables, type InboxItem} from './rows.js';
import {type JobRow} from './schemas.js';

export type JobInboxOptions = {
	readonly tables: TableService;
	readonly objects: ObjectStore;
	readonly store: JobStore;
	/** Explains why a job waits, or where it was placed and why. */
	readonly explainJob: (jobId: string) => string;
};

type CancelItem = Extract<InboxItem, {type: 'cancelled'}>;
type Cancellation = {readonly key: string; readonly version: number; readonly item: CancelItem; readonly jobIds: Set<string>; isComplete: boolean};

const scanLimit = 200;
/** Key that sorts after the keys of all cancellations and before all other keys. */
const lastCancelledKey = 'cancelled-~';

/** Reads the inbox each turn; the number of rows read does not grow with the number of open jobs. */
export class JobInbox {
	static create(options: JobInboxOptions): JobInbox {
		return new JobInbox(options);
	}

	readonly #options: JobInboxOptions;
	readonly #cancellations = new Map<string, Cancellation>();
	readonly #cancelled = new Set<string>();
	#cancelsVersion: number | undefined;
	#reads = 0;

	private constructor(options: JobInboxOptions) {
		this.#options = options;
	}

	/** Number of rows read. */
	get reads(): number {
		return this.#reads;
	}

	/** Version of the cancellation row up to which all cancellations have been read. */
	get cancelsVersion(): number {
		return this.#cancelsVersion ?? absentVersion;
	}

	/** Discards all state after the scheduler lease was acquired. */
	clear(): void {
		this.#cancellations.clear();
		this.#cancelled.clear();
		this.#cancelsVersion = undefined;
	}

	/** Reports whether an accepted cancellation applies to a job. */
	isCancelled(jobId: string): boolean {
		return this.#cancelled.has(jobId);
	}

	/** Lists the cancelled jobs that have not ended. */
	listCancelled(): JobRow[] {
		return [...this.#cancelled].flatMap(jobId => this.#options.store.getJob(jobId) ?? []);
	}

	/** Reads new cancellations, jobs and requests for explanations. */
	async readInbox(): Promise<void> {
		const {tables} = this.#options;
		await this.#readNewCancellations();
		const rows = await tables.scanRows(jobTables.inbox, {after: lastCancelledKey, limit: scanLimit});
		this.#reads += Math.max(1, rows.length);
		await this.#handleRows(rows);
		this.#applySelectors(rows.length < scanLimit);
	}

	/** Reads cancellations accepted since the last read and applies them to the jobs already read. */
	async readCancellations(): Promise<void> {
		await this.#readNewCancellations();
		this.#applySelectors(false);
	}

	/** Deletes the inbox rows of cancellations whose jobs have all ended. */
	async deleteCompleted(): Promise<void> {
		const {store} = this.#options;
		for (const cancellation of this.#cancellations.values()) {
			for (const jobId of cancellation.jobIds) {
				if (!store.hasJob(jobId)) {
					cancellation.jobIds.delete(jobId);
					this.#cancelled.delete(jobId);
				}
			}
		}

		const completed = [...this.#cancellations.values()].filter(({isComplete, jobIds}) => isComplete && jobIds.size === 0);
		if (completed.length > 0 && await store.commitWrites(completed.map(({key}) => ({table: jobTables.inbox, key})))) {
			for (const {key} of completed) {
				this.#cancellations.delete(key);
			}
		}
	}

	async #handleRows(rows: readonly Row[]): Promise<void> {
		if (rows.length === 0) {
			return;
		}

		const {store} = this.#options;
		const items = rows.map(row => ({item: row.value as InboxItem, version: row.version}));
		await store.readJobs(items.flatMap(({item, version}) => item.type === 'submitted' ? [{key: item.jobId, version}] : []));
		const explanations = items.flatMap(({item}) => item.type === 'explained' ? [this.#buildExplanation(item)] : []);
		await store.commitWrites([...explanations, ...rows.map(({table, key}) => ({table, key}))]);
	}

	#buildExplanation({jobId, token}: Extract<InboxItem, {type: 'explained'}>): Write {
		return {table: jobTables.answers, key: token, value: {text: this.#options.explainJob(jobId)}};
	}

	/** Reads the version of the cancellation row before the cancellations, so that none up to this version is missed. */
	async #readNewCancellations(): Promise<void> {
		const cancelsRow = await this.#options.tables.getRow(cancelsKey);
		this.#reads++;
		const version = cancelsRow?.version ?? absentVersion;
		if (version !== this.#cancelsVersion) {
			await this.#listCancellations();
			this.#cancelsVersion = version;
		}
	}

	async #listCancellations(): Promise<void> {
		const rows = await this.#options.tables.listRows(jobTables.inbox, 'cancelled-');
		this.#reads += Math.max(1, rows.length);
		for (const row of rows) {
			if (this.#cancellations.get(row.key)?.version !== row.version) {
				await this.#addCancellation(row);
			}
		}
	}

	async #addCancellation({key, version, value}: Row): Promise<void> {
		const {objects, store} = this.#options;
		const item = value as CancelItem;
		const stored = item.idsObject === undefined ? undefined : await objects.getObject(item.idsObject);
		const ids = stored === undefined ? item.selector.jobIds : JSON.parse(Buffer.from(stored).toString('utf8')) as string[];
		if (ids !== undefined) {
			await store.readJobs(ids.filter(jobId => !store.hasJob(jobId)).map(jobId => ({key: jobId, version: absentVersion})));
		}

		const selected = ids?.filter(jobId => this.#isSelected(jobId, item)) ?? [];
		this.#cancellations.set(key, {
			key, version, item, jobIds: new Set(selected), isComplete: ids !== undefined,
		});
		this.#markCancelled(selected);
	}

	/** Applies cancellations without job ids. Each is complete once every earlier row of the inbox has been read. */
	#applySelectors(isInboxRead: boolean): void {
		const {store} = this.#options;
		for (const cancellation of this.#cancellations.values()) {
			if (cancellation.isComplete) {
				continue;
			}

			const jobIds = store.listJobIds().filter(jobId => store.getInsertedVersion(jobId) < cancellation.version && this.#isSelected(jobId, cancellation.item));
			for (const jobId of jobIds) {
				cancellation.jobIds.add(jobId);
			}

			this.#markCancelled(jobIds);
			cancellation.isComplete = isInboxRead;
		}
	}

	#isSelected(jobId: string, {caller, selector}: CancelItem): boolean {
		const row = this.#options.store.findRow(jobId);
		return row !== undefined
			&& (caller === undefined || row.caller === caller)
			&& (selector.kind === undefined || row.spec.kind === selector.kind)
			&& (selector.workClass === undefined || row.spec.workClass === selector.workClass);
	}

	#markCancelled(jobIds: readonly string[]): void {
		for (const jobId of jobIds) {
			this.#cancelled.add(jobId);
		}
	}
}
