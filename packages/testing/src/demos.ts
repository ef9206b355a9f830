/**
 * The run of a demo: processes, load, events and checks.
 */
import {createHash} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {SeededRandom, type RandomSource} from '@tamarackwind/core';
import {type VmRecord} from '@tamarackwind/platform';
import {
	mergeValues, parseJsonc, settingsTreeSchema, type SettingsTree,
} from '@tamarackwind/settings';
import {request} from 'undici';
import {Balancer} from './balancers.js';
import {createWorkerRecord} from './clusters.js';
import {DemoCaller, type DemoOutcome} from './demo-callers.js';
import {type DemoWork} from './demo-works.js';
import {PlatformStandIn} from './platforms.js';
import {EntryProcess, createLoopbackConfig, waitUntil} from './processes.js';
import {WorkerProcess} from './worker-processes.js';
import {type WorkerRun} from './workers.js';

const entryCount = 5;
const workersPerPool = 4;
const sessionsPerCaller = 4;
const seed = 20_261;
/** Time after which a leaving worker must get no new work. */
const leavingBoundMs = 3000;
const examplesFolder = fileURLToPath(new URL('../../../../examples/settings/', import.meta.url));

type Check = {readonly name: string; readonly found: number; readonly allowed: number};

async function loadTree(deployment: string): Promise<SettingsTree> {
	const trees = await Promise.all(['root', deployment].map(async name => {
		const file = `${examplesFolder}${name}.jsonc`;
		return parseJsonc(settingsTreeSchema, await readFile(file, 'utf8'), file);
	}));
	return mergeValues(trees[0]!, trees[1]!) as SettingsTree;
}

function withTokens(tree: SettingsTree, deployment: string, tokens: ReadonlyMap<string, string>): SettingsTree {
	const callers = Object.fromEntries([...tokens].map(([id, token]) => [id, {tokenHashes: [`sha256:${createHash('sha256').update(token).digest('hex')}`]}]));
	return mergeValues(tree, {deployments: {[deployment]: {callers}}}) as SettingsTree;
}

/** One run of the demo of a deployment. */
export class Demo {
	/** Starts the platform's stand-in, the workers and the entries. */
	static async create(work: DemoWork): Promise<Demo> {
		const demo = new Demo(work, await PlatformStandIn.create());
		await demo.#start();
		return demo;
	}

	readonly #work: DemoWork;
	readonly #platform: PlatformStandIn;
	readonly #random: RandomSource = SeededRandom.create(seed);
	readonly #tokens: ReadonlyMap<string, string>;
	readonly #workerProcesses: WorkerProcess[] = [];
	readonly #entries: EntryProcess[] = [];
	readonly #workers: VmRecord[] = [];
	readonly #startedAt = Date.now();
	#tree: SettingsTree = {deployments: {}};
	#drained: {readonly vmId: string; readonly since: number} | undefined;

	private constructor(work: DemoWork, platform: PlatformStandIn) {
		this.#work = work;
		this.#platform = platform;
		this.#tokens = new Map(work.callerIds.map(id => [id, this.#random.createToken()]));
	}

