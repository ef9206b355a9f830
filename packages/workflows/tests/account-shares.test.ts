import {
	type AccountName, type JobId, type ServiceName, type VmId, type ZoneName,
} from '@tamarackwind/core';
import {
	addResources, computeFairShares, getReservation, noResources, type Resources, type StepSpec,
} from '@tamarackwind/scheduling';
import test from 'ava';
import fc from 'fast-check';
import {
	AccountLedger, ActiveJob, AdviceCache, PlacementPass, WaitingSteps, type ClientAccount, type Configuration, type PlanCandidate, type PoolAccounts, type Task, type WorkerSession,
} from '../src/index.js';

const wall = 10_000;
const passMs = 20;
const limits = {valueBytes: 49_152, transactionBytes: 690_000, transactionEntries: 100};
const service = 'north' as ServiceName;
const taskCpu = 1000;
const slotsPerWorker = 8;
/** Queues without a placement policy ask for no tickets. */
const advice: AdviceCache = Object.create(AdviceCache.prototype) as AdviceCache;

type AccountModel = {readonly weight: number; readonly capTasks: number};
type JobModel = {
	/** Index of the account; -1 for a job without one. */
	readonly account: number;
	readonly count: number;
	readonly cpu?: number;
	readonly priority?: number;
	readonly isLongRunning?: boolean;
	/** Time since the submission, in milliseconds. */
	readonly ageMs?: number;
};

function getName(account: number): AccountName | undefined {
	return account < 0 ? undefined : `account-${account}` as AccountName;
}

/** One pool whose tasks end when a test says so. */
class PoolModel {
	static create(accounts: readonly AccountModel[] | undefined, workers: number): PoolModel {
		return new PoolModel(accounts, workers);
	}

	readonly running = new Set<Task>();
	readonly jobs: ActiveJob[] = [];
	readonly accounts: PoolAccounts;
	readonly #ledger: AccountLedger;
	readonly #waiting = WaitingSteps.create();
	#now = wall;

	private constructor(models: readonly AccountModel[] | undefined, private readonly workers: number) {
		const accounts = models?.map(({weight, capTasks}, index): ClientAccount => ({
			name: getName(index)!, weight, cap: {...noResources, cpu: capTasks * taskCpu}, keyHashes: [],
		}));
		const configuration: Configuration = {
			version: 1, queues: [], pools: [{name: service, isSpare: false}], limits: {maxBodyBytes: 1}, accounts,
		};
		this.#ledger = AccountLedger.create({declarations: {configuration}, clock: {readMonotonic: () => this.#now}});
		this.accounts = this.#ledger.openPool(service, () => {});
		this.accounts.markLoaded();
	}

	get capacityTasks(): number {
		return this.workers * slotsPerWorker;
	}

	get capacity(): Resources {
		return {cpu: this.capacityTasks * taskCpu, memory: this.capacityTasks * taskCpu, gpu: 0};
	}

	submit({account, count, cpu = taskCpu, priority = 0, isLongRunning = false, ageMs = 0}: JobModel): ActiveJob {
		const step: StepSpec = {
			count, resources: {cpu, memory: 1, gpu: 0}, estimatedMs: 500, after: [], isCheckpointing: false, isGang: false, isSameRack: false, isSpeculative: false, isLongRunning, isFiller: false,
		};
		const name = getName(account);
		const job = ActiveJob.create({
			id: `job-${this.jobs.length}` as JobId, service, queue: 'north', payload: '', steps: [step], submittedAt: this.#now - ageMs, policy: {
				priority, maxAttempts: 3, slackFactor: 2, targetLatencyMs: 600,
			}, ...(name === undefined ? {} : {account: name}),
		}, {monotonic: this.#now, wall: this.#now}, limits);
		job.openOccurrences(this.#now);
		this.jobs.push(job);
		this.#waiting.add(job);
		this.accounts.add(job);
		return job;
	}

	/** Runs a pass; `maxVisits` bounds the visits of steps. Returns the placed tasks. */
	plan(maxVisits = Number.POSITIVE_INFINITY): Task[] {
		this.#now += passMs;
		let visits = 0;
		const isOverBudget = () => visits > maxVisits;
		const pass = PlacementPass.create({
			candidates: this.#listCandidates(), advice, accounts: this.accounts, now: this.#now, isOverBudget,
		});
		const placed: Task[] = [];
		this.#waiting.update(this.#now, () => false);
		this.#waiting.visit({
			now: this.#now, isOverBudget, explain: waiting => pass.explainWait(waiting), shares: this.accounts.openShares(this.capacity), place(step, isTurnOver) {
				visits++;
				let isOver = false;
				const tasks = pass.placeStep(step, () => {
					isOver = isTurnOver();
					return isOver;
				});
				placed.push(...tasks);
				return isOver || (pass.isCut && tasks.length > 0);
			},
		});
		for (const task of placed) {
			task.phase = 'running';
			this.running.add(task);
		}

