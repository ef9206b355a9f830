/**
 * HTTP clients of the platform. docs/PLATFORM.md describes the protocol.
 */
import {type PlatformConnection, parseAnswer} from './connections.js';
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

/** Table service over HTTP. */
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
		const answer = await this.#connection.send({method: 'POST', path: '/tables/read', json: {keys}});
		const {rows} = parseAnswer<{rows: Array<Row | null>}>(answer); // eslint-disable-line @typescript-eslint/no-restricted-types
		return rows.map(row => row ?? undefined);
	}

	override async scanRows(table: string, options: ScanOptions = {}): Promise<Row[]> {
		const answer = await this.#connection.send({method: 'POST', path: '/tables/scan', json: {table, ...options}});
		return parseAnswer<{rows: Row[]}>(answer).rows;
	}

	override async commit(transaction: Transaction): Promise<CommitOutcome> {
		const answer = await this.#connection.send({method: 'POST', path: '/tables/commit', json: transaction});
		return parseAnswer<CommitOutcome>(answer);
	}

	override async close(): Promise<void> {
		await this.#connection.close();
	}
}

/** Object store over HTTP. */
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
		const answer = await this.#connection.send({method: 'PUT', path: `/objects/${encodeURIComponent(name)}${query}`, bytes});
		return answer.status !== 412;
	}

	override async getObject(name: string): Promise<Uint8Array | undefined> {
		const answer = await this.#connection.send({method: 'GET', path: `/objects/${encodeURIComponent(name)}`});
		return answer.status === 404 ? undefined : answer.body;
	}

	override async deleteObject(name: string): Promise<void> {
		await this.#connection.send({method: 'DELETE', path: `/objects/${encodeURIComponent(name)}`});
	}

	override async listObjects(prefix: string): Promise<string[]> {
		const answer = await this.#connection.send({method: 'GET', path: `/objects?prefix=${encodeURIComponent(prefix)}`});
		return parseAnswer<{names: string[]}>(answer).names;
	}

	override async close(): Promise<void> {
		await this.#connection.close();
	}
}

/** List of VMs over HTTP. */
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

	/** Asks only for what changed since the last call; gives the same object when nothing did. */
	override async listVms(): Promise<VmListing> {
		const known = this.#listing;
		const query = known === undefined ? '' : `?since=${known.generation}`;
		const change = parseAnswer<VmListingChange>(await this.#connection.send({method: 'GET', path: `/vms${query}`}));
		this.#listing = applyListingChange(known, change) ?? await this.#readWhole();
		return this.#listing;
	}

	override async close(): Promise<void> {
		await this.#connection.close();
	}

	async #readWhole(): Promise<VmListing> {
		return parseAnswer<VmListing>(await this.#connection.send({method: 'GET', path: '/vms'}));
	}
}

/** Control of VMs over HTTP. */
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

/** Control of tasks over HTTP. */
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
		return (await this.#call<{started: boolean}>(start.vmId, 'start', start)).started;
	}

	override async renewTask(run: TaskRun, leaseMs: number, renewBy?: number): Promise<boolean> {
		return (await this.#call<{renewed: boolean}>(run.vmId, 'renew', {...run, leaseMs, renewBy})).renewed;
	}

	override async checkpointTask(run: TaskRun): Promise<string | undefined> {
		return (await this.#call<{checkpoint?: string}>(run.vmId, 'checkpoint', run)).checkpoint;
	}

	override async throttleTask(run: TaskRun, cores: number): Promise<void> {
		await this.#call(run.vmId, 'throttle', {...run, cores});
	}

	override async stopTask(run: TaskRun): Promise<void> {
		await this.#call(run.vmId, 'stop', run);
	}

	override async listTasks(vmId: string): Promise<TaskStatus[]> {
		return (await this.#call<{tasks: TaskStatus[]}>(vmId, 'list', {})).tasks;
	}

	override async close(): Promise<void> {
		await this.#connection.close();
	}

	async #call<T>(vmId: string, action: string, json: unknown): Promise<T> {
		return parseAnswer<T>(await this.#connection.send({method: 'POST', path: `/vms/${encodeURIComponent(vmId)}/tasks/${action}`, json}));
	}
}
