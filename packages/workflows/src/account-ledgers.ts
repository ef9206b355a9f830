/**
 * Accounts for what the tasks of each client account use, on the entry that schedules. A task is charged from its assignment until its run
 * is known to have ended, so that the sums are never below what runs.
 */
import {type AccountName, type Clock, type ServiceName} from '@tamarackwind/core';
import {
	addResources, isCapped, isUnderHalf, noResources, trimDemand, type Resources, type ShareClaim, type StepSpec,
} from '@tamarackwind/scheduling';
import {minAccountWeight, type ClientAccount} from './accounts.js';
import {type ActiveJob} from './active-jobs.js';
import {CapClaims, type CappedStepStart} from './cap-claims.js';
import {ChargeMonitor, noCharges, type ChargeSummary} from './charge-monitors.js';
import {type Configuration} from './configurations.js';
import {PastUses} from './past-uses.js';
import {PoolShares} from './pool-shares.js';
import {isAssigned} from './task-phases.js';
import {type Task} from './tasks.js';
import {type WaitReason} from './wait-reasons.js';

export type AccountLedgerOptions = {
	/** Gives the configuration in force. */
	readonly declarations: {readonly configuration: Configuration | undefined};
	readonly clock: Pick<Clock, 'readMonotonic'>;
	/** Time by which every run that an earlier holder started has ended in a pool that this one has not opened, on the monotonic clock; never by default. */
	readonly earlierRunsEndBy?: number;
};

/** Tasks that an account wants to start: one at a time, or all of them for a gang. */
export type AccountDemand = {readonly account: AccountName | undefined; readonly spec: StepSpec};

/** What the assigned tasks of an account use. */
export type AccountUse = {readonly tasks: number; readonly used: Resources};

/** Services whose jobs are not known, for which the starts of capped accounts wait. */
export type UnloadedServices = {readonly services: readonly ServiceName[]; readonly ms: number};

const noUse: AccountUse = {tasks: 0, used: noResources};

/** Sums of what the assigned tasks of each account use; jobs without an account count together under `undefined`. */
class AccountUses {
	static create(): AccountUses {
		return new AccountUses();
	}

	readonly #uses = new Map<AccountName | undefined, AccountUse>();

	private constructor() {}

	get names(): Iterable<AccountName | undefined> {
		return this.#uses.keys();
	}

	get entries(): Iterable<[AccountName | undefined, AccountUse]> {
		return this.#uses;
	}

	get(account: AccountName | undefined): AccountUse {
		return this.#uses.get(account) ?? noUse;
	}

	/** Adds a number of tasks, which is negative for released ones. A sum without tasks is dropped, so that no rounding error is left of it. */
	add(account: AccountName | undefined, tasks: number, resources: Resources): void {
		const use = this.get(account);
		if (use.tasks + tasks === 0) {
			this.#uses.delete(account);
		} else {
			this.#uses.set(account, {tasks: use.tasks + tasks, used: addResources(use.used, resources, tasks)});
		}
	}
}

/** Ledger of all pools for one term of a holder. */
export class AccountLedger {
	static create(options: AccountLedgerOptions): AccountLedger {
		return new AccountLedger(options);
	}

	readonly #options: AccountLedgerOptions;
	readonly #uses = AccountUses.create();
	/** What of it long-running tasks use. */
	readonly #lastingUses = AccountUses.create();
	/** What of it tasks use whose runs are about to begin. */
	readonly #startingUses = AccountUses.create();
	readonly #pools = new Map<ServiceName, PoolAccounts>();
	readonly #claims = CapClaims.create();
	/** Configuration from which the accounts were taken. */
	#configuration: Configuration | undefined;
	#accounts: ReadonlyMap<AccountName, ClientAccount> = new Map();
	/** Caps of the accounts that have one. */
	#caps: ReadonlyMap<AccountName, Resources> = new Map();
	/** Whether the jobs of all pools are known; `undefined` while that has to be found anew. */
	#isLoaded: boolean | undefined;
	/** Time since which the jobs of some pool are not known, on the monotonic clock. */
	#incompleteSince: number | undefined;

	private constructor(options: AccountLedgerOptions) {
		this.#options = options;
		this.#incompleteSince = options.clock.readMonotonic();
	}

	/** Accounts of the configuration in force; none where it has no accounts. */
	get accounts(): ReadonlyMap<AccountName, ClientAccount> {
		this.#refresh();
		return this.#accounts;
	}