		return placed;
	}

	/** Ends the runs of tasks. */
	end(tasks: Iterable<Task>): void {
		for (const task of tasks) {
			task.phase = 'done';
			task.incarnation = undefined;
			this.running.delete(task);
		}
	}

	/** Lets time pass in which nothing is planned. */
	wait(ms: number): void {
		this.#now += ms;
	}

	/** Counts the running tasks of an account, by what they use. */
	countRunning(account: number): number {
		return this.accounts.getUse(getName(account)).used.cpu / taskCpu;
	}

	/** Counts the waiting tasks of an account. */
	countWaiting(account: number): number {
		return this.jobs.filter(({job}) => job.account === getName(account)).flatMap(job => job.listOpenSteps()).map(({counts}) => counts.get('waiting')).reduce((sum, count) => sum + count, 0);
	}

	#listCandidates(): PlanCandidate[] {
		const size = {cpu: slotsPerWorker * taskCpu, memory: slotsPerWorker * taskCpu, gpu: 0};
		const free = new Map<string, Resources>();
		for (const {spec, incarnation} of this.running) {
			free.set(incarnation!.id, addResources(free.get(incarnation!.id) ?? size, getReservation(spec), -1));
		}

		return Array.from({length: this.workers}, (_, index) => ({
			id: `worker-${index}` as VmId, zone: 'zone-a' as ZoneName, labels: [], capacity: size, free: free.get(`worker-${index}`) ?? size, suspicion: 0, servingTasks: 0, fillerTasks: 0, suspectLoad: 0, isReserved: false,
			session: {record: {startedAt: 1}, addTask() {}, hasUnprovenRuns: false} as unknown as WorkerSession,
		}));
	}
}

const accountCount = 20;
const weightArbitrary = fc.constantFrom(1, 1, 1, 2, 5);
const uncapped = fc.record({weight: weightArbitrary, capTasks: fc.constant(0)});
/** Accounts of which the first demand far more than the last. */
const skewed = fc.tuple(fc.nat(accountCount), fc.nat(accountCount)).map(([a, b]) => Math.min(a, b) - 1);
const jobArbitrary: fc.Arbitrary<JobModel> = fc.record({account: skewed, count: fc.integer({min: 1, max: 24}), ageMs: fc.nat(500)});

/** Computes the tasks that each account should run, jobs without an account first. */
function computeIdeal(accounts: readonly AccountModel[], demands: readonly number[], capacityTasks: number): number[] {
	const capacity = {cpu: capacityTasks, memory: 0, gpu: 0};
	const claims = demands.map((cpu, index) => ({demand: {cpu, memory: 0, gpu: 0}, weight: index === 0 ? 1 : accounts[index - 1]!.weight}));
	return computeFairShares(claims, capacity).map((share, index) => Math.min(demands[index]!, share * capacityTasks));
}

const everyAccount = Array.from({length: accountCount + 1}, (_, index) => index - 1);

// Guards against an account that gets more than its share by many jobs, wide steps or early deadlines.
for (const maxVisits of [3, Number.POSITIVE_INFINITY]) {
	test(`shares of 20 accounts with skewed demands are within one task of the ideal and use up the pool, with ${maxVisits} visits a pass`, t => {
		t.notThrows(() => {
			fc.assert(fc.property(fc.array(uncapped, {minLength: accountCount, maxLength: accountCount}), fc.array(jobArbitrary, {minLength: 1, maxLength: 80}), fc.integer({min: 1, max: 40}), (accounts, jobs, workers) => {
				const pool = PoolModel.create(accounts, workers);
				for (const job of jobs) {
					pool.submit(job);
				}

				const demands = everyAccount.map(account => pool.countWaiting(account));
				for (let placed = 1; placed > 0;) {
					placed = pool.plan(maxVisits).length;
				}

				const ideal = computeIdeal(accounts, demands, pool.capacityTasks);
				const total = Math.min(pool.capacityTasks, demands.reduce((sum, demand) => sum + demand, 0));
				return pool.running.size === total && everyAccount.every((account, index) => Math.abs(pool.countRunning(account) - ideal[index]!) <= 1 + 1e-6);
			}), {numRuns: 300, seed: 23});
		});
	});
}

