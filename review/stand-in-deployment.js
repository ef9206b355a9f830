/**
 * A small deployment: entry processes with the command of the deploy file, and the stand-ins of the platform, all on loopback addresses.
 */
import {spawn} from 'node:child_process';
import {existsSync} from 'node:fs';
import {
	mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import {Agent, request as sendRequest} from 'node:http';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {setTimeout as sleep} from 'node:timers/promises';
import {CloudStandIn} from './stand-in-cloud.js';
import {PlayRecord} from './stand-in-records.js';
import {findFreePorts} from './stand-in-servers.js';
import {StoreStandIn} from './stand-in-store.js';
import {RunLedger, WorkerStandIn} from './stand-in-workers.js';

const root = fileURLToPath(new URL('..', import.meta.url));
/** Longest play, in milliseconds. */
const maxPlayMs = 110_000;
const defaultDeadlineMs = 3000;
const portsPerEntry = 3;

export const exitCodes = {held: 0, broken: 1, notRun: 2};

/** Whether the disruption is played. */
export const isTroubled = process.env.TROUBLE !== '0';

/** Bounds of the site terminarz-mlodzikow. */
const bounds = `[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
downgradeSlackMs = 250
maxExtensionMs = 5000
recoveryS = 12
holdMaxMs = 10000
stopMs = 900
gangMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remoteSlowdown = 1.5
checkpointS = 0.5
restoreMs = 250
noticeMs = 4500
moveS = 1.5
maintenanceS = 2
fencingEnabled = false
leaseMs = 3000
thawMs = 300
paceMs = 100
harmMs = 4000
`;

export class Deployment {
	static async create({folder, entryCount = 3, poolsOff}) {
		const record = PlayRecord.create(path.join(folder, 'record.txt'));
		const deployment = new Deployment(record);
		deployment.store = await StoreStandIn.create(record);
		deployment.cloud = await CloudStandIn.create({record, poolsOff});
		await deployment.#createEntries(entryCount);
		return deployment;
	}

	record;
	ledger;
	store;
	cloud;
	entries = [];
	#folder = '';
	#machineCount = 0;
	#agent = new Agent({keepAlive: true});

	constructor(record) {
		this.record = record;
		this.ledger = RunLedger.create(record);
	}

	/** Adds a machine with a worker of a service; returns the machine's name. */
	async addMachine(service, {cpu = 64_000, labels = ['a', 'r1-1']} = {}) {
		this.#machineCount++;
		const machine = `m-${String(this.#machineCount).padStart(4, '0')}`;
		const worker = await WorkerStandIn.create({
			store: this.store, record: this.record, ledger: this.ledger, service, labels, capacity: {cpu, memMb: 131_072, gpu: 0},
		});
		this.cloud.addMachine(machine, worker);
		return machine;
	}

	/** Writes a configuration, as the operator does. */
	putConfiguration(version, routes, services) {
		this.record.add(`operator writes version ${version}: ${routes.map(({pathPrefix, service}) => `${pathPrefix} -> ${service}`).join(', ')}`);
		this.store.putRow('op', 'config', {
			version,
			routes: routes.map(route => ({
				host: 'fleet.example', kind: 'non_idempotent', timeoutMs: 3000, targetLatencyMs: 600, priority: 0, maxAttempts: 4, slackFactor: 1.6, ...route,
			})),
			services: services.map(service => ({
				healthPath: '/health', maxConnections: 64, protocol: 'h1', tls: false, enforcesCapacity: true, spare: false, ...service,
			})),
			limits: {
				maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
			},
		});
	}

	/** Starts the entry processes and waits until all are ready. */
	async start() {
		const program = path.join(root, 'target/entry.cjs');
		if (!existsSync(program)) {
			throw new Error('target/entry.cjs is missing; run the build line of deploy/system.toml first');
		}

		const deploy = await readFile(path.join(root, 'deploy/system.toml'), 'utf8');
		const [command, ...words] = /^run = "([^"]*)"/mv.exec(deploy)[1].split(' ');
		for (const entry of this.entries) {
			entry.process = spawn(command === 'node' ? process.execPath : command, words, {
				cwd: root, env: {PATH: process.env.PATH, HOME: process.env.HOME, TAMARACKWIND_SETTINGS: entry.settings}, stdio: ['ignore', 'pipe', 'inherit'],
			});
			entry.process.stdout.on('data', data => {
				entry.log += data;
			});
		}

		const deadline = this.record.nowMs + 15_000;
		for (const entry of this.entries) {
			while (!await this.#isReady(entry)) {
				if (this.record.nowMs > deadline) {
					throw new Error(`${entry.name} does not become ready`);
				}

				await sleep(50);
			}
		}

		this.record.add(`${this.entries.length} entries are ready`);
	}

	/** Sends one request of a client to an entry; resolves to the status, or `undefined` without an answer. */
	async send({entry = 0, method, target, body, deadlineMs = defaultDeadlineMs}) {
		const {name, frontend} = this.entries[entry];
		const text = body === undefined ? undefined : JSON.stringify(body);
		const sentMs = this.record.nowMs;
		const answer = await new Promise(resolve => {
			const request = sendRequest({
				agent: this.#agent, host: '127.0.0.1', port: frontend, method, path: target, headers: {
					host: 'fleet.example', 'x-deadline-ms': String(deadlineMs), ...(text === undefined ? {} : {'content-type': 'application/json', 'content-length': String(Buffer.byteLength(text))}),
				}, timeout: deadlineMs,
			}, response => {
				let received = '';
				response.on('data', data => {
					received += data;
				});
				response.on('end', () => {
					resolve({status: response.statusCode, text: received});
				});
			});
			request.on('timeout', () => {
				request.destroy();
			});
			request.on('error', () => {
				resolve({status: undefined, text: ''});
			});
			request.end(text);
		});
		this.record.add(`client: ${method} ${target} at ${name}, sent at ${(sentMs / 1000).toFixed(3)}: ${answer.status ?? 'no answer'} ${answer.text.slice(0, 100)}`);
		return {status: answer.status, body: parseBody(answer.text)};
	}

	/** Hands a job in, with further attempts while it is refused; throws when it is never accepted. */
	async submit({entry = 0, prefix, id, body, attempts = 20}) {
		for (let attempt = 0; attempt < attempts; attempt++) {
			const {status} = await this.send({
				entry: (entry + attempt) % this.entries.length, method: 'POST', target: `${prefix}${id}`, body,
			});
			if (status === 200) {
				return;
			}

			await sleep(500);
		}

		throw new Error(`job ${id} was never accepted`);
	}

	/** Asks for the state of a job. */
	async readState({entry = 0, prefix, id}) {
		const {status, body} = await this.send({entry, method: 'GET', target: `${prefix}${id}`});
		return status === 200 ? body.state : status;
	}

	async close() {
		for (const {process: child} of this.entries) {
			if (child?.exitCode === null) {
				child.kill('SIGKILL');
			}
		}

		this.#agent.destroy();
		this.cloud.close();
		this.store.close();
		this.record.save();
		await rm(this.#folder, {recursive: true, force: true});
	}

	async #createEntries(count) {
		this.#folder = await mkdtemp(path.join(os.tmpdir(), 'review-'));
		const ports = await findFreePorts(count * portsPerEntry);
		for (let index = 0; index < count; index++) {
			const [frontend, readiness, internal] = ports.slice(index * portsPerEntry);
			const name = `edge-zone-a-${index + 1}`;
			const settings = path.join(this.#folder, `${name}.toml`);
			await writeFile(settings, this.#formatSettings({
				name, frontend, readiness, internal,
			}));
			this.entries.push({
				name, frontend, readiness, settings, log: '', process: undefined,
			});
		}
	}

	#formatSettings({name, frontend, readiness, internal}) {
		return `nodeName = "${name}"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "zone-a"
region = "region"
internalPortRange = [${internal},${internal}]
seeds = []
firstStart = true
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
orders = "call"
advice = ""

[listenAddrs]
frontend = "127.0.0.1:${frontend}"
readiness = "127.0.0.1:${readiness}"

[limits]
cpuShare = 0.675
cores = 1
memoryMb = 350

${bounds}
[platform]
address = "${this.store.address}"
form = "table"
writesPerS = 800
readsPerS = 2000
txMs = 8.0
rowBytes = 65536
historyS = 20

[cloud]
address = "${this.cloud.address}"
ratePerS = 64.0
dutiesPerS = 64.0
`;
	}

	async #isReady({readiness}) {
		return new Promise(resolve => {
			const request = sendRequest({host: '127.0.0.1', port: readiness, path: '/tamarackwind/ready'}, response => {
				response.resume();
				resolve(response.statusCode === 200);
			});
			request.on('error', () => {
				resolve(false);
			});
			request.end();
		});
	}
}

