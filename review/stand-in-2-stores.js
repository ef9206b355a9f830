/**
 * Stand-in of the platform's store: rows with versions, transactions under conditions, and a feed of changes.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {JsonServer} from './stand-in-2-servers.js';

const usualAnswerMs = 4;
const usualTransactionMs = 8;
const maxRows = 500;
const maxEntries = 100;

export class Store {
	static async create(record) {
		const store = new Store(record);
		store.#server = await JsonServer.create(async request => store.#handle(request));
		return store;
	}

	/** Factor of all times, and whether the store turns all calls away or leaves them unanswered. */
	slowness = 1;
	state = 'up';
	/** Called with each transaction; returns how long it is held back before it is carried out without an answer, or `undefined`. */
	delayTransaction = () => undefined;
	#server;
	#rows = new Map();
	#changes = [];
	#version = 0;
	#watchers = new Set();
	/** End of the last transaction of each part. */
	#parts = new Map();
	#record;

	constructor(record) {
		this.#record = record;
	}

	get address() {
		return this.#server.address;
	}

	/** Writes a row as the operator or a worker does. */
	putRow(table, key, value) {
		this.#version++;
		this.#write({table, part: '', key}, Buffer.from(JSON.stringify(value)).toString('base64'));
		this.#resolveWatches();
	}

	/** Removes a row, as the platform does with the entry of a silent worker. */
	removeRow(table, key) {
		if (this.#rows.has(formatKey({table, part: '', key}))) {
			this.#version++;
			this.#write({table, part: '', key}, undefined);
			this.#resolveWatches();
		}
	}

	readRow(table, key, part = '') {
		const row = this.#rows.get(formatKey({table, part, key}));
		return row === undefined ? undefined : JSON.parse(Buffer.from(row.value, 'base64').toString('utf8'));
	}

	/** Lists the values of a table by key. */
	listRows(table) {
		return [...this.#rows.values()].filter(row => row.table === table).map(({part, key, value}) => ({part, key, value: JSON.parse(Buffer.from(value, 'base64').toString('utf8'))}));
	}

	resetConnections() {
		this.#server.resetConnections();
	}

	close() {
		this.#server.close();
	}

	async #handle({method, url, body}) {
		if (this.state === 'silent') {
			return undefined;
		}

		if (this.state === 'busy') {
			return {status: 503};
		}

		const call = `${method} ${url.pathname}`;
		if (call === 'POST /tamarackwind/rows-tx') {
			return this.#commitTransaction(body);
		}

		if (call === 'GET /tamarackwind/rows-get') {
			await sleep(usualAnswerMs * this.slowness);
			return {status: 200, body: this.#readRange(url.searchParams)};
		}

		if (call === 'GET /tamarackwind/rows-feed') {
			await sleep(usualAnswerMs * this.slowness);
			return {status: 200, body: await this.#watch(url.searchParams)};
		}

		return {status: 404};
	}

	async #commitTransaction(transaction) {
		const {expectedRev, writes, remove} = transaction;
		const keys = [...expectedRev, ...writes, ...remove];
		const parts = new Set(keys.map(({part}) => part));
		if (keys.length > maxEntries || parts.size > 1) {
			return {status: 400};
		}

		if (keys.some(({table}) => table === 'op' || table === 'servers')) {
			return {status: 403};
		}

		const delayMs = this.delayTransaction(transaction);
		if (delayMs !== undefined) {
			setTimeout(() => {
				const {status} = this.#apply(transaction);
				this.#record.add(`store carries out an unanswered transaction of part "${[...parts][0]}" ${Math.round(delayMs)} ms late: ${status}`);
			}, delayMs);
			return undefined;
		}

		const [part] = parts;
		const now = performance.now();
		const end = Math.max(now, this.#parts.get(part) ?? 0) + (usualTransactionMs * this.slowness);
		this.#parts.set(part, end);
		await sleep(end - now);
		const answer = this.state === 'up' ? this.#apply(transaction) : undefined;
		await sleep(usualAnswerMs * this.slowness);
		return answer;
	}

	#apply({expectedRev, writes, remove}) {
		const isMet = expectedRev.every(check => (this.#rows.get(formatKey(check))?.ver ?? 0) === check.ver);
		if (!isMet) {
			return {status: 412, body: {rows: expectedRev.flatMap(check => this.#rows.get(formatKey(check)) ?? []), ...this.#describeVersion()}};
		}

		this.#version++;
		for (const {value, ...key} of writes) {
			this.#write(key, value);
		}

		for (const key of remove) {
			this.#write(key, undefined);
		}

		this.#resolveWatches();
		return {status: 200, body: this.#describeVersion()};
	}

	#write({table, part, key}, value) {
		const row = {
			table, part, key, value, ver: this.#version,
		};
		if (value === undefined) {
			this.#rows.delete(formatKey(row));
			this.#changes.push({
				table, part, key, ver: this.#version, removed: true,
			});
		} else {
			this.#rows.set(formatKey(row), row);
			this.#changes.push(row);
		}
	}

	#readRange(query) {
		const [table, part, from, to] = ['table', 'part', 'from', 'to'].map(name => query.get(name) ?? '');
		const limit = Math.min(maxRows, Number(query.get('limit') ?? maxRows));
		const rows = [...this.#rows.values()].filter(row => row.table === table && row.part === part && row.key >= from && (to === '' || row.key < to)).toSorted((a, b) => a.key < b.key ? -1 : 1);
		return {rows: rows.slice(0, limit), hasMore: rows.length > limit, ...this.#describeVersion()};
	}

	async #watch(query) {
		const table = query.get('table');
		const after = Number(query.get('after'));
		const find = () => {
			const changed = new Map();
			for (let index = this.#changes.length - 1; index >= 0 && this.#changes[index].ver > after; index--) {
				const change = this.#changes[index];
				if (change.table === table && !changed.has(formatKey(change))) {
					changed.set(formatKey(change), change);
				}
			}

			return [...changed.values()].toSorted((a, b) => a.ver - b.ver);
		};

		let rows = find();
		const endAt = performance.now() + Number(query.get('waitMs') ?? 0);
		while (rows.length === 0 && performance.now() < endAt) {
			await this.#waitForChange(endAt - performance.now());
			rows = find();
		}

		return {rows, ...this.#describeVersion()};
	}

	async #waitForChange(ms) {
		await new Promise(resolve => {
			const end = () => {
				clearTimeout(timer);
				this.#watchers.delete(end);
				resolve();
			};

			const timer = setTimeout(end, ms);
			this.#watchers.add(end);
		});
	}

	#resolveWatches() {
		for (const end of this.#watchers) {
			end();
		}
	}

	#describeVersion() {
		return {ver: this.#version, nowMs: Math.round(performance.now())};
	}
}

function formatKey({table, part, key}) {
	return `${table}\n${part}\n${key}`;
}