const capped = fc.record({weight: weightArbitrary, capTasks: fc.constantFrom(0, 0, 1, 3, 10, 40)});
const roundArbitrary = fc.record({jobs: fc.array(jobArbitrary, {maxLength: 6}), ends: fc.array(fc.nat(1000), {maxLength: 20}), maxVisits: fc.constantFrom(1, 4, Number.POSITIVE_INFINITY)});

// Guards against starts over a cap, against capacity that stays idle while a task could use it, and against accounts that get nothing.
test('rounds of arrivals and ends exceed no cap, leave no usable capacity idle, and end all work', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(capped, {minLength: accountCount, maxLength: accountCount}), fc.array(roundArbitrary, {minLength: 5, maxLength: 25}), fc.integer({min: 1, max: 12}), (accounts, rounds, workers) => {
			const pool = PoolModel.create(accounts, workers);
			const hasCapRoom = (account: number): boolean => account < 0 || accounts[account]!.capTasks === 0 || pool.countRunning(account) < accounts[account]!.capTasks;
			for (const {jobs, ends, maxVisits} of rounds) {
				for (const job of jobs) {
					pool.submit(job);
				}

				const running = [...pool.running];
				pool.end(new Set(ends.flatMap(index => running.length === 0 ? [] : [running[index % running.length]!])));
				pool.plan(maxVisits);
				for (let placed = 1; placed > 0;) {
					placed = pool.plan().length;
				}

				const isOverCap = accounts.some(({capTasks}, account) => capTasks > 0 && pool.countRunning(account) > capTasks);
				const isIdle = pool.running.size < pool.capacityTasks && everyAccount.some(account => pool.countWaiting(account) > 0 && hasCapRoom(account));
				if (isOverCap || isIdle) {
					return false;
				}
			}

			// Each pass ends a part of what runs, until nothing is left.
			for (let passes = 0; pool.running.size > 0 && passes < 5000; passes++) {
				pool.end([...pool.running].slice(0, 5));
				pool.plan();
			}

			return everyAccount.every(account => pool.countWaiting(account) === 0);
		}), {numRuns: 100, seed: 29});
	});
});

// Guards against an account that is kept waiting by others although it is below its share.
test('an account below its share starts with the next capacity that becomes free, however many jobs of others came before', t => {
	const pool = PoolModel.create([{weight: 1, capTasks: 0}, {weight: 1, capTasks: 0}], 4);
	pool.submit({account: 0, count: 32});
	pool.plan();
	t.is(pool.countRunning(0), 32);
	pool.wait(5000);
	for (let index = 0; index < 50; index++) {
		pool.submit({account: 0, count: 8, ageMs: 400});
	}

	pool.submit({account: 1, count: 400});
	for (let ended = 0; ended < 16; ended += 4) {
		pool.end([...pool.running].filter(({job}) => job.job.account === getName(0)).slice(0, 4));
		pool.plan();
		t.is(pool.countRunning(1), ended + 4);
	}

	for (let rounds = 0; rounds < 20; rounds++) {
		pool.end([...pool.running].slice(0, 4));
		pool.plan();
	}

	t.is(pool.countRunning(0) + pool.countRunning(1), 32);
	t.true(Math.abs(pool.countRunning(0) - 16) <= 4, `${pool.countRunning(0)} tasks`);
});

type OrderCase = {
	readonly name: string;
	/** Jobs in the pool of 8 tasks before the last ones, which run. */
	readonly before: readonly JobModel[];
	/** Jobs that compete for the first task that ends. */
	readonly waiting: readonly JobModel[];
	/** Index of the job that gets it. */
	readonly first: number;
	readonly accounts?: readonly AccountModel[];
	/** Time between the end of all other tasks and the competition. */
	readonly pauseMs?: number;
};

const two: readonly AccountModel[] = [{weight: 1, capTasks: 0}, {weight: 1, capTasks: 0}];