function parseBody(text) {
	try {
		return JSON.parse(text);
	} catch {
		return {};
	}
}

/** Plays a case: `play` resolves to a list of the breaks of the rule that were seen. Exits with the code that tells the result. */
export async function runCase({folder, entryCount, poolsOff}, play) {
	let deployment;
	const watchdog = setTimeout(async () => {
		console.error('the play took too long');
		deployment?.record.add('the play took too long');
		await deployment?.close();
		process.exit(exitCodes.notRun);
	}, maxPlayMs);
	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.on(signal, async () => {
			await deployment?.close();
			process.exit(exitCodes.notRun);
		});
	}

	let code = exitCodes.notRun;
	try {
		deployment = await Deployment.create({folder, entryCount, poolsOff});
		deployment.record.add(isTroubled ? 'played with the disruption' : 'played without the disruption');
		const breaks = await play(deployment);
		for (const text of breaks) {
			deployment.record.add(`BROKEN: ${text}`);
			console.log(text);
		}

		code = breaks.length > 0 ? exitCodes.broken : exitCodes.held;
		deployment.record.add(breaks.length > 0 ? 'result: the rule was broken' : 'result: the rule held');
		console.log(breaks.length > 0 ? 'the rule was broken' : 'the rule held');
	} catch (error) {
		console.error(error);
		deployment?.record.add(`the case could not run: ${error}`);
	} finally {
		clearTimeout(watchdog);
		if (process.env.KEEP_LOGS !== undefined) {
			for (const {name, log} of deployment?.entries ?? []) {
				await writeFile(path.join(process.env.KEEP_LOGS, `${name}.log`), log);
			}
		}

		await deployment?.close();
	}

	process.exit(code);
}
