/**
 * Stand-in of a worker: runs tasks under a lease, keeps the highest fencing token, and registers itself in the store.
 */
import {randomBytes} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {JsonServer} from './stand-in-2-servers.js';

const heartbeatMs = 1500;
const silentHeartbeats = 3;
const maxLeaseMs = 10_000;
const stopMs = 300;
const startupMs = 400;
const gangMs = 3000;
const checkpointMs = 500;
const maxListedEnds = 500;
const percentScale = 100;

/** All runs of a play, by all workers. */
export class RunLedger {
	static create(record) {
		return new RunLedger(record);
	}

	runs = [];
	#record;

	constructor(record) {
		this.#record = record;
	}

	begin(run) {
		this.runs.push(run);
		this.#record.add(`${run.worker.id} starts ${run.task} run ${run.run}`);
	}

	end(run, how) {
		run.how = how;
		run.endedMs = this.#record.nowMs;
		this.#record.add(`${run.worker.id} ends ${run.task} run ${run.run}: ${how}`);
	}

	/** Lists the active runs of a step, written as ID.K.STEP. */
	listActive(step) {
		return this.runs.filter(run => run.how === undefined && run.task.startsWith(`${step}.`));
	}
}

export class Worker {
	static async create(options) {
		const worker = new Worker(options);
		worker.#server = await JsonServer.create(async request => worker.#handle(request));
		worker.begin();
		return worker;
	}

	id;
	service;
	labels;
	capacity;
	isUp = false;
	isDraining = false;
	/** Called with the path of each call; returns how long it is held back before it is carried out without an answer, or `undefined`. */
	delayOrder = () => undefined;
	/** Whether its heartbeats reach the store. */
	isHeard = true;
	#server;
	#store;
	#record;
	#ledger;
	#born;
	#startedAt;
	#token;
	#leaseUntil;
	#runs;
	#ends;
	#sequence;
	#closedRuns;
	#waiters = new Set();
	#beats = 0;
	#beatTimer;
	#lapseTimer;
	#isClosed = false;

	constructor({store, record, ledger, service, labels, capacity}) {
		Object.assign(this, {service, labels, capacity});
		this.#store = store;
		this.#record = record;
		this.#ledger = ledger;
	}

	get address() {
		return this.#server.address;
	}

	/** Begins a life under a new id, or under the one that it had. */
	begin(id = `i-${randomBytes(5).toString('hex')}`) {
		if (this.#isClosed) {
			return;
		}

		this.id = id;
		this.isUp = true;
		this.isDraining = false;
		this.#born = Date.now();
		this.#startedAt = performance.now();
		this.#token = 0;
		this.#leaseUntil = 0;
		this.#runs = new Map();
		this.#ends = [];
		this.#sequence = 0;
		this.#closedRuns = new Map();
		this.#record.add(`${id} is up in ${this.service}`);
		this.#writeEntry();
	}

	/** Ends the life; what runs is gone. */
	end(reason) {
		if (!this.isUp) {
			return;
		}

		this.isUp = false;
		clearTimeout(this.#beatTimer);
		const {id} = this;
		this.#lapseTimer = setTimeout(() => {
			this.#store.removeRow('servers', id);
		}, heartbeatMs * silentHeartbeats);
		for (const run of this.#runs.values()) {
			this.#ledger.end(run, reason);
		}