const orderCases: readonly OrderCase[] = [
	{
		name: 'to the account below its share, although its job came later', before: [{account: 0, count: 8}], waiting: [{account: 0, count: 8, ageMs: 100}, {account: 1, count: 8}], first: 1,
	},
	{
		name: 'to the earlier job of accounts that are both below their shares', before: [{account: -1, count: 8}], waiting: [{account: 0, count: 8, ageMs: 100}, {account: 1, count: 8}], first: 0,
	},
	{
		name: 'to a job of higher priority, although its account is over its share', before: [{account: 0, count: 8}], waiting: [{account: 1, count: 8, priority: 1}, {account: 0, count: 8}], first: 1,
	},
	{
		name: 'to a job that can be in time, although its account is over its share', before: [{account: 0, count: 8}], waiting: [{account: 1, count: 8, ageMs: 2000}, {account: 0, count: 8}], first: 1,
	},
	{
		name: 'to a long-running job, although its account is over its share', before: [{account: 0, count: 8}], waiting: [{account: 1, count: 8, ageMs: 100}, {account: 0, count: 8, isLongRunning: true}], first: 1,
	},
	{
		name: 'to the earlier of two long-running jobs, whatever the shares of their accounts', before: [{account: 0, count: 8}], first: 0, waiting: [
			{
				account: 0, count: 8, isLongRunning: true, ageMs: 100,
			},
			{account: 1, count: 8, isLongRunning: true},
		],
	},
	{
		name: 'to the account of the larger weight, at equal use', before: [{account: 0, count: 4}, {account: 1, count: 4}], waiting: [{account: 0, count: 8, ageMs: 100}, {account: 1, count: 8}], first: 1, accounts: [{weight: 1, capTasks: 0}, {weight: 3, capTasks: 0}],
	},
	{
		name: 'to an account rather than to jobs without one that have their share', before: [{account: -1, count: 8}], waiting: [{account: -1, count: 8, ageMs: 100}, {account: 0, count: 8}], first: 1,
	},
	{
		name: 'to the earlier job where the configuration has no accounts', before: [{account: 0, count: 8}], waiting: [{account: 0, count: 8, ageMs: 100}, {account: 1, count: 8}], first: 0, accounts: [],
	},
];

for (const {
	name, before, waiting, first, accounts = two,
} of orderCases) {
	test(`capacity that becomes free goes ${name}`, t => {
		const pool = PoolModel.create(accounts.length === 0 ? undefined : accounts, 1);
		for (const job of before) {
			pool.submit(job);
		}

		pool.plan();
		t.is(pool.running.size, 8);
		const jobs = waiting.map(job => pool.submit(job));
		t.deepEqual(pool.plan(), []);
		pool.end([...pool.running].slice(0, 1));
		t.deepEqual(pool.plan().map(({job}) => job), [jobs[first]!]);
	});
}

type PastCase = {readonly name: string; readonly pauseMs: number; readonly first: number};

const pastCases: readonly PastCase[] = [
	{name: 'after another that has used nothing', pauseMs: 0, first: 1},
	{name: 'in the order of the jobs once that is long past', pauseMs: 20_000, first: 0},
];

// Guards against an account whose tasks have just ended and that is ordered ahead of one which has waited meanwhile.
for (const {name, pauseMs, first} of pastCases) {
	test(`an account that has just used the whole pool is served ${name}`, t => {
		const pool = PoolModel.create([...two, {weight: 1, capTasks: 0}], 1);
		pool.submit({account: 0, count: 8});
		pool.plan();
		pool.wait(10_000);
		pool.end([...pool.running]);
		pool.submit({account: 2, count: 8, isLongRunning: true});
		pool.plan();
		pool.wait(pauseMs);
		const jobs = [0, 1].map(account => pool.submit({account, count: 8, ageMs: 100 - account}));
		pool.end([...pool.running].slice(0, 1));
		t.deepEqual(pool.plan().map(({job}) => job), [jobs[first]!]);
	});
}

test('tasks without room wait for the share of their account if it uses its share', t => {
	const pool = PoolModel.create(two, 1);
	pool.submit({account: 0, count: 8});
	pool.plan();
	const [over, below] = [0, 1].map(account => pool.submit({account, count: 2}));
	pool.plan();
	t.deepEqual([over!, below!].map(({steps: [step]}) => step!.queue!.isOverShare), [true, false]);
});
