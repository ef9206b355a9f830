/**
 * Stand-in of the platform's metadata store: rows in tables, conditional transactions and a feed of changes, over HTTP. The operator and the
 * workers write to it directly.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {listenOnLoopback, readBody, sendJson} from './stand-in-servers.js';

const txMs = 8;
const readMs = 4;
const rowBytes = 65_536;
const maxEntries = 100;
const maxCallBytes = 1_000_000;
const maxRows = 500;
const historyMs = 20_000;
const protectedTables = new Set(['op', 'servers']);

export class StoreStandIn {
	static async create(record) {
		const store = new StoreStandIn(record);
		await store.#listen();
		return store;
	}

	#record;
	#rows = new Map();
	#changes = [];
	#version = 0;
	#forgottenVersion = 0;
	#watchers = new Set();
	#queues = new Map();
	#server;
	address = '';

	constructor(record) {
		this.#record = record;
	}

	/** Writes one row on behalf of the operator or a worker; removes it without a value. */
	putRow(table, key, value) {
		this.#apply([{
			table, part: '', key, value: value === undefined ? undefined : Buffer.from(JSON.stringify(value)).toString('base64'),
		}]);
	}

	/** Reads the value of a row. */
	readRow(table, part, key) {
		const row = this.#rows.get(formatKey({table, part, key}));
		return row === undefined ? undefined : JSON.parse(Buffer.from(row.value, 'base64').toString('utf8'));
	}

	close() {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	async #listen() {
		this.#server = createServer(async (request, response) => {
			try {
				await this.#handle(request, response);
			} catch (error) {
				sendJson(response, 400, {error: String(error)});
			}
		});
		this.address = await listenOnLoopback(this.#server);
	}

	async #handle(request, response) {
		const url = new URL(request.url, 'http://store');
		const body = await readBody(request);
		switch (url.pathname) {
			case '/tamarackwind/rows-tx': {
				await this.#commit(body, response);

				break;
			}

			case '/tamarackwind/rows-get': {
				await sleep(readMs);
				this.#getRows(url.searchParams, response);

				break;
			}

			case '/tamarackwind/rows-feed': {
				await this.#serveFeed(url.searchParams, response);

				break;
			}

			default: {
				sendJson(response, 404, {});
			}
		}
	}

	async #commit(body, response) {
		const {expectedRev = [], writes = [], remove = []} = JSON.parse(body);
		const entries = [...expectedRev, ...writes, ...remove];
		const parts = new Set(entries.map(({part}) => part));
		const reason = this.#findFault({
			body, entries, writes, remove, parts,
		});
		if (reason !== undefined) {
			this.#record.add(`store refuses a transaction with 400 or 403: ${reason}`);
			sendJson(response, reason === 'protected table' ? 403 : 400, {error: reason});
			return;
		}

		const [part] = parts;
		const previous = this.#queues.get(part) ?? Promise.resolve();
		const run = async () => {
			await previous;
			await sleep(txMs);
			const current = expectedRev.map(key => this.#rows.get(formatKey(key)));
			if (expectedRev.some(({ver}, index) => (current[index]?.ver ?? 0) !== ver)) {
				sendJson(response, 412, {rows: current.filter(row => row !== undefined), ver: this.#version, nowMs: Math.round(performance.now())});
				return;
			}

			this.#apply([...writes, ...remove.map(({table, part, key}) => ({table, part, key}))]);
			sendJson(response, 200, {ver: this.#version, nowMs: Math.round(performance.now())});
		};

		const done = run();
		this.#queues.set(part, done);
		await done;
	}

	#findFault({body, entries, writes, remove, parts}) {
		if ([...writes, ...remove].some(({table}) => protectedTables.has(table))) {
			return 'protected table';
		}

		if (entries.length > maxEntries || body.length > maxCallBytes) {
			return 'call is too large';
		}

		if (parts.size > 1) {
			return 'several parts';
		}

		// The limit is applied to the decoded value, the laxer of the two readings.
		const large = writes.find(({value}) => Buffer.byteLength(value, 'base64') > rowBytes);
		return large === undefined ? undefined : `value of row ${large.table}/${large.part}/${large.key} has ${Buffer.byteLength(large.value, 'base64')} bytes, more than rowBytes = ${rowBytes}`;
	}

	#apply(rows) {
		this.#version++;
		for (const row of rows) {
			const change = {...row, ver: this.#version};
			if (row.value === undefined) {
				this.#rows.delete(formatKey(row));
				change.removed = true;
			} else {
				this.#rows.set(formatKey(row), change);
			}

			this.#changes.push({change, at: performance.now()});
		}

		while (this.#changes.length > 0 && performance.now() - this.#changes[0].at > historyMs) {
			this.#forgottenVersion = this.#changes.shift().change.ver;
		}

		for (const wake of this.#watchers) {
			wake();
		}
	}

	#getRows(query, response) {
		const table = query.get('table');
		const part = query.get('part') ?? '';
		const from = query.get('from') ?? '';
		const to = query.get('to');
		const limit = Math.min(maxRows, Number(query.get('limit') ?? maxRows));
		const found = [...this.#rows.values()]
			.filter(row => row.table === table && row.part === part && row.key >= from && (to === null || row.key < to))
			.toSorted((a, b) => a.key < b.key ? -1 : 1);
		sendJson(response, 200, {
			rows: found.slice(0, limit), hasMore: found.length > limit, ver: this.#version, nowMs: Math.round(performance.now()),
		});
	}

	async #serveFeed(query, response) {
		const table = query.get('table');
		const after = Number(query.get('after'));
		if (after < this.#forgottenVersion) {
			sendJson(response, 410, {});
			return;
		}

		const list = () => this.#changes.map(({change}) => change).filter(change => change.table === table && change.ver > after);
		const deadline = performance.now() + Math.min(30_000, Number(query.get('waitMs')));
		while (list().length === 0 && performance.now() < deadline) {
			await this.#waitForChange(deadline - performance.now());
		}

		sendJson(response, 200, {rows: list(), ver: this.#version, nowMs: Math.round(performance.now())});
	}

	async #waitForChange(ms) {
		await new Promise(resolve => {
			const wake = () => {
				clearTimeout(timer);
				this.#watchers.delete(wake);
				resolve();
			};

			const timer = setTimeout(wake, ms);
			this.#watchers.add(wake);
		});
	}
}

function formatKey({table, part, key}) {
	return `${table}\n${part}\n${key}`;
}
