/**
 * Runs the demo: starts the processes, generates load, performs operator actions, injects faults, and checks the results.
 */
import {mkdtemp, readFile, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {SeededRandom, type RandomSource} from '@tamarackwind/core';
import {hashToken} from '@tamarackwind/entry';
import {type VmRecord} from '@tamarackwind/clients';
import {
	mergeValues, parseJsonc, settingsTreeSchema, type SettingsTree,
} from '@tamarackwind/settings';
import {request} from 'undici';
import {Balancer} from './balancers.js';
import {createEntryRecord, createWorkerRecord} from './clusters.js';
import {runCommandLine} from './commands.js';
import {DemoCaller, type DemoOutcome} from './demo-callers.js';
import {DemoJob} from './demo-jobs.js';
import {type DemoWorkload} from './demo-workloads.js';
import {FakePlatform} from './fake-platforms.js';
import {
	EntryProcess, createEntryConfig, operatorToken, waitUntil,
} from './entry-processes.js';
import {WorkerProcess} from './worker-processes.js';
import {type WorkerRun} from './fake-workers.js';

const entryCount = 5;
const workersPerPool = 4;
const sessionsPerCaller = 4;
const seed = 20_261;
const examplesFolder = fileURLToPath(new URL('../../../../examples/settings/', import.meta.url));

type Check = {readonly name: string; readonly found: number; readonly allowed: number};

async function loadTree(deployment: string): Promise<SettingsTree> {
	const trees = await Promise.all(['root', deployment].map(async name => {
		const file = `${examplesFolder}${name}.jsonc`;
		return parseJsonc(settingsTreeSchema, await readFile(file, 'utf8'), file);
	}));
	return mergeValues(trees[0]!, trees[1]!) as SettingsTree;
}

function addTokens(tree: SettingsTree, deployment: string, tokens: ReadonlyMap<string, string>): SettingsTree {
	const callers = Object.fromEntries([...tokens].map(([id, token]) => [id, {tokenHashes: [hashToken(token)]}]));
	const operators = {'platform-team': {tokenHashes: [hashToken(operatorToken)]}};
	return mergeValues(tree, {operators, deployments: {[deployment]: {callers}}}) as SettingsTree;
}

/** One run of the demo. */
export class DemoRun {
	/** Starts the fake platform, the workers and the entries. */
	static async create(workload: DemoWorkload): Promise<DemoRun> {
		const demo = new DemoRun(workload, await FakePlatform.create());
		await demo.#start();
		return demo;
	}

	readonly #workload: DemoWorkload;
	readonly #platform: FakePlatform;
	readonly #random: RandomSource = SeededRandom.create(seed);
	readonly #tokens: ReadonlyMap<string, string>;
	readonly #workerProcesses: WorkerProcess[] = [];
	readonly #entries: EntryProcess[] = [];
	readonly #workers: VmRecord[] = [];
	readonly #startedAt = Date.now();
	#tree: SettingsTree = {deployments: {}};
	#settingsVersion = 0;
	#stoppedEntry: EntryProcess | undefined;
	#drainedWorker: {readonly vmId: string; readonly since: number} | undefined;

	private constructor(workload: DemoWorkload, platform: FakePlatform) {
		this.#workload = workload;
		this.#platform = platform;
		this.#tokens = new Map(workload.callerIds.map(id => [id, this.#random.createToken()]));
	}

	/** Runs the load with all operator actions and faults, prints the results and reports whether all checks passed. */
	async run(durationMs: number): Promise<boolean> {
		const balancer = await Balancer.create(this.#entries, this.#random);
		const callers = this.#workload.callerIds.map(id => ({id, caller: DemoCaller.create({balancer, random: this.#random, token: this.#tokens.get(id)!})}));
		const loadController = new AbortController();
		const sessions = callers.flatMap(({id, caller}) => Array.from({length: sessionsPerCaller}, async () => this.#workload.runSession({
			caller, callerId: id, random: this.#random, signal: loadController.signal,
		})));
		const pickUrl = (): string => balancer.pickUrl() ?? this.#entries[0]!.getUrl('caller');
		await this.#runOperatorActions(durationMs / 2);
		const job = await DemoJob.create({platform: this.#platform, token: this.#tokens.get(this.#workload.callerIds[0]!)!, pickUrl});
		this.#print('the season build was accepted as a job');
		await this.#runFaults(durationMs / 2, job);
		loadController.abort();
		await Promise.all(sessions);
		this.#print('sessions ended');
		const jobFaults = await job.findFaults();
		await balancer.close();
		await Promise.all(callers.map(async ({caller}) => caller.close()));
		this.#print('load ended');
		return this.#report(callers.flatMap(({caller}) => caller.outcomes), await this.#readRuns(), jobFaults);
	}

	/** Stops all processes. */
	async close(): Promise<void> {
		await Promise.all([...this.#entries, ...this.#workerProcesses].map(async child => child.close()));
		await this.#platform.close();
	}

	async #start(): Promise<void> {
		const {deployment} = this.#workload;
		this.#tree = addTokens(await loadTree(deployment), deployment, this.#tokens);
		for (const pool of Object.keys(this.#tree.deployments[deployment]!.pools)) {
			const vmIds = Array.from({length: workersPerPool}, (_, index) => `${pool}-${index + 1}`);
			const workerProcess = await WorkerProcess.create(vmIds);
			this.#workerProcesses.push(workerProcess);
			this.#workers.push(...vmIds.map((vmId, index) => createWorkerRecord(pool, index, workerProcess.ports[vmId]!)));
		}

		this.#platform.putVms(this.#workers);
		this.#print(`${this.#workers.length} workers are running in ${this.#workerProcesses.length} processes`);
		await Promise.all(Array.from({length: entryCount}, async (_, index) => this.#startEntry(`entry-${index + 1}`, index)));
		await this.#applySettings('initial settings');
		await Promise.all(this.#entries.map(async entry => waitUntil(async () => entry.isReady())));
		this.#print(`${entryCount} entries are ready`);
	}

	async #startEntry(entryId: string, index: number): Promise<void> {
		const entry = await EntryProcess.create({...createEntryConfig(entryId, this.#platform.url), deployment: this.#workload.deployment});
		this.#entries[index] = entry;
		this.#platform.putVms([createEntryRecord(entryId, entry)]);
	}

	async #applySettings(why: string): Promise<void> {
		const folder = await mkdtemp(path.join(tmpdir(), 'tamarackwind-'));
		await writeFile(path.join(folder, 'settings.jsonc'), JSON.stringify(this.#tree));
		await this.#runCommand(['settings', 'apply', folder, '--base', String(this.#settingsVersion), '--why', why]);
		this.#settingsVersion++;
		this.#print(`settings version ${this.#settingsVersion} is in force: ${why}`);
	}

	async #runCommand(args: readonly string[]): Promise<string> {
		const {code, stdout, stderr} = await runCommandLine(this.#entries[0]!, args);
		if (code !== 0) {
			throw new Error(`tamarackwind ${args.join(' ')} exited with code ${code}: ${stderr}`);
		}

		return stdout;
	}

	async #runOperatorActions(durationMs: number): Promise<void> {
		await delay(durationMs / 2);
		this.#tree = mergeValues(this.#tree, {service: {maxAttempts: 2}}) as SettingsTree;
		await this.#applySettings('fewer attempts');
		await this.#drainWorker();
		await delay(durationMs / 2);
	}

	async #runFaults(durationMs: number, job: DemoJob): Promise<void> {
		const vmId = await job.waitForCheckpoint();
		const leaderIndex = await this.#findJobLeader();
		const stoppedIndex = this.#entries.findIndex((_, index) => index !== 0 && index !== leaderIndex);
		this.#stoppedEntry = this.#entries[stoppedIndex];
		this.#print(`sending SIGTERM to entry-${stoppedIndex + 1}`);
		this.#stoppedEntry!.kill('SIGTERM');
		await delay(durationMs / 4);
		this.#print(`sending SIGKILL to entry-${leaderIndex + 1}, which schedules the jobs; restarting ${vmId}, which runs the season build`);
		this.#entries[leaderIndex]!.kill('SIGKILL');
		await this.#platform.tasks.restartWorker(vmId);
		await delay(durationMs / 4);
	}

	/** Returns the index of the entry that schedules jobs. */
	async #findJobLeader(): Promise<number> {
		const row = await this.#platform.tables.getRow({table: 'duties', key: 'jobs'});
		const {holder} = row!.value as {readonly holder: string};
		return this.#entries.findIndex((_, index) => holder === `entry-${index + 1}`);
	}

	async #drainWorker(): Promise<void> {
		const {vmId} = this.#workers[1]!;
		await this.#runCommand(['wave', 'start', '--vm', vmId, '--action', 'drain', '--id', 'demo-drain']);
		this.#print(`a wave drains worker ${vmId}`);
		await waitUntil(async () => {
			const vms = JSON.parse(await this.#runCommand(['vm', 'list', '--json'])) as Array<{readonly vmId: string; readonly state: string}>;
			return vms.some(vm => vm.vmId === vmId && vm.state === 'out');
		});
		this.#drainedWorker = {vmId, since: Date.now()};
		this.#print(`worker ${vmId} is out`);
	}

	async #readRuns(): Promise<WorkerRun[]> {
		const histories = await Promise.all(this.#workers.map(async vm => {
			const response = await request(`http://${vm.address}:${vm.port}/history`);
			return response.body.json() as Promise<WorkerRun[]>;
		}));
		return histories.flat();
	}

	async #report(outcomes: readonly DemoOutcome[], runs: readonly WorkerRun[], jobFaults: readonly string[]): Promise<boolean> {
		const exitCode = await this.#stoppedEntry!.waitForExit();
		const checks = [
			{name: 'results that fail their validation', found: this.#countFaultyResults(outcomes), allowed: 0},
			{name: 'keys of non-idempotent work that ran more than once', found: this.#countDuplicateRuns(runs), allowed: 0},
			{name: 'calls with verdict not-run that ran', found: countFalseNotRun(outcomes, runs), allowed: 0},
			{name: 'calls that ended as not-run after all retries', found: outcomes.filter(outcome => outcome.verdict === 'not-run').length, allowed: 0},
			{name: 'idempotent calls without a result', found: outcomes.filter(outcome => outcome.call.isIdempotent && outcome.verdict !== 'ran').length, allowed: 0},
			{name: 'runs started on the drained worker after it was out', found: this.#countRunsAfterDrain(runs), allowed: 0},
			{name: 'faults of the season build that lost its scheduler and worker', found: jobFaults.length, allowed: 0},
			{name: 'exit code of the gracefully stopped entry', found: exitCode ?? -1, allowed: 0},
		];
		printOutcomes(outcomes);
		printChecks(checks);
		return checks.every(check => check.found === check.allowed) && outcomes.length > 0;
	}

	#countFaultyResults(outcomes: readonly DemoOutcome[]): number {
		const faultyOutcomes = outcomes.filter(outcome => outcome.verdict === 'ran' && this.#workload.findFaults(outcome.call, outcome.result).length > 0);
		for (const {call, result} of faultyOutcomes.slice(0, 3)) {
			console.error(this.#workload.findFaults(call, result));
		}

		return faultyOutcomes.length;
	}

	#countDuplicateRuns(runs: readonly WorkerRun[]): number {
		const counts = new Map<string, number>();
		for (const {requestKey, path} of runs) {
			if (requestKey !== undefined && this.#workload.nonIdempotentWorks.includes(path.slice(1))) {
				counts.set(requestKey, (counts.get(requestKey) ?? 0) + 1);
			}
		}

		return [...counts.values()].filter(count => count > 1).length;
	}

	#countRunsAfterDrain(runs: readonly WorkerRun[]): number {
		const drained = this.#drainedWorker;
		return drained === undefined ? -1 : runs.filter(run => run.vmId === drained.vmId && run.startedAt > drained.since).length;
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

function computeQuantile(sorted: readonly number[], quantile: number): number {
	return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0);
}

function printOutcomes(outcomes: readonly DemoOutcome[]): void {
	const rows = [...new Set(outcomes.map(outcome => outcome.call.work))].map(work => {
		const workOutcomes = outcomes.filter(outcome => outcome.call.work === work);
		const times = workOutcomes.map(outcome => outcome.elapsedMs).toSorted((a, b) => a - b);
		return {
			work,
			calls: workOutcomes.length,
			answered: workOutcomes.filter(outcome => outcome.verdict === 'ran').length,
			unknown: workOutcomes.filter(outcome => outcome.verdict === 'may-have-run').length,
			'sent again': workOutcomes.filter(outcome => outcome.attempts > 1).length,
			'p50 ms': computeQuantile(times, 0.5),
			'p99 ms': computeQuantile(times, 0.99),
		};
	});
	console.table(rows);
}

function printChecks(checks: readonly Check[]): void {
	console.table(checks.map(({name, found, allowed}) => ({
		check: name, found, allowed, held: found === allowed,
	})));
}
