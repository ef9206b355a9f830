/**
 * A small deployment: entries with the command of the deploy file, and stand-ins of the store, the control of machines and the workers.
 */
import {spawn} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer, connect} from 'node:net';
import {request} from 'node:http';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {Cloud} from './stand-in-2-clouds.js';
import {PlayRecord} from './stand-in-2-records.js';
import {waitUntil} from './stand-in-2-servers.js';
import {Store} from './stand-in-2-stores.js';
import {RunLedger, Worker} from './stand-in-2-workers.js';

const root = fileURLToPath(new URL('..', import.meta.url));
const host = '127.0.0.1';
const readyMs = 20_000;
const firstPort = 20_000;
const portCount = 12_000;
const portsPerPlay = 60;
const sparePool = 'spare';
const queueHost = 'queues.example';
/** Bounds of the smallest deployment, as `fleetbench wire` shows them. */
export const bounds = {
	contactMs: 3000, ackMs: 4000, graceS: 6, configApplyMs: 2000, cancelMs: 3000, stopMs: 900, noticeMs: 4500, leaseMs: 3000,
};

export class Deployment {
	static async create(options) {
		const deployment = new Deployment(options);
		try {
			await deployment.#begin();
			return deployment;
		} catch (error) {
			await deployment.close();
			throw error;
		}
	}

	record = PlayRecord.create();
	ledger = RunLedger.create(this.record);
	store;
	cloud;
	entries = [];
	#options;
	#folder = mkdtempSync(path.join(os.tmpdir(), 'case-'));
	#isClosed = false;
	#nextPort = firstPort + ((process.pid * portsPerPlay) % portCount);