		this.#runs.clear();
		this.#record.add(`${id} is down: ${reason}`);
		this.#server.resetConnections();
	}

	close() {
		this.#isClosed = true;
		this.isUp = false;
		clearTimeout(this.#beatTimer);
		clearTimeout(this.#lapseTimer);
		this.#server.close();
	}

	/** Writes the entry in the registry, and again with each heartbeat. */
	#writeEntry() {
		clearTimeout(this.#beatTimer);
		this.#beats++;
		if (this.isHeard && this.#store.state === 'up') {
			this.#store.putRow('servers', this.id, {
				service: this.service, address: this.address, zone: 'zone-a', version: 'v1', slots: 8, state: this.isDraining ? 'draining' : 'ready', coldRemainingMs: 0, capacity: this.capacity, labels: this.labels, sequence: this.#beats, born: this.#born, clockMs: this.#clock,
			});
		}

		// The workers beat at different moments.
		this.#beatTimer = setTimeout(() => {
			this.#writeEntry();
		}, this.#beats === 1 ? Math.random() * heartbeatMs : heartbeatMs);
	}

	get #clock() {
		return Math.round(performance.now() - this.#startedAt);
	}

	async #handle({url, body, headers}) {
		if (!this.isUp) {
			return undefined;
		}

		const lateMs = this.delayOrder(url.pathname);
		if (lateMs !== undefined) {
			const {id} = this;
			const born = this.#born;
			setTimeout(() => {
				// A later life knows nothing of the order.
				if (born === this.#born) {
					this.#record.add(`${id} carries out a late ${url.pathname}: ${body.task} run ${body.run}`);
					this.#runOrder({url, body, headers});
				}
			}, lateMs);
			return undefined;
		}

		return this.#runOrder({url, body, headers});
	}

	async #runOrder({url, body, headers}) {
		if (!this.isUp) {
			return undefined;
		}

		if (headers['x-expect-instance'] !== undefined && headers['x-expect-instance'] !== this.id) {
			return {status: 421};
		}

		if ((body.fencingToken ?? 0) < this.#token) {
			return this.#refuse('fence');
		}

		this.#token = body.fencingToken ?? 0;
		switch (url.pathname) {
			case '/tamarackwind/run-start': {
				return this.#start(body);
			}

			case '/tamarackwind/run-stop': {
				return this.#stop(body);
			}

			case '/tamarackwind/hold': {
				return this.#hold(body);
			}

			default: {
				return this.#formatAnswer({});
			}
		}
	}

	#formatAnswer(body) {
		return {status: 200, body: {clockMs: this.#clock, ...body}};
	}

	#refuse(reason) {
		return {status: 409, body: {clockMs: this.#clock, reason}};
	}

	#renewLease(untilMs) {
		if (untilMs === undefined) {
			return;
		}

		this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(untilMs, this.#clock + maxLeaseMs));
		setTimeout(() => {
			if (this.isUp && this.#clock >= this.#leaseUntil) {
				for (const run of this.#runs.values()) {
					this.#endRun(run, 'lapsed');
				}
			}
		}, this.#leaseUntil - this.#clock + 1);
	}

	#start({task, run: number, spec, untilMs, checkpoint}) {
		const known = this.#runs.get(task);
		if (known?.run === number) {
			this.#renewLease(untilMs);
			return this.#formatAnswer({});
		}

		if (known !== undefined || number <= (this.#closedRuns.get(task) ?? 0)) {
			this.#renewLease(untilMs);
			return this.#refuse('old');
		}

		if (untilMs <= this.#clock) {
			return this.#refuse('late');
		}

		const step = task.split('.')[2];
		const plan = JSON.parse(spec).steps[Number(step)];
		const used = {cpu: plan.cpu, memMb: plan.memMb};
		for (const run of this.#runs.values()) {
			used.cpu += run.plan.cpu;
			used.memMb += run.plan.memMb;
		}

		this.#renewLease(untilMs);
		if (used.cpu > this.capacity.cpu || used.memMb > this.capacity.memMb) {
			return this.#refuse('room');
		}

		const run = {
			task, run: number, plan, worker: this, checkpoint, startedMs: this.#record.nowMs, workStartedAt: plan.gang === undefined ? performance.now() : undefined,
		};
		this.#runs.set(task, run);
		this.#ledger.begin(run);
		if (plan.gang === undefined) {
			this.#scheduleEnd(run);
		} else {
			this.#addToGang(run);
		}

		return this.#formatAnswer({});
	}

	#scheduleEnd(run) {
		const {plan} = run;
		if (plan.lasts) {
			return;
		}

		setTimeout(() => {
			const isFailing = (plan.failures ?? 0) >= run.run;
			this.#endRun(run, isFailing ? 'failed' : 'done');
		}, plan.ms);
	}

	/** Begins the work of a gang once all members of one run are there. */
	#addToGang(run) {
		const listMembers = () => this.#ledger.listActive(run.task.slice(0, run.task.lastIndexOf('.'))).filter(member => member.run === run.run);
		const members = listMembers();
		if (members.length === run.plan.gang) {
			for (const member of members) {
				member.workStartedAt = performance.now();
			}

			setTimeout(() => {
				const left = listMembers();
				for (const member of left) {
					member.worker.endMember(member, left.length === run.plan.gang ? 'done' : 'broken');
				}
			}, run.plan.ms);
		}

		setTimeout(() => {
			if (run.workStartedAt === undefined) {
				this.#endRun(run, 'alone');
			}
		}, gangMs);
	}

	endMember(run, how) {
		this.#endRun(run, how);
	}

	#endRun(run, how) {
		if (!this.isUp || this.#runs.get(run.task) !== run) {
			return;
		}

		this.#runs.delete(run.task);
		this.#closedRuns.set(run.task, Math.max(run.run, this.#closedRuns.get(run.task) ?? 0));
		this.#sequence++;
		this.#ends.push([this.#sequence, run.task, run.run, how, this.#describeCheckpoint(run)]);
		this.#ledger.end(run, how);
		if (run.plan.gang !== undefined && how !== 'done' && how !== 'broken') {
			for (const member of this.#ledger.listActive(run.task.slice(0, run.task.lastIndexOf('.'))).filter(other => other.run === run.run)) {
				member.worker.endMember(member, 'broken');
			}
		}

		for (const wake of this.#waiters) {
			wake();
		}
	}

	async #stop({task, run: number}) {
		this.#closedRuns.set(task, Math.max(number, this.#closedRuns.get(task) ?? 0));
		const run = this.#runs.get(task);
		if (run !== undefined && run.run <= number) {
			setTimeout(() => {
				this.#endRun(run, 'stopped');
			}, stopMs);
		}

		return this.#formatAnswer({});
	}

	async #hold({untilMs, lastSeen = 0, waitMs = 0}) {
		const born = this.#born;
		this.#renewLease(untilMs);
		for (const end of this.#ends.filter(([sequence]) => sequence <= lastSeen)) {
			this.#record.add(`${this.id} has its end ${end[0]} seen: ${end[1]} run ${end[2]} ${end[3]}`);
		}

		this.#ends = this.#ends.filter(([sequence]) => sequence > lastSeen);
		if (this.#ends.length === 0 && waitMs > 0) {
			await new Promise(resolve => {
				const wake = () => {
					clearTimeout(timer);
					this.#waiters.delete(wake);
					resolve();
				};

				const timer = setTimeout(wake, waitMs);
				this.#waiters.add(wake);
			});
		}

		if (!this.isUp || born !== this.#born) {
			await sleep(0);
			return undefined;
		}

		return this.#formatAnswer({
			born, running: [...this.#runs.values()].map(run => [run.task, run.run, this.#describeCheckpoint(run), computePercent(run), 0]), endedRuns: this.#ends.slice(0, maxListedEnds),
		});
	}

	#describeCheckpoint({plan, task, run, workStartedAt}) {
		return plan.isSaving && workStartedAt !== undefined ? `${task}/${run}/${Math.floor((performance.now() - workStartedAt) / checkpointMs)}` : '';
	}
}

/** Computes the progress of a run in percent; a task that lasts is at work from 100 on. */
export function computePercent({plan, workStartedAt}) {
	if (workStartedAt === undefined) {
		return 0;
	}

	return Math.min(percentScale, Math.floor((performance.now() - workStartedAt) / (plan.lasts ? startupMs : Math.max(1, plan.ms)) * percentScale));
}
