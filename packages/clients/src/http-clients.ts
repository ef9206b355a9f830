/**
 * HTTP clients of the platform's services. docs/PLATFORM.md describes the protocol.
 */
import {type PlatformConnection, parseResponse} from './connections.js';
import {ObjectStore, type PutOptions} from './objects.js';
import {
	TableService, type CommitOutcome, type Row, type RowKey, type ScanOptions, type Transaction,
} from './tables.js';
import {
	TaskControl, type TaskRun, type TaskStart, type TaskStatus,
} from './tasks.js';
import {
	VmControl, VmList, applyListingChange, type VmListing, type VmListingChange,
} from './vms.js';

/** HTTP client of the table service. */
export class HttpTableService extends TableService {
	static create(connection: PlatformConnection): HttpTableService {
		return new HttpTableService(connection);
	}

	readonly #connection: PlatformConnection;

	private constructor(connection: PlatformConnection) {
		super();
		this.#connection = connection;
	}

	override async getRows(keys: readonly RowKey[]): Promise<Array<Row | undefined>> {
		const response = await this.#connection.send({method: 'POST', path: '/tables/read', json: {keys}});
		const {rows} = parseResponse<{rows: Array<Row | null>}>(response); // eslint-disable-line @typescript-eslint/no-restricted-types
		return rows.map(row => row ?? undefined);
	}

	override async scanRows(table: string, options: ScanOptions = {}): Promise<Row[]> {
		const response = await this.#connection.send({method: 'POST', path: '/tables/scan', json: {table, ...options}});
		return parseResponse<{rows: Row[]}>(response).rows;
	}

	override async commit(transaction: Transaction): Promise<CommitOutcome> {
		const response = await this.#connection.send({method: 'POST', path: '/tables/commit', json: transaction});
		return parseResponse<CommitOutcome>(response);
	}

	override async close(): Promise<void> {
		await this.#connection.close();
	}
}

/** HTTP client of the object store. */
export class HttpObjectStore extends ObjectStore {
	static create(connection: PlatformConnection): HttpObjectStore {
		return new HttpObjectStore(connection);
	}

	readonly #connection: PlatformConnection;

	private constructor(connection: PlatformConnection) {
		super();
		this.#connection = connection;
	}

	override async putObject(name: string, bytes: Uint8Array, options: PutOptions = {}): Promise<boolean> {
		const query = options.ifAbsent ? '?if-absent=1' : '';
		const response = await this.#connection.send({method: 'PUT', path: `/objects/${encodeURIComponent(name)}${query}`, bytes});
		return response.status !== 412;
	}

	override async getObject(name: string): Promise<Uint8Array | undefined> {
		const response = await this.#connection.send({method: 'GET', path: `/objects/${encodeURIComponent(name)}`});
		return response.status === 404 ? undefined : response.body;
	}

	override async deleteObject(name: string): Promise<void> {
		await this.#connection.send({method: 'DELETE', path: `/objects/${encodeURIComponent(name)}`});
	}

	override async listObjects(prefix: string): Promise<string[]> {
		const response = await this.#connection.send({method: 'GET', path: `/objects?prefix=${encodeURIComponent(prefix)}`});
		return parseResponse<{names: string[]}>(response).names;
	}

	override async close(): Promise<void> {
		await this.#connection.close();
	}
}

/** HTTP client of the VM list. */
export class HttpVmList extends VmList {
	static create(connection: PlatformConnection): HttpVmList {
		return new HttpVmList(connection);
	}

	#listing: VmListing | undefined;
	readonly #connection: PlatformConnection;

	private constructor(connection: PlatformConnection) {
		super();
		this.#connection = connection;
	}

	/** Requests only the changes since the last call; returns the same object when there are none. */
	override async listVms(): Promise<VmListing> {
		const previous = this.#listing;
		const query = previous === undefined ? '' : `?since=${previous.generation}`;
		const change = parseResponse<VmListingChange>(await this.#connection.send({method: 'GET', path: `/vms${query}`}));
		this.#listing = applyListingChange(previous, change) ?? await this.#readFullListing();
		return this.#listing;
	}

	override async close(): Promise<void> {
		await this.#connection.close();
	}

	async #readFullListing(): Promise<VmListing> {
		return parseResponse<VmListing>(await this.#connection.send({method: 'GET', path: '/vms'}));
	}
}

/** HTTP client of the VM control. */
export class HttpVmControl extends VmControl {
	static create(connection: PlatformConnection): HttpVmControl {
		return new HttpVmControl(connection);
	}

	readonly #connection: PlatformConnection;

	private constructor(connection: PlatformConnection) {
		super();
		this.#connection = connection;
	}

	override async rebootVm(vmId: string, token: string): Promise<void> {
		await this.#connection.send({method: 'POST', path: `/vms/${encodeURIComponent(vmId)}/reboot`, json: {token}});
	}

	override async close(): Promise<void> {
		await this.#connection.close();
	}
}

/** HTTP client of the task control. */
export class HttpTaskControl extends TaskControl {
	static create(connection: PlatformConnection): HttpTaskControl {
		return new HttpTaskControl(connection);
	}

	readonly #connection: PlatformConnection;

	private constructor(connection: PlatformConnection) {
		super();
		this.#connection = connection;
	}

	override async startTask(start: TaskStart): Promise<boolean> {
		return (await this.#request<{started: boolean}>(start.vmId, 'start', start)).started;
	}

	override async renewTask(run: TaskRun, leaseMs: number, renewBy?: number): Promise<boolean> {
		return (await this.#request<{renewed: boolean}>(run.vmId, 'renew', {...run, leaseMs, renewBy})).renewed;
	}

	override async checkpointTask(run: TaskRun): Promise<string | undefined> {
		return (await this.#request<{checkpoint?: string}>(run.vmId, 'checkpoint', run)).checkpoint;
	}

	override async throttleTask(run: TaskRun, cores: number): Promise<void> {
		await this.#request(run.vmId, 'throttle', {...run, cores});
	}

	override async stopTask(run: TaskRun): Promise<void> {
		await this.#request(run.vmId, 'stop', run);
	}

	override async listTasks(vmId: string): Promise<TaskStatus[]> {
		return (await this.#request<{tasks: TaskStatus[]}>(vmId, 'list', {})).tasks;
	}

	override async close(): Promise<void> {
		await this.#connection.close();
	}

	async #request<T>(vmId: string, action: string, json: unknown): Promise<T> {
		return parseResponse<T>(await this.#connection.send({method: 'POST', path: `/vms/${encodeURIComponent(vmId)}/tasks/${action}`, json}));
	}
}