	constructor(options) {
		this.#options = {
			entries: 2, services: {work: 4}, capacity: {cpu: 8000, memMb: 32_768, gpu: 0}, queue: {}, ...options,
		};
	}

	get workers() {
		return this.cloud.listMachines().map(({worker}) => worker);
	}

	/** Starts the process of an entry. */
	startEntry(entry) {
		if (this.#isClosed) {
			return;
		}

		const child = spawn(process.execPath, readEntryWords(), {
			cwd: root, env: {PATH: process.env.PATH, HOME: process.env.HOME, TAMARACKWIND_SETTINGS: entry.settings}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		entry.child = child;
		entry.output = '';
		for (const stream of [child.stdout, child.stderr]) {
			stream.on('data', chunk => {
				entry.output += chunk;
			});
		}

		child.on('exit', (code, signal) => {
			this.record.add(`${entry.name} ends: ${signal ?? code}`);
		});
		this.record.add(`${entry.name} starts`);
	}

	/** Kills the process of an entry; it starts again after `downMs`, if that is given. */
	async kill(entry, downMs) {
		this.record.add(`${entry.name} is killed`);
		const ended = new Promise(resolve => {
			entry.child.once('exit', resolve);
		});
		entry.child.kill('SIGKILL');
		await ended;
		if (downMs !== undefined) {
			setTimeout(() => {
				this.startEntry(entry);
			}, downMs);
		}
	}

	/** Entry that renewed the scheduler lease last. */
	get holder() {
		const lease = this.store.listRows('duties').find(({key}) => key === 'scheduler');
		return this.entries.find(({name}) => name === lease?.value.holder);
	}

	async isReady({readiness}) {
		const {status} = await sendRequest({
			port: readiness, method: 'GET', path: '/tamarackwind/ready', timeoutMs: 500,
		});
		return status === 200;
	}

	async waitUntilReady(entry) {
		if (!await waitUntil(async () => this.isReady(entry), readyMs, 50)) {
			throw new Error(`${entry.name} does not become ready`);
		}
	}

	/** Sends a request of a client on a connection of its own, and records it with its answer. */
	async send(entry, method, name, {body, deadlineMs = 3000, leaveMs, queue = 'work'} = {}) {
		this.record.add(`client to ${entry.name}: ${method} ${name}`);
		const answer = await sendRequest({
			port: entry.frontend, method, path: `/${queue}/${name}`, body, headers: {host: queueHost, 'x-deadline-ms': String(deadlineMs)}, timeoutMs: leaveMs ?? deadlineMs,
		});
		this.record.add(`answer to ${method} ${name}: ${answer.status ?? answer.end} ${answer.text ?? ''}`);
		return answer;
	}

	/** Declares a wave of upkeep. */
	startWave(wave, machines, {cap, durationS = 20}) {
		this.record.add(`wave ${wave} over ${machines.join(' ')}, ${cap} at once`);
		this.store.putRow('op', `wave/${wave}`, {
			wave, machines, durationS, cap,
		});
	}

	/** Ends all processes and stand-ins; the logs of the entries go to `logFolder`, if that is given. */
	async close({logFolder} = {}) {
		this.#isClosed = true;
		await Promise.all(this.entries.filter(({child}) => child !== undefined && child.exitCode === null && child.signalCode === null).map(async ({child}) => {
			const ended = new Promise(resolve => {
				child.once('exit', resolve);
			});
			child.kill('SIGCONT');
			child.kill('SIGKILL');
			await ended;
		}));
		if (logFolder !== undefined) {
			for (const {name, output} of this.entries) {
				writeFileSync(path.join(logFolder, `${name}.log`), output ?? '');
			}
		}

		this.cloud?.close();
		this.store?.close();
		rmSync(this.#folder, {recursive: true, force: true});
	}

	async #begin() {
		const {services, capacity, entries, queue} = this.#options;
		this.store = await Store.create(this.record);
		this.cloud = await Cloud.create({record: this.record, store: this.store, sparePool});
		for (const [service, count] of Object.entries(services)) {
			for (let index = 0; index < count; index++) {
				const worker = await Worker.create({
					store: this.store, record: this.record, ledger: this.ledger, service, labels: ['a', `r1-${index}`], capacity,
				});
				this.cloud.addMachine(`m-${service}-${index}`, worker);
			}
		}

		this.store.putRow('op', 'config', {
			version: 7,
			routes: Object.keys(services).map(service => ({
				name: `r-${service}`, host: queueHost, pathPrefix: `/${service}/`, kind: 'non_idempotent', timeoutMs: 3000, targetLatencyMs: 600, priority: 0, service, maxAttempts: 3, slackFactor: 2, ...queue,
			})),
			services: [...Object.keys(services), sparePool].map(name => ({
				name, healthPath: '/health', maxConnections: 64, protocol: 'h1', tls: false, enforcesCapacity: true, spare: name === sparePool,
			})),
			limits: {
				maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
			},
		});
		for (let index = 0; index < entries; index++) {
			this.entries.push(await this.#createEntry(`edge-${index + 1}`));
		}

		for (const entry of this.entries) {
			this.startEntry(entry);
		}

		for (const entry of this.entries) {
			await this.waitUntilReady(entry);
		}
	}

	async #createEntry(name) {
		const [frontend, readiness, internal] = [await this.#findPort(), await this.#findPort(), await this.#findPort()];
		const settings = path.join(this.#folder, `${name}.toml`);
		writeFileSync(settings, formatSettings({
			name, frontend, readiness, internal, store: this.store.address, cloud: this.cloud.address,
		}));
		return {
			name, frontend, readiness, settings, child: undefined, output: '',
		};
	}

	/** Finds a free port below those that the system hands out. */
	async #findPort() {
		for (;;) {
			const port = this.#nextPort++;
			const server = createServer();
			const isFree = await new Promise(resolve => {
				server.once('error', () => {
					resolve(false);
				});
				server.listen(port, host, () => {
					resolve(true);
				});
			});
			if (isFree) {
				await new Promise(resolve => {
					server.close(resolve);
				});
				return port;
			}
		}
	}
}

/** Creates a random job id. */
export function createJobId() {
	return Array.from({length: 16}, () => Math.floor(Math.random() * 16).toString(16)).join('');
}

/** Formats the body of a submission; each step says what its tasks do at the workers of these stand-ins. */
export function formatJob(steps) {
	return {
		spec: JSON.stringify({
			steps: steps.map(({count, cpu = 1000, memMb = 100, ms = 0, longRunning, gang, failures, checkpointing}) => ({
				cpu, memMb, ms, lasts: longRunning, gang: gang ? count : undefined, failures, isSaving: checkpointing,
			})),
		}),
		steps: steps.map(({ms = 0, failures, cpu = 1000, memMb = 100, ...step}) => ({
			cpu, memMb, estimatedMs: Math.max(1, ms), ...step,
		})),
	};
}

/** Sends one HTTP request; resolves to its status and text, or to how it ended without an answer. */
export async function sendRequest({port, method, path: target, body, headers = {}, timeoutMs}) {
	return new Promise(resolve => {
		const text = body === undefined ? undefined : JSON.stringify(body);
		const sent = request({
			host, port, method, path: target, agent: false, headers: {...headers, ...(text === undefined ? {} : {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)})},
		}, response => {
			const chunks = [];
			response.on('data', chunk => {
				chunks.push(chunk);
			});
			response.on('end', () => {
				clearTimeout(timer);
				resolve({status: response.statusCode, text: Buffer.concat(chunks).toString('utf8')});
			});
		});
		const timer = setTimeout(() => {
			resolve({end: 'the client leaves'});
			sent.destroy();
		}, timeoutMs);
		sent.on('error', error => {
			clearTimeout(timer);
			resolve({end: error.code ?? error.message});
		});
		sent.end(text);
	});
}

/** Reports whether something listens on a port. */
export async function isListening(port) {
	return new Promise(resolve => {
		const socket = connect({host, port});
		socket.once('connect', () => {
			socket.destroy();
			resolve(true);
		});
		socket.once('error', () => {
			resolve(false);
		});
	});
}

/** Reads the words of the entry's command from the deploy file, without the program. */
function readEntryWords() {
	const deploy = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	return /^run = "node ([^"]*)"/mv.exec(deploy)[1].split(' ');
}

function formatSettings({name, frontend, readiness, internal, store, cloud}) {
	return `nodeName = "${name}"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "${host}"
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

[zones]
zone-a = "region"

[listenAddrs]
frontend = "${host}:${frontend}"
readiness = "${host}:${readiness}"

[limits]
cpuShare = 0.675
cores = 1
memoryMb = 350
maxFds = 4100
linkMbps = 1000.0

[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = ${bounds.contactMs}
ackMs = ${bounds.ackMs}
catchUpS = 4
drainMs = 2000
graceS = ${bounds.graceS}
lossSlackMs = 200
configApplyMs = ${bounds.configApplyMs}
downgradeSlackMs = 250
maxExtensionMs = 5000
recoveryS = 12
holdMaxMs = 10000
stopMs = ${bounds.stopMs}
gangMs = 3000
cancel_ms = ${bounds.cancelMs}
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remoteSlowdown = 1.5
checkpointS = 0.5
restoreMs = 250
noticeMs = ${bounds.noticeMs}
moveS = 1.5
maintenanceS = 2
fencingEnabled = false
leaseMs = ${bounds.leaseMs}
thawMs = 300
paceMs = 100
harmMs = 4000

[platform]
address = "${store}"
form = "table"
writesPerS = 800
readsPerS = 2000
txMs = 8.0
partitionWritesS = 150
rowBytes = 65536
across = false
historyS = 20

[cloud]
address = "${cloud}"
ratePerS = 64.0
dutiesPerS = 64.0
`;
}
