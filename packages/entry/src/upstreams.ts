/**
 * Connections to upstream workers. Each one has its own undici client, so that non-idempotent requests can use a fresh
 * connection and a request can be aborted while its connection opens.
 */
import {VerdictError, type Clock} from '@tamarackwind/core';
import {type VmRecord} from '@tamarackwind/clients';
import {Client} from 'undici';

const connectTimeoutMs = 1000;
/**
 * Time after which an idle connection is closed, in milliseconds. It is below the 5 s after which many servers close
 * theirs.
 */
const keepAliveTimeoutMs = 4000;
/** Longest wait for a connection while all allowed connections are busy, in milliseconds. */
const busyTimeoutMs = 1000;

type DisconnectListener = (connection: UpstreamConnection) => void;

/** A connection to a worker that carries one request at a time. */
export class UpstreamConnection {
	static create(origin: string, onDisconnect: DisconnectListener): UpstreamConnection {
		return new UpstreamConnection(origin, onDisconnect);
	}

	readonly client: Client;
	/** Monotonic time of the end of the last request, in milliseconds. */
	idleSince = 0;

	private constructor(origin: string, onDisconnect: DisconnectListener) {
		this.client = new Client(origin, {
			pipelining: 1,
			keepAliveTimeout: keepAliveTimeoutMs,
			keepAliveMaxTimeout: keepAliveTimeoutMs,
			headersTimeout: 0,
			bodyTimeout: 0,
			connect: {timeout: connectTimeoutMs},
		});
		this.client.on('disconnect', () => {
			onDisconnect(this);
		});
	}

	/** Closes the connection and aborts its request. */
	close(): void {
		void this.client.destroy();
	}
}

type Waiter = {readonly wake: () => void};

/** Connection pool of one worker. */
class ConnectionPool {
	readonly #origin: string;
	readonly #clock: Clock;
	readonly #idle: UpstreamConnection[] = [];
	readonly #busy = new Set<UpstreamConnection>();
	readonly #waiters: Waiter[] = [];

	constructor(origin: string, clock: Clock) {
		this.#origin = origin;
		this.#clock = clock;
	}

	get isEmpty(): boolean {
		return this.#idle.length === 0 && this.#busy.size === 0 && this.#waiters.length === 0;
	}

	/** Returns the idle connection that was used last, or opens a new one. */
	async acquire(limit: number, maxIdleMs: number): Promise<UpstreamConnection> {
		if (this.#busy.size >= limit) {
			await this.#waitForRelease();
		}

		const connection = this.#takeIdle(maxIdleMs) ?? this.#open(limit);
		this.#busy.add(connection);
		return connection;
	}

	/** Opens a connection; closes idle connections first if the limit requires it. */
	#open(limit: number): UpstreamConnection {
		while (this.#idle.length > 0 && this.#idle.length + this.#busy.size >= limit) {
			this.#idle.shift()!.close();
		}

		return UpstreamConnection.create(this.#origin, disconnected => {
			this.#removeIdle(disconnected);
		});
	}

	release(connection: UpstreamConnection, isReusable: boolean): void {
		this.#busy.delete(connection);
		if (isReusable) {
			connection.idleSince = this.#clock.readMonotonic();
			this.#idle.push(connection);
		} else {
			connection.close();
		}

		this.#waiters.shift()?.wake();
	}

	close(): void {
		for (const connection of [...this.#idle, ...this.#busy]) {
			connection.close();
		}
	}

	#takeIdle(maxIdleMs: number): UpstreamConnection | undefined {
		const connection = this.#idle.at(-1);
		if (connection === undefined || this.#clock.readMonotonic() - connection.idleSince > maxIdleMs) {
			return undefined;
		}

		return this.#idle.pop();
	}

	#removeIdle(connection: UpstreamConnection): void {
		const index = this.#idle.indexOf(connection);
		if (index !== -1) {
			this.#idle.splice(index, 1);
			connection.close();
		}
	}

	async #waitForRelease(): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			const waiter = {
				wake() {
					clearTimeout(timer);
					resolve();
				},
			};
			const timer = setTimeout(() => {
				this.#waiters.splice(this.#waiters.indexOf(waiter), 1);
				const error: Error = new VerdictError(`all connections to ${this.#origin} stayed busy for ${busyTimeoutMs} ms`, {verdict: 'not-run', code: 'connections_busy'});
				reject(error);
			}, busyTimeoutMs);
			this.#waiters.push(waiter);
		});
	}
}

export type AcquireConnectionOptions = {
	/** Maximum number of connections from this entry to the worker, including idle ones. */
	readonly limit: number;
	/** Longest idle time of a connection that may be reused, in milliseconds. */
	readonly maxIdleMs: number;
};

/** Manages the connection pools of all workers. */
export class Upstreams {
	static create(clock: Clock): Upstreams {
		return new Upstreams(clock);
	}

	readonly #clock: Clock;
	readonly #pools = new Map<string, ConnectionPool>();

	private constructor(clock: Clock) {
		this.#clock = clock;
	}

	/**
	 * Acquires a connection to a worker for one request. A new connection opens when the request is dispatched.
	 *
	 * @throws {VerdictError} `not-run`, with code `connections_busy`.
	 */
	async acquireConnection(vm: VmRecord, {limit, maxIdleMs}: AcquireConnectionOptions): Promise<UpstreamConnection> {
		const origin = formatOrigin(vm);
		const pool = this.#pools.get(origin) ?? new ConnectionPool(origin, this.#clock);
		this.#pools.set(origin, pool);
		return pool.acquire(limit, maxIdleMs);
	}

	/** Returns a connection to its pool, or closes it unless `isReusable`. */
	releaseConnection(vm: VmRecord, connection: UpstreamConnection, isReusable: boolean): void {
		this.#pools.get(formatOrigin(vm))?.release(connection, isReusable);
		for (const [origin, pool] of this.#pools) {
			if (pool.isEmpty) {
				this.#pools.delete(origin);
			}
		}
	}

	/** Closes all connections and aborts their requests. */
	async close(): Promise<void> {
		for (const pool of this.#pools.values()) {
			pool.close();
		}

		this.#pools.clear();
	}
}

function formatOrigin({address, port}: VmRecord): string {
	return address.includes(':') ? `http://[${address}]:${port}` : `http://${address}:${port}`;
}
