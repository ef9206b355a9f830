import {
	type AccountName, type JobId, type ServiceName, type VmId, type ZoneName,
} from '@tamarackwind/core';
import {
	addResources, noResources, type Resources, type StepSpec,
} from '@tamarackwind/scheduling';
import test from 'ava';
import fc from 'fast-check';
import {
	AccountLedger, ActiveJob, AdviceCache, isAssigned, PlacementPass, WaitingSteps, type ClientAccount, type Configuration, type PlanCandidate, type PoolAccounts, type TaskPhase, type WorkerSession,
} from '../src/index.js';

const now = 10_000;
const limits = {valueBytes: 49_152, transactionBytes: 690_000, transactionEntries: 100};
const pools = ['north', 'south'] as ServiceName[];
const one = 'one' as AccountName;
const two = 'two' as AccountName;
const step: StepSpec = {
	count: 1, resources: {cpu: 1000, memory: 10, gpu: 0}, estimatedMs: 800, after: [], isCheckpointing: false, isGang: false, isSameRack: false, isSpeculative: false, isLongRunning: false, isFiller: false,
};
/** Queues without a placement policy ask for no tickets. */
const advice: AdviceCache = Object.create(AdviceCache.prototype) as AdviceCache;

let jobCount = 0;

function createJob(account: AccountName | undefined, spec: Partial<StepSpec> = {}): ActiveJob {
	const job = ActiveJob.create({
		id: `job-${jobCount++}` as JobId, service: pools[0]!, queue: 'north', payload: '', steps: [{...step, ...spec}], submittedAt: now, account, policy: {
			priority: 0, maxAttempts: 3, slackFactor: 2, targetLatencyMs: 600,
		},
	}, {monotonic: now, wall: now}, limits);
	job.openOccurrences(now);
	return job;
}

function createAccount(name: AccountName, cap: Partial<Resources>): ClientAccount {
	return {
		name, weight: 1, cap: {...noResources, ...cap}, keyHashes: [],
	};
}

function createConfiguration(accounts: readonly ClientAccount[] | undefined): Configuration {
	return {
		version: 1, queues: [], pools: pools.map(name => ({name, isSpare: false})), limits: {maxBodyBytes: 1}, accounts,
	};
}

type Setting = {readonly ledger: AccountLedger; readonly parts: readonly PoolAccounts[]; readonly woken: ServiceName[]; readonly configure: (accounts: readonly ClientAccount[] | undefined) => void};

/** Opens the ledger of both pools. */
function openLedger(accounts: readonly ClientAccount[] | undefined, loaded: readonly ServiceName[] = pools): Setting {
	const declarations = {configuration: createConfiguration(accounts)};
	const ledger = AccountLedger.create({declarations, clock: {readMonotonic: () => now}});
	const woken: ServiceName[] = [];
	const parts = pools.map(service => ledger.openPool(service, () => {
		woken.push(service);
	}));
	for (const part of parts.filter(({service}) => loaded.includes(service))) {
		part.markLoaded();
	}

	return {
		ledger, parts, woken, configure(changed) {
			declarations.configuration = createConfiguration(changed);
		},
	};
}

function createCandidates(count: number): PlanCandidate[] {
	return Array.from({length: count}, (_, index) => ({
		id: `worker-${index}` as VmId, zone: 'zone-a' as ZoneName, labels: [], capacity: {cpu: 8000, memory: 8000, gpu: 8}, free: {cpu: 8000, memory: 8000, gpu: 8}, suspicion: 0, servingTasks: 0, fillerTasks: 0, suspectLoad: 0, isReserved: false,
		session: {record: {startedAt: 1}, addTask() {}, hasUnprovenRuns: false} as unknown as WorkerSession,
	}));
}

/** Plans one pass over jobs of a pool; returns the number of tasks placed of each. */
function plan(accounts: PoolAccounts, jobs: readonly ActiveJob[], workers = 10): number[] {
	const waiting = WaitingSteps.create();
	for (const job of jobs) {
		waiting.add(job);
	}

	const pass = PlacementPass.create({
		candidates: createCandidates(workers), advice, accounts, now, isOverBudget: () => false,
	});
	const placed = new Map<ActiveJob, number>();
	waiting.update(now, () => false);
	waiting.visit({
		now, isOverBudget: () => false, explain: demand => pass.explainWait(demand), place(ready) {
			placed.set(ready.job, (placed.get(ready.job) ?? 0) + pass.placeStep(ready).length);
			return false;
		},
	});
	return jobs.map(job => placed.get(job) ?? 0);
}