	/** Whether the configuration in force has accounts, so that pools are shared among them. */
	get hasAccounts(): boolean {
		this.#refresh();
		return this.#configuration?.accounts !== undefined;
	}

	get pools(): Iterable<PoolAccounts> {
		return this.#pools.values();
	}

	/**
	 * Whether all that runs from the terms of earlier holders is known: the jobs of all pools of the configuration are, or those runs have ended,
	 * since nobody renews the leases of workers in a pool that is not open.
	 */
	get isComplete(): boolean {
		return this.#areAllLoaded || this.#options.clock.readMonotonic() > (this.#options.earlierRunsEndBy ?? Number.POSITIVE_INFINITY);
	}

	/** Services whose jobs are not known while some account has a cap; `undefined` if there are none. */
	get unloaded(): UnloadedServices | undefined {
		if (this.isComplete || this.#incompleteSince === undefined || this.caps.size === 0) {
			return undefined;
		}

		const services = (this.#configuration?.pools ?? []).map(({name}) => name).filter(name => !this.#pools.get(name)?.isLoaded);
		return {services, ms: this.#options.clock.readMonotonic() - this.#incompleteSince};
	}

	/** Returns what an account uses over all pools. */
	getUse(account: AccountName): Resources {
		return this.#uses.get(account).used;
	}

	/** Caps in force, of the accounts that have one. */
	get caps(): ReadonlyMap<AccountName, Resources> {
		this.#refresh();
		return this.#caps;
	}

	/** Returns the cap of an account; `undefined` for an account that has none or is not in the configuration. */
	getCap(account: AccountName): Resources | undefined {
		return this.caps.get(account);
	}

	/** Returns the weight of an account, or of the jobs without one. */
	getWeight(account: AccountName | undefined): number {
		return Math.max(minAccountWeight, account === undefined ? 0 : this.accounts.get(account)?.weight ?? 0);
	}

	/** Reports whether the cap of an account allows a start in a pool, beside what another step of the account claims that has waited for it. */
	isAllowed(account: AccountName, service: ServiceName, {spec, isClaiming}: Pick<CappedStepStart, 'spec' | 'isClaiming'>): boolean {
		const cap = this.caps.get(account);
		return cap === undefined || this.#claims.isAllowed({
			account, service, spec, isClaiming, cap, used: this.getUse(account), lasting: this.#lastingUses.get(account).used, haveAllBegun: this.#startingUses.get(account).tasks === 0, now: this.#options.clock.readMonotonic(),
		});
	}

	/** Opens the part of one pool; `onRoom` is called when an account that waited for its cap in the pool uses less. */
	openPool(service: ServiceName, onRoom: () => void): PoolAccounts {
		const pool = PoolAccounts.create({
			ledger: this, service, onRoom, clock: this.#options.clock,
		});
		this.#pools.set(service, pool);
		this.#isLoaded = undefined;
		return pool;
	}