	/** Runs the load for a time with the events in it, prints the table and tells whether every check held. */
	async run(durationMs: number): Promise<boolean> {
		const balancer = await Balancer.create(this.#entries, this.#random);
		const callers = this.#work.callerIds.map(id => ({id, caller: DemoCaller.create({balancer, random: this.#random, token: this.#tokens.get(id)!})}));
		const load = new AbortController();
		const sessions = callers.flatMap(({id, caller}) => Array.from({length: sessionsPerCaller}, async () => this.#work.runSession({
			caller, callerId: id, random: this.#random, signal: load.signal,
		})));
		await this.#runEvents(durationMs);
		load.abort();
		await Promise.all(sessions);
		this.#print('sessions ended');
		await balancer.close();
		await Promise.all(callers.map(async ({caller}) => caller.close()));
		this.#print('load ended');
		return this.#report(callers.flatMap(({caller}) => caller.outcomes), await this.#readRuns());
	}

	/** Ends every process. */
	async close(): Promise<void> {
		await Promise.all([...this.#entries, ...this.#workerProcesses].map(async child => child.close()));
		await this.#platform.close();
	}

	async #start(): Promise<void> {
		const {deployment} = this.#work;
		this.#tree = withTokens(await loadTree(deployment), deployment, this.#tokens);
		for (const pool of Object.keys(this.#tree.deployments[deployment]!.pools)) {
			const vmIds = Array.from({length: workersPerPool}, (_, index) => `${pool}-${index + 1}`);
			const workers = await WorkerProcess.create(vmIds);
			this.#workerProcesses.push(workers);
			this.#workers.push(...vmIds.map((vmId, index) => createWorkerRecord(pool, index, workers.ports[vmId]!)));
		}

		this.#platform.putVms(this.#workers);
		await this.#putTree(1);
		this.#print(`${this.#workers.length} workers run in ${this.#workerProcesses.length} processes`);
		const starts = Array.from({length: entryCount}, async (_, index) => EntryProcess.create({
			...createLoopbackConfig(`entry-${index + 1}`, this.#platform.url), deployment,
		}));
		this.#entries.push(...await Promise.all(starts));
		await Promise.all(this.#entries.map(async entry => waitUntil(async () => entry.isReady())));
		this.#print(`${entryCount} entries are ready`);
	}

	async #putTree(version: number): Promise<void> {
		await this.#platform.tables.commit({checks: [], writes: [{table: 'settings', key: 'current', value: {version, tree: this.#tree}}]});
	}

	async #runEvents(durationMs: number): Promise<void> {
		const pause = durationMs / 5;
		await delay(pause);
		await this.#changeSettings();
		await delay(pause);
		this.#drainWorker();
		await delay(pause);
		this.#print('entry-2 gets SIGTERM');
		this.#entries[1]!.kill('SIGTERM');
		await delay(pause);
		this.#print('entry-3 gets SIGKILL');
		this.#entries[2]!.kill('SIGKILL');
		await delay(pause);
	}

	async #changeSettings(): Promise<void> {
		this.#tree = mergeValues(this.#tree, {service: {maxAttempts: 2}}) as SettingsTree;
		await this.#putTree(2);
		this.#print('settings version 2 is written');
	}

	#drainWorker(): void {
		const vm = this.#workers[1]!;
		this.#platform.putVms([{...vm, state: 'leaving'}]);
		this.#drained = {vmId: vm.vmId, since: Date.now()};
		this.#print(`worker ${vm.vmId} is leaving`);
	}

	async #readRuns(): Promise<WorkerRun[]> {
		const histories = await Promise.all(this.#workers.map(async vm => {
			const answer = await request(`http://${vm.address}:${vm.port}/history`);
			return answer.body.json() as Promise<WorkerRun[]>;
		}));
		return histories.flat();
	}

	async #report(outcomes: readonly DemoOutcome[], runs: readonly WorkerRun[]): Promise<boolean> {
		const exitCode = await this.#entries[1]!.waitForExit();
		const checks = [
			{name: 'answers that fail their check', found: this.#countFaults(outcomes), allowed: 0},
			{name: 'keys of non-idempotent work that ran twice', found: this.#countDoubles(runs), allowed: 0},
			{name: 'calls told not-run that ran', found: countFalseNotRun(outcomes, runs), allowed: 0},
			{name: 'calls refused until their caller gave up', found: outcomes.filter(outcome => outcome.verdict === 'not-run').length, allowed: 0},
			{name: 'idempotent calls without an answer', found: outcomes.filter(outcome => outcome.call.isIdempotent && outcome.verdict !== 'ran').length, allowed: 0},
			{name: 'runs on the leaving worker after 3 s', found: this.#countLateRuns(runs), allowed: 0},
			{name: 'exit code of the entry that was stopped', found: exitCode ?? -1, allowed: 0},
		];
		printOutcomes(outcomes);
		printChecks(checks);
		return checks.every(check => check.found === check.allowed) && outcomes.length > 0;
	}

	#countFaults(outcomes: readonly DemoOutcome[]): number {
		const faulty = outcomes.filter(outcome => outcome.verdict === 'ran' && this.#work.findFaults(outcome.call, outcome.answer).length > 0);
		for (const {call, answer} of faulty.slice(0, 3)) {
			console.error(this.#work.findFaults(call, answer));
		}

		return faulty.length;
	}

	#countDoubles(runs: readonly WorkerRun[]): number {
		const counts = new Map<string, number>();
		for (const {requestKey, path} of runs) {
			if (requestKey !== undefined && this.#work.nonIdempotentWorks.includes(path.slice(1))) {
				counts.set(requestKey, (counts.get(requestKey) ?? 0) + 1);
			}
		}

		return [...counts.values()].filter(count => count > 1).length;
	}

	#countLateRuns(runs: readonly WorkerRun[]): number {
		const drained = this.#drained;
		return drained === undefined ? -1 : runs.filter(run => run.vmId === drained.vmId && run.startedAt > drained.since + leavingBoundMs).length;
	}

	#print(message: string): void {
		const seconds = ((Date.now() - this.#startedAt) / 1000).toFixed(1);
		console.log(`${seconds.padStart(6)} s  ${message}`);
	}
}

function countFalseNotRun(outcomes: readonly DemoOutcome[], runs: readonly WorkerRun[]): number {
	const ranKeys = new Set(runs.map(run => run.requestKey));
	return outcomes.filter(outcome => outcome.verdict === 'not-run' && ranKeys.has(outcome.key)).length;
}

function readQuantile(sorted: readonly number[], quantile: number): number {
	return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0);
}

function printOutcomes(outcomes: readonly DemoOutcome[]): void {
	const rows = [...new Set(outcomes.map(outcome => outcome.call.work))].map(work => {
		const own = outcomes.filter(outcome => outcome.call.work === work);
		const times = own.map(outcome => outcome.elapsedMs).toSorted((a, b) => a - b);
		return {
			work,
			calls: own.length,
			answered: own.filter(outcome => outcome.verdict === 'ran').length,
			unknown: own.filter(outcome => outcome.verdict === 'may-have-run').length,
			'sent again': own.filter(outcome => outcome.sends > 1).length,
			'p50 ms': readQuantile(times, 0.5),
			'p99 ms': readQuantile(times, 0.99),
		};
	});
	console.table(rows);
}

function printChecks(checks: readonly Check[]): void {
	console.table(checks.map(({name, found, allowed}) => ({
		check: name, found, allowed, held: found === allowed,
	})));
}
