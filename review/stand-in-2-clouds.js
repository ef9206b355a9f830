/**
 * Stand-in of the platform's control of machines: lists them, moves them between pools and takes them down for upkeep.
 */
import {JsonServer} from './stand-in-2-servers.js';

const answerMs = 5;
const moveMs = 1500;
const upkeepMs = 2000;

export class Cloud {
	static async create(options) {
		const cloud = new Cloud(options);
		cloud.#server = await JsonServer.create(async request => cloud.#handle(request));
		return cloud;
	}

	/** Called with each accepted order before it is carried out. */
	onOrder = () => {};
	/** Called with each order after it was carried out; returns whether its answer is lost. */
	isAnswerLost = () => false;
	orders = [];
	#server;
	#machines = new Map();
	#record;
	#store;
	#sparePool;

	constructor({record, store, sparePool}) {
		this.#record = record;
		this.#store = store;
		this.#sparePool = sparePool;
	}

	get address() {
		return this.#server.address;
	}

	/** Adds a machine that is up. */
	addMachine(machine, worker) {
		this.#machines.set(machine, {
			machine, pool: worker.service, worker, state: 'up', waves: new Set(),
		});
	}

	listMachines() {
		return [...this.#machines.values()];
	}

	/** Crashes the worker of a machine, which is down for a time and begins a new life then. */
	killWorker(machine, downMs) {
		const entry = this.#machines.get(machine);
		entry.worker.end('crash');
		entry.state = 'down';
		setTimeout(() => {
			if (entry.state === 'down') {
				entry.state = 'up';
				entry.worker.begin();
			}
		}, downMs);
	}

	close() {
		this.#server.close();
		for (const {worker} of this.#machines.values()) {
			worker.close();
		}
	}

	async #handle({method, url, headers, body}) {
		await new Promise(resolve => {
			setTimeout(resolve, answerMs);
		});
		if (method === 'GET') {
			return {status: 200, body: {machines: this.listMachines().map(entry => this.#describe(entry)), nextToken: null}};
		}

		const entry = this.#machines.get(body.machine);
		const order = `${url.pathname.split('/').at(-1)} ${body.machine} ${body.pool ?? `wave ${body.wave}`}`;
		this.#record.add(`${headers['x-lease-holder']} orders under ${headers['x-fencing-token']}: ${order}`);
		this.orders.push({
			order, machine: body.machine, holder: headers['x-lease-holder'], token: Number(headers['x-fencing-token']), atMs: this.#record.nowMs,
		});
		const answer = entry === undefined ? {status: 400} : this.#runOrder(entry, url.pathname, body);
		const isLost = this.isAnswerLost(body);
		this.#record.add(`answer to ${order}: ${answer.status} ${answer.body?.reason ?? ''}${isLost ? ' (lost)' : ''}`);
		return isLost ? undefined : answer;
	}

	#runOrder(entry, path, {pool, wave}) {
		const isMove = path === '/tamarackwind/machine-move';
		if (isMove ? entry.pool === pool : entry.waves.has(wave)) {
			return {status: 200};
		}

		if (entry.state !== 'up') {
			return {status: 409, body: {reason: 'busy'}};
		}

		if (!isMove && !(this.#store.readRow('op', `wave/${wave}`)?.machines.includes(entry.machine) ?? false)) {
			return {status: 409, body: {reason: 'wave'}};
		}

		this.onOrder(entry, isMove ? 'move' : 'upkeep');
		entry.worker.end(isMove ? 'move' : 'upkeep');
		entry.state = isMove ? 'moving' : 'upkeep';
		if (isMove) {
			entry.pool = pool;
			entry.worker.service = pool;
		} else {
			entry.waves.add(wave);
		}

		setTimeout(() => {
			entry.state = 'up';
			if (entry.pool !== this.#sparePool) {
				entry.worker.begin();
			}
		}, isMove ? moveMs : upkeepMs);
		return {status: 200};
	}

	#describe({machine, pool, state, worker}) {
		return {
			machine, pool, state, zone: 'zone-a', labels: worker.labels, capacity: worker.capacity, ...(state === 'up' && worker.isUp ? {id: worker.id} : {}),
		};
	}
}