	/** Returns what an account was charged for at the last observation, by service. */
	listCharges(account: AccountName): ReadonlyMap<ServiceName, ChargeSummary> {
		return new Map([...this.#pools].map(([service, {charges}]) => [service, charges.summaries.get(account) ?? noCharges]));
	}

	/** Closes the part of a pool and releases what it has charged. */
	closePool(pool: PoolAccounts): void {
		releaseUses(this.#uses, pool.uses);
		releaseUses(this.#lastingUses, pool.lastingUses);
		releaseUses(this.#startingUses, pool.startingUses);

		if (this.#pools.get(pool.service) === pool) {
			this.#pools.delete(pool.service);
		}

		this.#isLoaded = undefined;
	}

	/** Notes that the jobs of a pool are known. */
	noteLoaded(): void {
		this.#isLoaded = undefined;
	}

	/** Notes that a task of a pool was assigned. */
	noteStart(account: AccountName, service: ServiceName, spec: StepSpec): void {
		this.#claims.noteStart(account, service, spec);
	}

	/** Charges tasks to an account, or releases them if their number is negative. */
	addTasks(account: AccountName | undefined, tasks: number, {resources, isLongRunning}: StepSpec): void {
		this.#uses.add(account, tasks, resources);
		if (isLongRunning) {
			this.#lastingUses.add(account, tasks, resources);
		}

		if (tasks < 0) {
			this.#wakeBlocked(account);
		}
	}

	/** Counts tasks of an account whose runs are about to begin, or no longer if their number is negative. */
	addStarting(account: AccountName | undefined, tasks: number, {resources}: StepSpec): void {
		this.#startingUses.add(account, tasks, resources);
		const cap = account === undefined ? undefined : this.caps.get(account);
		// From half of its cap on, the account gets no room by the begin of a run.
		if (cap !== undefined && this.#startingUses.get(account).tasks === 0 && isUnderHalf(cap, this.#uses.get(account).used)) {
			this.#wakeBlocked(account);
		}
	}

	/** Whether the jobs of all pools of the configuration are known. */
	get #areAllLoaded(): boolean {
		this.#refresh();
		if (this.#isLoaded === undefined) {
			this.#isLoaded = this.#configuration?.pools.every(({name}) => this.#pools.get(name)?.isLoaded) ?? false;
			this.#incompleteSince = this.#isLoaded ? undefined : this.#incompleteSince ?? this.#options.clock.readMonotonic();
		}

		return this.#isLoaded;
	}

	#wakeBlocked(account: AccountName | undefined): void {
		if (account !== undefined) {
			for (const pool of this.#pools.values()) {
				pool.wakeBlocked(account);
			}
		}
	}

	/** Takes the accounts of a new version of the configuration. */
	#refresh(): void {
		const {configuration} = this.#options.declarations;
		if (configuration !== this.#configuration) {
			this.#configuration = configuration;
			this.#accounts = new Map(configuration?.accounts?.map(account => [account.name, account]));
			this.#caps = new Map(configuration?.accounts?.filter(({cap}) => isCapped(cap)).map(({name, cap}) => [name, cap]));
			this.#isLoaded = undefined;
		}
	}
}

/** Releases what a pool has charged. */
function releaseUses(uses: AccountUses, released: Iterable<[AccountName | undefined, AccountUse]>): void {
	for (const [account, {tasks, used}] of released) {
		uses.add(account, -tasks, addResources(noResources, used, 1 / tasks));
	}
}

type PoolAccountsOptions = {readonly ledger: AccountLedger; readonly service: ServiceName; readonly onRoom: () => void; readonly clock: Pick<Clock, 'readMonotonic'>};

/** Part of the ledger that the scheduler of one pool keeps. */
export class PoolAccounts {
	static create(options: PoolAccountsOptions): PoolAccounts {
		return new PoolAccounts(options);
	}

	readonly service: ServiceName;
	readonly #options: PoolAccountsOptions;
	/** Observes which of the charged tasks are confirmed to run. */
	readonly charges = ChargeMonitor.create();
	readonly #uses = AccountUses.create();
	readonly #lastingUses = AccountUses.create();
	readonly #startingUses = AccountUses.create();
	readonly #pastUses: PastUses;
	/** Accounts whose caps have kept a task of the pool waiting since their use last fell. */
	readonly #blocked = new Set<AccountName>();
	#isLoaded = false;
	#isClosed = false;

	private constructor(options: PoolAccountsOptions) {
		this.#options = options;
		this.service = options.service;
		this.#pastUses = PastUses.create(options.clock);
	}

	/** Whether the stored jobs of the pool are known. */
	get isLoaded(): boolean {
		return this.#isLoaded;
	}

	/** What each account uses in the pool. */
	get uses(): Iterable<[AccountName | undefined, AccountUse]> {
		return this.#uses.entries;
	}

	/** What of it long-running tasks use. */
	get lastingUses(): Iterable<[AccountName | undefined, AccountUse]> {
		return this.#lastingUses.entries;
	}

	/** What of it tasks use whose runs are about to begin. */
	get startingUses(): Iterable<[AccountName | undefined, AccountUse]> {
		return this.#startingUses.entries;
	}

	/** Caps in force, of the accounts that have one. */
	get caps(): ReadonlyMap<AccountName, Resources> {
		return this.#options.ledger.caps;
	}

	/** Accounts that use the pool. */
	get names(): Iterable<AccountName | undefined> {
		return this.#uses.names;
	}

	/** Opens the shares of the accounts for one pass; `undefined` where the configuration has no accounts. */
	openShares(capacity: Resources): PoolShares | undefined {
		return this.#options.ledger.hasAccounts ? PoolShares.create({accounts: this, capacity}) : undefined;
	}

	/** Describes the claim of an account to a share of the pool, without what its cap forbids to start. */
	describeClaim(account: AccountName | undefined, waiting: Resources): ShareClaim {
		const {ledger} = this.#options;
		const cap = account === undefined ? undefined : ledger.getCap(account);
		const {used} = this.getUse(account);
		const startable = account === undefined || cap === undefined ? waiting : trimDemand(waiting, {cap, used: ledger.isComplete ? ledger.getUse(account) : cap});
		return {demand: addResources(used, startable), weight: ledger.getWeight(account)};
	}

	/** Returns the part of the CPU for which tasks of an account wait that its cap lets start, in thousandths of a core. */
	trimWaitingCpu(account: AccountName | undefined, waitingCpu: number): number {
		const {ledger} = this.#options;
		const cap = account === undefined ? undefined : ledger.getCap(account);
		return account === undefined || cap === undefined ? waitingCpu : trimDemand({...noResources, cpu: waitingCpu}, {cap, used: ledger.getUse(account)}).cpu;
	}

	/** Returns what an account has used in the pool on average over the last seconds. */
	getPastUse(account: AccountName | undefined): Resources {
		return this.#pastUses.get(account);
	}

	/** Returns what an account uses in the pool. */
	getUse(account: AccountName | undefined): AccountUse {
		return this.#uses.get(account);
	}

	/** Charges the tasks of a job that are assigned, and from then on follows its tasks. */
	add({job: {account}, touchedTasks, hooks}: ActiveJob): void {
		for (const task of touchedTasks) {
			if (isAssigned(task.phase)) {
				this.#addTask(account, task);
			}

			if (task.isStarting) {
				this.#addStarting(account, 1, task.spec);
			}
		}

		hooks.onAssigned = (task, isCharged) => {
			if (isCharged) {
				this.#addTask(account, task);
			} else {
				this.#removeTask(account, task);
			}
		};

		hooks.onStarting = (task, isStarting) => {
			this.#addStarting(account, isStarting ? 1 : -1, task.spec);
		};
	}

	/** Notes that the stored jobs of the pool are known. */
	markLoaded(): void {
		this.#isLoaded = true;
		this.#options.ledger.noteLoaded();
	}

	/** Returns what an account uses in the pool that becomes free as its tasks end. */
	getEndingUse(account: AccountName): Resources {
		return addResources(this.#uses.get(account).used, this.#lastingUses.get(account).used, -1);
	}

	/** Tells why the cap of an account forbids the start of a task, or of a gang; `undefined` if it does not. A start that is denied makes a claim to the cap if `isClaiming`. */
	explainStart(account: AccountName, spec: StepSpec, isClaiming = true): WaitReason | undefined {
		const {ledger} = this.#options;
		const cap = ledger.getCap(account);
		if (cap === undefined) {
			return undefined;
		}

		const isAllowed = ledger.isComplete && ledger.isAllowed(account, this.service, {spec, isClaiming});
		if (isAllowed) {
			return undefined;
		}

		this.#blocked.add(account);
		this.charges.recordWait(account);
		return 'account-cap';
	}

	/** Has the pool plan soon if the cap of an account keeps tasks of it waiting. */
	wakeBlocked(account: AccountName): void {
		if (this.#blocked.delete(account)) {
			this.#options.onRoom();
		}
	}

	/** Releases what the pool has charged; later changes of its tasks are ignored. */
	close(): void {
		if (!this.#isClosed) {
			this.#isClosed = true;
			this.#options.ledger.closePool(this);
		}
	}

	#addTask(account: AccountName | undefined, task: Task): void {
		this.charges.add(task);
		this.#addTasks(account, 1, task.spec);
		if (account !== undefined) {
			this.#options.ledger.noteStart(account, this.service, task.spec);
		}
	}

	#removeTask(account: AccountName | undefined, task: Task): void {
		this.charges.remove(task);
		this.#addTasks(account, -1, task.spec);
	}

	#addStarting(account: AccountName | undefined, tasks: number, spec: StepSpec): void {
		if (!this.#isClosed) {
			this.#startingUses.add(account, tasks, spec.resources);
			this.#options.ledger.addStarting(account, tasks, spec);
		}
	}

	#addTasks(account: AccountName | undefined, tasks: number, spec: StepSpec): void {
		if (!this.#isClosed) {
			this.#uses.add(account, tasks, spec.resources);
			if (spec.isLongRunning) {
				this.#lastingUses.add(account, tasks, spec.resources);
			}

			this.#options.ledger.addTasks(account, tasks, spec);
			if (this.#options.ledger.hasAccounts) {
				this.#pastUses.record(account, this.#uses.get(account).used);
			}
		}
	}
}
