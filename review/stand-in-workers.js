/**
 * Stand-in of a worker: runs the tasks that it is told to start under leases, and lists them. The text of a job's `spec` is JSON with the
 * properties of its steps: `{"steps": [{"ms": 200, "cpu": 500}]}`; a step with `lasts` runs until it is stopped.
 */
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {listenOnLoopback, readBody, sendJson} from './stand-in-servers.js';

const heartbeatMs = 1500;
/** A worker's entry is removed after this many heartbeats of silence. */
const silentHeartbeats = 3;
/** Time from listening until the first entry in the store, in milliseconds. */
const firstBeatMs = 50;
const holdMaxMs = 10_000;
const maxWaitMs = 2000;
const maxListedEnds = 500;
/** Time that a stop takes, in milliseconds: a third of the `stopMs` of the site. */
const stopMs = 300;
const startupMs = 100;

let nextWorker = 1;

/** Draws the id of a new worker. */
export function createWorkerId() {
	return `i-7f3a${String(nextWorker++).padStart(4, '0')}`;
}

/** One machine's worker over its lives; `restart` keeps id and address, `replace` takes a new id. */
export class WorkerStandIn {
	static async create(options) {
		const worker = new WorkerStandIn(options);
		await worker.start(createWorkerId());
		return worker;
	}

	#options;
	#server;
	#sockets = new Set();
	#port = 0;
	#timers = new Set();
	#entryTimer;
	#life;
	id;
	service;
	address = '';

