/**
 * Stand-in of the platform's control of machines: lists them, moves them between pools and takes them down for upkeep.
 */
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {listenOnLoopback, readBody, sendJson} from './stand-in-servers.js';
import {createWorkerId} from './stand-in-workers.js';

const moveMs = 1500;
/** Time that the control takes for a move before it carries it out, in milliseconds. */
const moveHandlingMs = 20;
const maintenanceMs = 2000;

export class CloudStandIn {
	static async create({record, poolsOff = []}) {
		const cloud = new CloudStandIn(record, poolsOff);
		await cloud.#listen();
		return cloud;
	}

	#record;
	#poolsOff;
	#machines = new Map();
	#server;
	#timers = new Set();
	/** Outage that begins once this many moves are under way. */
	#pendingOutage;
	#openMoves = 0;
	#isSilent = false;
	address = '';

	constructor(record, poolsOff) {
		this.#record = record;
		this.#poolsOff = new Set(poolsOff);
	}

	addMachine(machine, worker) {
		this.#machines.set(machine, {
			machine, pool: worker.service, state: 'up', worker,
		});
	}

	getMachine(machine) {
		return this.#machines.get(machine);
	}

	/** Crashes the worker of a machine; a worker with a new id comes up after `downMs`. */
	killMachine(machine, downMs) {
		const entry = this.#machines.get(machine);
		entry.state = 'down';
		entry.worker.kill('crash');
		this.#scheduleReturn(entry, downMs, async () => {
			await entry.worker.start(createWorkerId());
			entry.state = 'up';
		});
	}

	/** Kills the worker of a machine; the machine starts it again under its id after `downMs`. */
	restartWorker(machine, downMs) {
		const entry = this.#machines.get(machine);
		const {worker} = entry;
		const {id} = worker;
		worker.kill('crash');
		this.#scheduleReturn(entry, downMs, async () => {
			await worker.start(id);
		});
	}

	/** Takes a machine away for good, without notice. */
	removeMachine(machine) {
		this.#machines.get(machine).worker.kill('lost for good');
		this.#machines.delete(machine);
	}

	/** Leaves calls unanswered and does nothing for them for `ms`, beginning with the open ones once `moves` moves are under way. */
	startOutageAtMoves({moves, ms}) {
		this.#pendingOutage = {moves, ms};
	}

	listMachines() {
		return [...this.#machines.values()];
	}

	close() {
		for (const timer of this.#timers) {
			clearTimeout(timer);
		}

		for (const {worker} of this.#machines.values()) {
			worker.close();
		}

		this.#server.closeAllConnections();
		this.#server.close();
	}

	/** Has a machine come back after `ms`, in place of an earlier return: one that is taken down while its worker restarts does not start that worker. */
	#scheduleReturn(entry, ms, run) {
		clearTimeout(entry.returnTimer);
		this.#timers.delete(entry.returnTimer);
		entry.returnTimer = this.#startTimer(ms, run);
	}

	#startTimer(ms, run) {
		const timer = setTimeout(() => {
			this.#timers.delete(timer);
			run();
		}, ms);
		this.#timers.add(timer);
		return timer;
	}

	async #listen() {
		this.#server = createServer(async (request, response) => {
			const body = await readBody(request);
			const {pathname} = new URL(request.url, 'http://cloud');
			if (this.#isSilent) {
				this.#record.add(`control of machines leaves unanswered: ${pathname} ${body}`);
				return;
			}

			switch (pathname) {
				case '/tamarackwind/machines': {
					sendJson(response, 200, {machines: [...this.#machines.values()].map(entry => describeMachine(entry, this.#poolsOff)), nextToken: null});

					break;
				}

				case '/tamarackwind/machine-move': {
					await this.#handleMove(body, request, response);

					break;
				}

				case '/tamarackwind/machine-upkeep': {
					this.#takeDown(JSON.parse(body), response);

					break;
				}

				default: {
					sendJson(response, 404, {});
				}
			}
		});
		this.address = await listenOnLoopback(this.#server);
	}

	#startOutageIfDue() {
		if (this.#pendingOutage !== undefined && this.#openMoves >= this.#pendingOutage.moves) {
			this.#record.add('outage of the control of machines begins');
			this.#isSilent = true;
			this.#startTimer(this.#pendingOutage.ms, () => {
				this.#record.add('outage of the control of machines ends');
				this.#isSilent = false;
			});
			this.#pendingOutage = undefined;
		}
	}

	/** Handles a move after the time that it takes; one that is under way when an outage begins is dropped with the rest. */
	async #handleMove(body, request, response) {
		this.#openMoves++;
		this.#startOutageIfDue();
		await sleep(moveHandlingMs);
		this.#openMoves--;
		if (this.#isSilent) {
			this.#record.add(`control of machines leaves unanswered: /tamarackwind/machine-move ${body}`);
		} else {
			this.#move(JSON.parse(body), request, response);
		}
	}

	#move({machine, pool}, request, response) {
		const entry = this.#machines.get(machine);
		this.#record.add(`control of machines receives the move of ${machine} from ${entry?.pool} to ${pool} by ${request.headers['x-lease-holder']}`);
		if (entry === undefined) {
			sendJson(response, 400, {});
		} else if (entry.pool === pool) {
			sendJson(response, 200, {});
		} else if (entry.state === 'up') {
			entry.pool = pool;
			this.#restartLater({
				entry, state: 'moving', ms: moveMs, pool,
			});
			sendJson(response, 200, {});
		} else {
			sendJson(response, 409, {reason: 'busy'});
		}
	}

	#takeDown({machine}, response) {
		const entry = this.#machines.get(machine);
		if (entry === undefined) {
			sendJson(response, 400, {});
		} else if (entry.state === 'up') {
			this.#restartLater({
				entry, state: 'upkeep', ms: maintenanceMs, pool: entry.pool,
			});
			sendJson(response, 200, {});
		} else {
			sendJson(response, 409, {reason: 'busy'});
		}
	}

	#restartLater({entry, state, ms, pool}) {
		entry.state = state;
		entry.worker.remove(state);
		this.#scheduleReturn(entry, ms, async () => {
			entry.worker.service = pool;
			if (!this.#poolsOff.has(pool)) {
				await entry.worker.start(createWorkerId());
			}

			entry.state = 'up';
		});
	}
}

function describeMachine({machine, pool, state, worker}, poolsOff) {
	return {
		machine, pool, state, zone: worker.zone, labels: worker.labels, capacity: worker.capacity, id: state === 'up' && !poolsOff.has(pool) ? worker.id : null,
	};
}