type PlanCase = {
	readonly name: string;
	readonly accounts: readonly ClientAccount[] | undefined;
	readonly jobs: ReadonlyArray<readonly [AccountName | undefined, Partial<StepSpec>]>;
	/** Tasks that the account uses in the other pool. */
	readonly elsewhere?: number;
	readonly loaded?: readonly ServiceName[];
	readonly placed: readonly number[];
	readonly reasons: ReadonlyArray<string | undefined>;
};

const capped = [createAccount(one, {cpu: 4000}), createAccount(two, {})];

const planCases: readonly PlanCase[] = [
	{
		name: 'starts tasks of an account up to its cap', accounts: capped, jobs: [[one, {count: 10}]], placed: [4], reasons: ['account-cap'],
	},
	{
		name: 'places the steps of other accounts behind one that waits for its cap', accounts: capped, jobs: [[one, {count: 10}], [two, {count: 10}], [undefined, {count: 10}]], placed: [4, 10, 10], reasons: ['account-cap', undefined, undefined],
	},
	{
		name: 'places smaller tasks of an account beside larger ones that exceed its cap', accounts: capped, jobs: [[one, {count: 3}], [one, {count: 1, resources: {cpu: 2000, memory: 10, gpu: 0}}], [one, {count: 2}]], placed: [3, 0, 1], reasons: [undefined, 'account-cap', 'account-cap'],
	},
	{
		name: 'counts what the account uses in other pools', accounts: capped, jobs: [[one, {count: 10}]], elsewhere: 3, placed: [1], reasons: ['account-cap'],
	},
	{
		name: 'counts the whole CPU of fillers', accounts: capped, jobs: [[one, {count: 10, isFiller: true}]], placed: [4], reasons: ['account-cap'],
	},
	{
		name: 'starts a gang as a whole or not at all', accounts: capped, jobs: [[one, {count: 3, isGang: true}], [one, {count: 2, isGang: true}]], placed: [3, 0], reasons: [undefined, 'account-cap'],
	},
	{
		name: 'starts one task that exceeds the cap', accounts: [createAccount(one, {cpu: 500})], jobs: [[one, {count: 3}]], placed: [1], reasons: ['account-cap'],
	},
	{
		name: 'starts nothing of a capped account while a pool is not loaded', accounts: capped, jobs: [[one, {}], [two, {}], [undefined, {}]], loaded: [pools[0]!], placed: [0, 1, 1], reasons: ['account-cap', undefined, undefined],
	},
	{
		name: 'limits no account that is not in the configuration', accounts: [createAccount(two, {cpu: 1000})], jobs: [[one, {count: 10}]], placed: [10], reasons: [undefined],
	},
	{
		name: 'limits nothing where the configuration has no accounts', accounts: undefined, jobs: [[one, {count: 10}]], loaded: [], placed: [10], reasons: [undefined],
	},
];

for (const {
	name, accounts, jobs, elsewhere = 0, loaded, placed, reasons,
} of planCases) {
	test(`a pass ${name}`, t => {
		const {parts} = openLedger(accounts, loaded);
		const other = createJob(one, {count: Math.max(1, elsewhere)});
		parts[1]!.add(other);
		for (const task of elsewhere > 0 ? other.tasks : []) {
			task.phase = 'recorded';
		}

		const planned = jobs.map(([account, spec]) => createJob(account, spec));
		for (const job of planned) {
			parts[0]!.add(job);
		}

		t.deepEqual(plan(parts[0]!, planned), [...placed]);
		t.deepEqual(planned.map(({steps: [waiting]}) => waiting!.waitReason ?? waiting!.queue?.reason), [...reasons]);
	});
}

// Guards against a pool that waits for its next pass although another pool has released what the account waited for.
test('a pool with a task that waits for a cap is woken once the account uses less in any pool', t => {
	const {parts, woken} = openLedger(capped);
	const running = createJob(one, {count: 4});
	const waiting = createJob(one);
	parts[1]!.add(running);
	parts[0]!.add(waiting);
	for (const task of running.tasks) {
		task.phase = 'running';
	}

	t.deepEqual(plan(parts[0]!, [waiting]), [0]);
	t.deepEqual(woken, []);
	running.tasks[0]!.phase = 'stopping';
	t.deepEqual(woken, []);
	running.tasks[0]!.phase = 'waiting';
	t.deepEqual(woken, [pools[0]!]);
	t.deepEqual(plan(parts[0]!, [waiting]), [1]);
});