	constructor({store, record, ledger, service, zone = 'zone-a', labels, capacity}) {
		this.#options = {
			store, record, ledger, zone, labels, capacity,
		};
		this.service = service;
	}

	get isUp() {
		return this.#life !== undefined;
	}

	get labels() {
		return this.#options.labels;
	}

	get capacity() {
		return this.#options.capacity;
	}

	get zone() {
		return this.#options.zone;
	}

	/** Begins a life under `id`. It holds and knows nothing of an earlier one, which ends if it has not. */
	async start(id) {
		this.kill('replaced by another life');
		this.id = id;
		clearTimeout(this.#entryTimer);
		const life = {
			id, born: Date.now(), startedAt: performance.now(), runs: new Map(), ends: [], ended: new Map(), sequence: 0, endCount: 0, fence: 0, leaseUntil: 0, wakes: new Set(),
		};
		this.#server = createServer(async (request, response) => {
			const body = await readBody(request);
			if (this.#life === life) {
				await this.#handle(life, {request, body: body === '' ? {} : JSON.parse(body), response});
			}
		});
		this.#server.keepAliveTimeout = 60_000;
		this.#server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.on('error', () => {});
			socket.on('close', () => {
				this.#sockets.delete(socket);
			});
		});
		this.#life = life;
		this.address = await listenOnLoopback(this.#server, this.#port);
		this.#port = Number(this.address.split(':')[1]);
		this.#options.record.add(`worker ${id} of ${this.service} starts, born ${life.born}`);
		this.#startTimer(firstBeatMs, () => {
			this.#sendHeartbeat(life);
		});
	}

	/** Ends the life at once, like a killed process: connections are reset, all runs are gone, nothing is reported. */
	kill(reason) {
		const life = this.#life;
		if (life === undefined) {
			return;
		}

		this.#life = undefined;
		this.#options.record.add(`worker ${life.id} ends: ${reason}; runs: ${[...life.runs.values()].map(({task, run}) => `${task}#${run}`).join(' ') || 'none'}`);
		for (const run of life.runs.values()) {
			this.#options.ledger.end(run, 'crashed');
		}

		for (const timer of this.#timers) {
			clearTimeout(timer);
		}

		this.#timers.clear();
		for (const wake of life.wakes) {
			wake();
		}

		this.#server.close();
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}

		this.#entryTimer = setTimeout(() => {
			this.#options.store.putRow('servers', life.id);
		}, heartbeatMs * silentHeartbeats);
	}

	/** Ends the life and removes its entry, like a worker whose machine leaves the pool. */
	remove(reason) {
		const {id} = this;
		this.kill(reason);
		clearTimeout(this.#entryTimer);
		this.#options.store.putRow('servers', id);
	}

	close() {
		this.kill('end of the play');
		clearTimeout(this.#entryTimer);
	}

	#startTimer(ms, run) {
		const timer = setTimeout(() => {
			this.#timers.delete(timer);
			run();
		}, ms);
		this.#timers.add(timer);
	}

	#sendHeartbeat(life) {
		if (this.#life !== life) {
			return;
		}

		const {store, zone, labels, capacity} = this.#options;
		life.sequence++;
		store.putRow('servers', life.id, {
			service: this.service, address: this.address, zone, version: 'v1', slots: 8, state: 'ready', coldRemainingMs: 0, capacity, labels, clockMs: this.#readClock(life), born: life.born, sequence: life.sequence,
		});
		this.#startTimer(heartbeatMs, () => {
			this.#sendHeartbeat(life);
		});
	}

	#readClock(life) {
		return Math.round(performance.now() - life.startedAt);
	}

	async #handle(life, {request, body, response}) {
		const expected = request.headers['x-expect-instance'];
		const clockMs = this.#readClock(life);
		if (request.url === '/health') {
			sendJson(response, 200, {});
		} else if (expected !== undefined && expected !== life.id) {
			sendJson(response, 421, {});
		} else if ((body.fencingToken ?? 0) < life.fence) {
			sendJson(response, 409, {clockMs, born: life.born, reason: 'fence'});
		} else {
			life.fence = body.fencingToken ?? 0;
			await this.#apply(life, {path: request.url, body, response});
		}
	}

	async #apply(life, {path, body, response}) {
		switch (path) {
			case '/tamarackwind/run-start': {
				const reason = this.#startRun(life, body);
				sendJson(response, reason === undefined ? 200 : 409, {clockMs: this.#readClock(life), born: life.born, ...(reason === undefined ? {} : {reason})});

				break;
			}

			case '/tamarackwind/run-stop': {
				this.#stopRun(life, body);
				sendJson(response, 200, {clockMs: this.#readClock(life), born: life.born});

				break;
			}

			case '/tamarackwind/hold': {
				await this.#hold(life, body);
				if (this.#life === life) {
					sendJson(response, 200, {
						clockMs: this.#readClock(life), born: life.born, running: [...life.runs.values()].map(run => this.#describeRun(run)), endedRuns: life.ends.slice(0, maxListedEnds),
					});
				}

				break;
			}

			default: {
				sendJson(response, 200, {clockMs: this.#readClock(life), born: life.born});
			}
		}
	}

	#renewLease(life, untilMs) {
		const clock = this.#readClock(life);
		life.leaseUntil = Math.max(life.leaseUntil, Math.min(untilMs, clock + holdMaxMs));
		this.#startTimer(Math.max(0, life.leaseUntil - clock) + 1, () => {
			if (this.#life === life && this.#readClock(life) >= life.leaseUntil) {
				for (const run of life.runs.values()) {
					this.#endRun(life, run, 'lapsed');
				}
			}
		});
	}

	#startRun(life, {task, run, spec, untilMs}) {
		const {record, ledger, capacity} = this.#options;
		const name = `${task}#${run}`;
		const known = life.runs.get(name);
		if (known !== undefined) {
			return undefined;
		}

		if (untilMs <= this.#readClock(life)) {
			return 'late';
		}

		this.#renewLease(life, untilMs);
		const step = JSON.parse(spec).steps[Number(task.split('.')[2])];
		const usedCpu = [...life.runs.values()].reduce((sum, {cpu}) => sum + cpu, 0);
		const reason = run <= (life.ended.get(task) ?? 0) ? 'old' : (usedCpu + step.cpu > capacity.cpu ? 'room' : undefined);
		if (reason !== undefined) {
			record.add(`worker ${life.id} refuses the start of ${name}: ${reason}`);
			return reason;
		}

		const started = {
			task, run, cpu: step.cpu, ms: step.ms, lasts: step.lasts ?? false, startedAt: performance.now(), worker: life.id, born: life.born,
		};
		life.runs.set(name, started);
		ledger.start(started);
		if (!started.lasts) {
			this.#startTimer(step.ms, () => {
				if (this.#life === life && life.runs.has(name)) {
					this.#endRun(life, started, 'done');
				}
			});
		}

		return undefined;
	}

	#stopRun(life, {task, run}) {
		life.ended.set(task, Math.max(life.ended.get(task) ?? 0, run));
		const name = `${task}#${run}`;
		if (life.runs.has(name)) {
			this.#startTimer(stopMs, () => {
				if (this.#life === life && life.runs.has(name)) {
					this.#endRun(life, life.runs.get(name), 'stopped');
				}
			});
		}
	}

	#endRun(life, run, how) {
		life.runs.delete(`${run.task}#${run.run}`);
		life.ended.set(run.task, Math.max(life.ended.get(run.task) ?? 0, run.run));
		life.endCount++;
		life.ends.push([life.endCount, run.task, run.run, how, '']);
		this.#options.ledger.end(run, how);
		for (const wake of life.wakes) {
			wake();
		}
	}

	async #hold(life, {lastSeen = 0, untilMs, waitMs = 0}) {
		const seen = life.ends.filter(([number]) => number <= lastSeen);
		life.ends = life.ends.filter(([number]) => number > lastSeen);
		for (const [, task, run, how] of seen) {
			this.#options.ledger.note({task, run, how});
		}

		if (untilMs !== undefined) {
			this.#renewLease(life, untilMs);
		}

		if (waitMs > 0 && life.ends.length === 0) {
			await new Promise(resolve => {
				const wake = () => {
					clearTimeout(timer);
					life.wakes.delete(wake);
					resolve();
				};

				const timer = setTimeout(wake, Math.min(waitMs, maxWaitMs));
				life.wakes.add(wake);
			});
		}
	}

	#describeRun({task, run, ms, lasts, startedAt}) {
		const elapsedMs = performance.now() - startedAt;
		const percent = Math.min(lasts ? 100 : 99, Math.floor((100 * elapsedMs) / (lasts ? startupMs : ms)));
		return [task, run, '', percent, 0];
	}
}

/** All runs that workers began, with their ends. */
export class RunLedger {
	static create(record) {
		return new RunLedger(record);
	}

	#record;
	runs = [];
	noted = new Set();

	constructor(record) {
		this.#record = record;
	}

	start({task, run, worker, born}) {
		const name = `${task}#${run}`;
		this.#record.add(`worker ${worker} (born ${born}) starts ${name}`);
		this.runs.push({
			task, run, worker, born, startedMs: this.#record.nowMs, endedMs: undefined, how: undefined,
		});
	}

	end({task, run, worker, born}, how) {
		this.#record.add(`worker ${worker} (born ${born}) ends ${task}#${run}: ${how}`);
		const known = this.runs.find(other => other.task === task && other.run === run && other.worker === worker && other.born === born);
		known.endedMs = this.#record.nowMs;
		known.how = how;
	}

	/** Takes note that the system has acknowledged the end of a run. */
	note({task, run, how}) {
		this.noted.add(`${task}#${run}`);
		this.#record.add(`the end of ${task}#${run} (${how}) is taken note of`);
	}

	/** Lists the runs of a job's tasks; `job` is its id. */
	listRuns(job) {
		return this.runs.filter(({task}) => task.startsWith(`${job}.`));
	}
}
