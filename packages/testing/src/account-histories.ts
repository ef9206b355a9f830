/**
 * Runs random histories of the emulated system in which accounts with tight caps own long-running jobs, gangs and jobs of large tasks, beside
 * the faults of other histories and changes of pools and accounts.
 */
import {VerdictError, type AccountName, type ServiceName} from '@tamarackwind/core';
import {noResources} from '@tamarackwind/scheduling';
import {getProgressPartition, type ClientAccount, type OverloadSettings} from '@tamarackwind/workflows';
import {AccountStandingCheck} from './account-standing-checks.js';
import {EmulatedSystem, type EmulatedEntry} from './emulated-systems.js';
import {
	accountFaultKinds, applyFault, createStep, faultKinds, furtherFaultKinds, listUnfinished, type FaultKind,
} from './system-histories.js';

/** Faults of histories with tight caps. */
export const tightCapFaultKinds = [
	'pool opened late',
	'pool not opened',
	'pool added',
	'accounts renamed',
	'entry turned away',
	'takeover beside a cut worker',
	'worker lost',
] as const;

export type TightCapFaultKind = (typeof tightCapFaultKinds)[number];

export type AccountHistoryOptions = {
	readonly seed: number;
	/** Number of short jobs; 40 by default. */
	readonly jobs?: number;
	/** Number of faults to inject; 6 by default. */
	readonly faultCount?: number;
	readonly kinds?: ReadonlyArray<FaultKind | TightCapFaultKind>;
	readonly overload?: Partial<OverloadSettings>;
	readonly write?: (line: string) => void;
};

export type AccountHistoryOutcome = {
	readonly violations: readonly string[];
	/** The job or long-running task that stood longest although its account was under half of its cap, in a calm or not. */
	readonly longest: AccountStandingCheck['longest'];
	readonly faults: Readonly<Record<string, number>>;
	readonly accepted: number;
};

/** Kinds of faults that concern accounts, without waves, whose cordons are judged elsewhere. */
export const defaultTightCapKinds: ReadonlyArray<FaultKind | TightCapFaultKind> = [...faultKinds.filter(kind => kind !== 'wave'), ...furtherFaultKinds, ...accountFaultKinds.filter(kind => kind !== 'accounts removed'), ...tightCapFaultKinds];

const warmUpMs = 4000;
const faultPhaseMs = 24_000;
const recoveryPhaseMs = 45_000;
/** Time after a fault in which its effects end: late orders, runs in doubt. */
const effectsMs = 9000;
const poolNames = ['north', 'south', 'west'] as const;
const pools: ReadonlyArray<readonly [string, number]> = [['north', 5], ['south', 5], ['west', 3], ['spare', 3]];
const lastingCpu = 1000;
/** Maximum number of tasks of a step; gangs have to fit beside the long-running job of their account. */
const maxTasks = 3;
const maxGangTasks = 2;

/** Long-running jobs of each account: number of tasks and thousandths of a core of each. */
const lastingJobs = [{count: 3, cpu: lastingCpu}, {count: 1, cpu: 3500}, {count: 2, cpu: lastingCpu}] as const;

/** Accounts of a history. The long-running job of the first needs its whole cap, that of the second more than half of it. */
function createAccounts(capFactor: number, suffix = ''): ClientAccount[] {
	const caps = [{cpu: 3000, memory: 0, gpu: 0}, {cpu: 6000, memory: 9000, gpu: 0}, {cpu: 5000, memory: 0, gpu: 0}, noResources];
	return caps.map(({cpu, memory, gpu}, index) => ({
		name: `account-${index}${suffix}` as AccountName, weight: index + 1, cap: {cpu: cpu * capFactor, memory: memory * capFactor, gpu}, keyHashes: [],
	}));
}

/** Runs one history and checks it. */
export async function playAccountHistory({seed, jobs = 40, faultCount = 6, kinds = defaultTightCapKinds, overload = {}, write}: AccountHistoryOptions): Promise<AccountHistoryOutcome> {
	const declared = new Set<string>([...poolNames, 'spare']);
	const system = await EmulatedSystem.create({
		seed, pools, overload, write, accounts: createAccounts(1), configuration: {
			get pools() {
				return [...declared].map(name => ({name: name as ServiceName, isSpare: name === 'spare'}));
			},
		},
	});
	const {clock, random} = system;
	await clock.run(warmUpMs);
	const check = AccountStandingCheck.create(system);
	for (const [index, {count, cpu}] of lastingJobs.entries()) {
		void system.submit([createStep({count, isLongRunning: true, resources: {cpu, memory: 100, gpu: 0}})], 1000, {account: `account-${index}` as AccountName, pool: pickPool(system)});
	}

	for (let index = 0; index < jobs; index++) {
		clock.schedule(random.readFraction() * faultPhaseMs, () => {
			void submitShortJob(system);
		});
	}

	const faults: Record<string, number> = {};
	for (let index = 0; index < faultCount; index++) {
		const kind = random.pickItem(kinds)!;
		faults[kind] = (faults[kind] ?? 0) + 1;
		clock.schedule(random.readFraction() * faultPhaseMs, () => {
			if (system.entries.length > 0) {
				const durationMs = isTightCapFault(kind) ? applyTightCapFault(system, kind, declared) : applyFault(system, kind, index);
				check.recordDisturbance(clock.readMonotonic() + durationMs);
			}
		});
	}

	await clock.run(faultPhaseMs);
	await clock.run(recoveryPhaseMs);
	check.close();
	const unfinished = await listUnfinished(system);
	return {
		violations: [...system.fleet.violations, ...check.violations, ...unfinished], longest: check.longest, faults, accepted: system.accepted.size,
	};
}