// Guards against a start that exceeds the cap waiting for the next pass, and against passes of which no start can come.
test('a pool with a task that has to exceed a cap is woken once all runs of the account have begun, if it uses less than half', t => {
	for (const {count, isWoken} of [{count: 1, isWoken: true}, {count: 2, isWoken: false}]) {
		const {parts, woken} = openLedger(capped);
		const running = createJob(one, {count});
		const waiting = createJob(one, {resources: {cpu: 4000, memory: 10, gpu: 0}});
		parts[1]!.add(running);
		parts[0]!.add(waiting);
		for (const task of running.tasks) {
			task.phase = 'starting';
		}

		t.deepEqual(plan(parts[0]!, [waiting]), [0]);
		for (const task of running.tasks) {
			task.isConfirmed = true;
		}

		t.deepEqual(woken, isWoken ? [pools[0]!] : []);
		t.deepEqual(plan(parts[0]!, [waiting]), [isWoken ? 1 : 0]);
	}
});

// Guards against a queue that stays closed for the rest of a round, which takes many passes in a crowded pool.
test('a step that waits for a cap is tried again in the same round', t => {
	const {parts} = openLedger(capped);
	const accounts = parts[0]!;
	const running = createJob(one, {count: 4});
	const waiting = [createJob(one), ...Array.from({length: 3}, () => createJob(two, {antiAffinity: 1}))];
	const steps = WaitingSteps.create();
	accounts.add(running);
	for (const job of waiting) {
		accounts.add(job);
		steps.add(job);
	}

	for (const task of running.tasks) {
		task.phase = 'running';
	}

	const visited: string[] = [];
	const visit = (): boolean => {
		let visits = 0;
		const pass = PlacementPass.create({
			candidates: createCandidates(1), advice, accounts, now, isOverBudget: () => false,
		});
		steps.update(now, () => false);
		return steps.visit({
			now, isOverBudget: () => visits >= 1, explain: demand => pass.explainWait(demand), place(ready) {
				visits++;
				visited.push(ready.account!);
				if (ready.account === one) {
					pass.placeStep(ready);
				} else {
					ready.waitReason = 'no-room';
				}

				return false;
			},
		});
	};

	t.false(visit());
	running.tasks[0]!.phase = 'done';
	t.false(visit());
	t.deepEqual(visited, [two, one]);
	t.is(waiting[0]!.tasks[0]!.phase, 'recorded');
});

test('a version that lowers a cap stops nothing, and one that raises it takes effect with the next pass', t => {
	const {parts, configure} = openLedger(capped);
	const job = createJob(one, {count: 10});
	parts[0]!.add(job);
	t.deepEqual(plan(parts[0]!, [job]), [4]);
	configure([createAccount(one, {cpu: 2000})]);
	t.deepEqual(plan(parts[0]!, [job]), [0]);
	for (const task of job.tasks.filter(({phase}) => phase === 'recorded').slice(0, 3)) {
		task.phase = 'done';
	}

	t.deepEqual(plan(parts[0]!, [job]), [1]);
	configure([createAccount(one, {cpu: 5000})]);
	t.deepEqual(plan(parts[0]!, [job]), [3]);
	configure([]);
	t.deepEqual(plan(parts[0]!, [job]), [2]);
});

// Guards against a version that adds a pool whose stored tasks no one has read yet.
test('a version with a further pool holds capped accounts up until that pool is loaded', t => {
	const {ledger, parts} = openLedger(capped, [pools[0]!]);
	const job = createJob(one);
	parts[0]!.add(job);
	t.deepEqual(plan(parts[0]!, [job]), [0]);
	parts[1]!.markLoaded();
	t.true(ledger.isComplete);
	t.deepEqual(plan(parts[0]!, [job]), [1]);
});

test('a pool that is closed releases what it has charged, and charges nothing more', t => {
	const {ledger, parts} = openLedger(capped);
	const north = createJob(one, {count: 2});
	const south = createJob(one);
	parts[0]!.add(north);
	parts[1]!.add(south);
	for (const task of [...north.tasks, ...south.tasks]) {
		task.phase = 'recorded';
	}

	t.is(ledger.getUse(one).cpu, 3000);
	parts[0]!.close();
	north.tasks[0]!.phase = 'waiting';
	t.is(ledger.getUse(one).cpu, 1000);
	t.false(ledger.isComplete);
});

const phases: readonly TaskPhase[] = ['waiting', 'recorded', 'starting', 'running', 'stopping', 'done'];
const change = fc.record({job: fc.nat(5), task: fc.nat(3), phase: fc.constantFrom(...phases)});

/** Reports whether the use of an account is that of the assigned tasks of its jobs, and exactly nothing without any. */
function isExact(used: Resources, jobs: readonly ActiveJob[]): boolean {
	const tasks = jobs.flatMap(job => job.tasks).filter(({phase}) => isAssigned(phase));
	let expected = noResources;
	for (const {spec} of tasks) {
		expected = addResources(expected, spec.resources);
	}

	return Math.abs(used.cpu - expected.cpu) < 1e-9 && Math.abs(used.memory - expected.memory) < 1e-9 && (tasks.length > 0 || used.cpu === 0);
}

