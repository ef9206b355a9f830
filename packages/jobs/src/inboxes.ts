/**
 * What the holder of the duty takes from the inbox: new jobs, cancellations and questions.
 */
import {
	absentVersion, type ObjectStore, type Row, type TableService, type Write,
} from '@tamarackwind/clients';
import {type JobLedger} from './ledgers.js';
import {cancelsKey, jobTables, type InboxItem} from './rows.js';
import {type JobRow} from './schemas.js';

export type JobInboxOptions = {
	readonly tables: TableService;
	readonly objects: ObjectStore;
	readonly ledger: JobLedger;
	/** Says why a job waits or where it was placed. */
	readonly explainJob: (jobId: string) => string;
};

type CancelItem = Extract<InboxItem, {type: 'cancelled'}>;
type Cancellation = {readonly key: string; readonly version: number; readonly item: CancelItem; readonly jobIds: Set<string>; isWhole: boolean};

const scanLimit = 200;
/** Sorts after every key of a cancellation and before every other. */
const lastCancelledKey = 'cancelled-~';

/** Reads the inbox turn by turn, at a cost that does not grow with the number of open jobs. */
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

	/** Rows read so far. */
	get reads(): number {
		return this.#reads;
	}

	/** Version of the row that every cancellation rewrites, up to which all cancellations are known. */
	get cancelsVersion(): number {
		return this.#cancelsVersion ?? absentVersion;
	}

	/** Forgets everything, for a new term of the duty. */
	clear(): void {
		this.#cancellations.clear();
		this.#cancelled.clear();
		this.#cancelsVersion = undefined;
	}

	/** Tells whether the cancellation of a job was accepted. */
	isCancelled(jobId: string): boolean {
		return this.#cancelled.has(jobId);
	}

	/** Jobs whose cancellation was accepted and that have not ended. */
	listCancelled(): JobRow[] {
		return [...this.#cancelled].flatMap(jobId => this.#options.ledger.getJob(jobId) ?? []);
	}

	/** Takes notice of what has come in. */
	async readInbox(): Promise<void> {
		const {tables} = this.#options;
		const head = await tables.getRow(cancelsKey);
		this.#reads++;
		const version = head?.version ?? absentVersion;
		if (version !== this.#cancelsVersion) {
			await this.#readCancellations();
			this.#cancelsVersion = version;
		}

		const rows = await tables.scanRows(jobTables.inbox, {after: lastCancelledKey, limit: scanLimit});
		this.#reads += Math.max(1, rows.length);
		await this.#takeRows(rows);
		this.#selectJobs(rows.length < scanLimit);
	}

	/** Deletes the markers of cancellations whose jobs have all ended. */
	async deleteSettled(): Promise<void> {
		const {ledger} = this.#options;
		for (const cancellation of this.#cancellations.values()) {
			for (const jobId of cancellation.jobIds) {
				if (!ledger.hasJob(jobId)) {
					cancellation.jobIds.delete(jobId);
					this.#cancelled.delete(jobId);
				}
			}
		}

		const settled = [...this.#cancellations.values()].filter(({isWhole, jobIds}) => isWhole && jobIds.size === 0);
		if (settled.length > 0 && await ledger.commitWrites(settled.map(({key}) => ({table: jobTables.inbox, key})))) {
			for (const {key} of settled) {
				this.#cancellations.delete(key);
			}
		}
	}

	async #takeRows(rows: readonly Row[]): Promise<void> {
		if (rows.length === 0) {
			return;
		}

		const {ledger} = this.#options;
		const items = rows.map(row => ({item: row.value as InboxItem, version: row.version}));
		await ledger.readJobs(items.flatMap(({item, version}) => item.type === 'submitted' ? [{key: item.jobId, version}] : []));
		const answers = items.flatMap(({item}) => item.type === 'explained' ? [this.#buildAnswer(item)] : []);
		await ledger.commitWrites([...answers, ...rows.map(({table, key}) => ({table, key}))]);
	}

	#buildAnswer({jobId, token}: Extract<InboxItem, {type: 'explained'}>): Write {
		return {table: jobTables.answers, key: token, value: {text: this.#options.explainJob(jobId)}};
	}

	async #readCancellations(): Promise<void> {
		const rows = await this.#options.tables.listRows(jobTables.inbox, 'cancelled-');
		this.#reads += Math.max(1, rows.length);
		for (const row of rows) {
			if (this.#cancellations.get(row.key)?.version !== row.version) {
				await this.#addCancellation(row);
			}
		}
	}

	async #addCancellation({key, version, value}: Row): Promise<void> {
		const {objects, ledger} = this.#options;
		const item = value as CancelItem;
		const stored = item.idsObject === undefined ? undefined : await objects.getObject(item.idsObject);
		const ids = stored === undefined ? item.selector.jobIds : JSON.parse(Buffer.from(stored).toString('utf8')) as string[];
		if (ids !== undefined) {
			await ledger.readJobs(ids.filter(jobId => !ledger.hasJob(jobId)).map(jobId => ({key: jobId, version: absentVersion})));
		}

		const selected = ids?.filter(jobId => this.#isSelected(jobId, item)) ?? [];
		this.#cancellations.set(key, {
			key, version, item, jobIds: new Set(selected), isWhole: ids !== undefined,
		});
		this.#markCancelled(selected);
	}

	/** Applies cancellations that name no ids; each is whole once the inbox held nothing older than it. */
	#selectJobs(isDrained: boolean): void {
		const {ledger} = this.#options;
		for (const cancellation of this.#cancellations.values()) {
			if (cancellation.isWhole) {
				continue;
			}

			const jobIds = ledger.listJobIds().filter(jobId => ledger.getInsertedVersion(jobId) < cancellation.version && this.#isSelected(jobId, cancellation.item));
			for (const jobId of jobIds) {
				cancellation.jobIds.add(jobId);
			}

			this.#markCancelled(jobIds);
			cancellation.isWhole = isDrained;
		}
	}

	#isSelected(jobId: string, {caller, selector}: CancelItem): boolean {
		const row = this.#options.ledger.findRow(jobId);
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