function isTightCapFault(kind: FaultKind | TightCapFaultKind): kind is TightCapFaultKind {
	return (tightCapFaultKinds as readonly string[]).includes(kind);
}

function pickPool({random}: EmulatedSystem): string {
	return random.pickItem(poolNames)!;
}

/** Submits a job of an account that has room beside its long-running job. */
async function submitShortJob(system: EmulatedSystem): Promise<void> {
	const {random, clock} = system;
	const index = 1 + random.pickIndex(3);
	const isLarge = random.readFraction() < 0.15;
	const steps = Array.from({length: 1 + random.pickIndex(2)}, (_, step) => {
		const isGang = random.readFraction() < 0.15;
		return createStep({
			count: isLarge ? 1 : 1 + random.pickIndex(isGang ? maxGangTasks : maxTasks), after: step === 0 ? [] : [step - 1], isGang, resources: {cpu: isLarge ? 2000 : 500 * (1 + random.pickIndex(2)), memory: 500, gpu: 0},
		});
	});
	const id = await system.submit(steps, 300 + random.pickIndex(1200), {account: `account-${index}` as AccountName, pool: pickPool(system)});
	if (random.readFraction() < 0.1) {
		clock.schedule(random.readFraction() * 4000, () => {
			void system.cancel(id);
		});
	}
}

/** Applies a fault; returns the time for which it and its effects last, in milliseconds. */
function applyTightCapFault(system: EmulatedSystem, kind: TightCapFaultKind, declared: Set<string>): number {
	const {random, clock, fleet} = system;
	const durationMs = 1000 + (random.readFraction() * 8000);
	const holder = system.holder ?? system.entries[0]!;
	const scheduleRestore = (restore: () => void): void => {
		clock.schedule(durationMs, restore);
	};

	const replaceHolder = (): void => {
		system.killEntry(holder);
		scheduleRestore(() => {
			system.startEntry();
		});
	};

	const actions: Record<TightCapFaultKind, () => void> = {
		'pool opened late'() {
			disturbPool(system, pickPool(system), {until: clock.readMonotonic() + durationMs, isFailing: false});
			replaceHolder();
		},
		'pool not opened'() {
			disturbPool(system, pickPool(system), {until: clock.readMonotonic() + durationMs, isFailing: true});
			replaceHolder();
		},
		'pool added'() {
			declared.add('new');
			void system.configureAccounts(createAccounts(1));
		},
		'accounts renamed'() {
			void system.configureAccounts(createAccounts(1, '-renamed'));
			scheduleRestore(() => {
				void system.configureAccounts(createAccounts(1));
			});
		},
		'entry turned away'() {
			holder.tables.faults.isDown = true;
			scheduleRestore(() => {
				holder.tables.faults.isDown = false;
			});
		},
		'takeover beside a cut worker'() {
			fleet.setUnreachable(random.pickItem(fleet.vms)!.id, durationMs);
			replaceHolder();
		},
		'worker lost'() {
			fleet.crashVm(random.pickItem(fleet.vms)!.id, faultPhaseMs + recoveryPhaseMs);
		},
	};
	actions[kind]();
	return durationMs + effectsMs;
}

/** Delays the transactions of a pool's progress by all entries, or has them fail. */
function disturbPool({entries, clock}: EmulatedSystem, pool: string, {until, isFailing}: {readonly until: number; readonly isFailing: boolean}): void {
	const partition = getProgressPartition(pool as ServiceName);
	for (const {tables} of entries) {
		const commit: EmulatedEntry['tables']['commit'] = tables.commit.bind(tables);
		tables.commit = async transaction => {
			const remainingMs = until - clock.readMonotonic();
			if (remainingMs > 0 && transaction.writes.some(write => write.partition === partition)) {
				if (isFailing) {
					throw new VerdictError('partition is down', {verdict: 'not-run', code: 'platform_unavailable'});
				}

				await clock.sleep(remainingMs);
			}

			return commit(transaction);
		};
	}
}