// Guards against a ledger that loses or doubles a charge, whatever order the phases of tasks come in.
test('the ledger holds the sum of the tasks that are assigned, after any changes', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(change, {maxLength: 80}), fc.nat(80), (changes, addedAt) => {
			const {ledger, parts} = openLedger(capped);
			const jobs = Array.from({length: 6}, (_, index) => createJob([one, two, undefined][index % 3], {count: 4, isFiller: index === 3, resources: {cpu: 0.1 * (index + 1), memory: index, gpu: 0}}));
			for (const [index, {job, task, phase}] of changes.entries()) {
				if (index === Math.min(addedAt, changes.length - 1)) {
					for (const [position, added] of jobs.entries()) {
						parts[position % 2]!.add(added);
					}
				}

				jobs[job]!.tasks[task]!.phase = phase;
			}

			if (changes.length === 0) {
				return true;
			}

			return isExact(ledger.getUse(one), [jobs[0]!, jobs[3]!]) && isExact(ledger.getUse(two), [jobs[1]!, jobs[4]!]);
		}), {numRuns: 300, seed: 11});
	});
});

// Guards against capped accounts that are held up without a word of the services for which they wait.
test('the ledger tells which services are not loaded while an account has a cap', t => {
	const {ledger, parts, configure} = openLedger(capped, [pools[0]!]);
	t.deepEqual(ledger.unloaded, {services: [pools[1]!], ms: 0});
	configure([createAccount(two, {})]);
	t.is(ledger.unloaded, undefined);
	configure(capped);
	parts[1]!.markLoaded();
	t.is(ledger.unloaded, undefined);
	parts[0]!.close();
	t.deepEqual(ledger.unloaded, {services: [pools[0]!], ms: 0});
});

// Guards against capped accounts that are held up for ever by a pool that is not opened.
test('a pool that is not loaded holds capped accounts up until the runs of earlier holders have ended', t => {
	let time = now;
	const ledger = AccountLedger.create({declarations: {configuration: createConfiguration(capped)}, clock: {readMonotonic: () => time}, earlierRunsEndBy: now + 5000});
	const [part] = pools.map(service => ledger.openPool(service, () => {}));
	part!.markLoaded();
	const job = createJob(one, {count: 10});
	part!.add(job);
	time = now + 5000;
	t.deepEqual(plan(part!, [job]), [0]);
	t.is(ledger.unloaded?.ms, 5000);
	time = now + 5001;
	t.deepEqual(plan(part!, [job]), [4]);
	t.is(ledger.unloaded, undefined);
});

// Guards against sums that do not return to nothing when jobs end, pools are opened again, or accounts are renamed while their tasks run.
test('the ledger holds nothing once no task is assigned, after pools were opened again and accounts renamed', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(change, {maxLength: 60}), fc.nat(60), fc.nat(60), (changes, closedAt, renamedAt) => {
			const {ledger, parts, configure} = openLedger(capped);
			const open = [...parts];
			const create = (pool: number): ActiveJob[] => Array.from({length: 3}, (_, index) => {
				const job = createJob([one, two, undefined][index], {count: 4, isLongRunning: index === 0, resources: {cpu: 0.1 * (index + 1), memory: index, gpu: 0}});
				open[pool]!.add(job);
				return job;
			});
			let jobs = [...create(0), ...create(1)];
			const closed: ActiveJob[] = [];
			for (const [index, {job, task, phase}] of changes.entries()) {
				if (index === closedAt) {
					open[0]!.close();
					open[0] = ledger.openPool(pools[0]!, () => {});
					open[0].markLoaded();
					closed.push(...jobs.slice(0, 3));
					jobs = [...create(0), ...jobs.slice(3)];
				}

				if (index === renamedAt) {
					configure([createAccount('other' as AccountName, {cpu: 1000})]);
				}

				jobs[job]!.tasks[task]!.phase = phase;
				if (closed.length > 0) {
					closed[job % 3]!.tasks[task]!.phase = phase;
				}
			}

			configure(capped);
			const isSumExact = isExact(ledger.getUse(one), [jobs[0]!, jobs[3]!]) && isExact(ledger.getUse(two), [jobs[1]!, jobs[4]!]);
			for (const task of jobs.flatMap(({tasks}) => tasks).filter(({phase}) => isAssigned(phase))) {
				task.phase = 'waiting';
			}

			for (const {charges} of open) {
				charges.observe({now, isInTouch: () => true});
			}

			return isSumExact && ledger.isComplete && [one, two].every(account => ledger.getUse(account).cpu === 0)
				&& open.every(({uses, lastingUses, charges}) => [...uses, ...lastingUses].length === 0 && charges.summaries.size === 0);
		}), {numRuns: 300, seed: 12});
	});
});
