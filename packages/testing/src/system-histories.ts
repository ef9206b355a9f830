/**
 * Runs random histories of the emulated system: jobs, cancellations, waves and overlapping faults, followed by a phase without
 * faults, after which the guarantees are checked.
 */
import {type AccountName, type JobId} from '@tamarackwind/core';
import {getReservation, noResources, type StepSpec} from '@tamarackwind/scheduling';
import {
	type Bounds, type ClientAccount, type Job, type OverloadSettings,
} from '@tamarackwind/workflows';
import {EmulatedSystem} from './emulated-systems.js';
import {hasWorkerRoom, listStepTasks, StandingCheck} from './standing-checks.js';

export type HistoryOutcome = {
	readonly violations: readonly string[];
	readonly counts: EmulatedSystem['fleet']['counts'];
	/** Number of injected faults of each kind. */
	readonly faults: Readonly<Record<string, number>>;
	readonly accepted: number;
};

export type HistoryOptions = {
	readonly seed: number;
	readonly jobs?: number;
	/** Number of faults to inject; 4 by default. */
	readonly faultCount?: number;
	/** Kinds of faults to inject; all kinds by default. */
	readonly kinds?: readonly FaultKind[];
	/** Share of the jobs whose callers leave before they have an answer, and cancel them; 0 by default. */
	readonly abandonedShare?: number;
	/** Whether calls of workers on VMs that are down get no answer, instead of being refused; `false` by default. */
	readonly isSilentWhenDown?: boolean;
	/** Whether the configuration has accounts, to which the jobs belong; `false` by default. */
	readonly hasAccounts?: boolean;
	/** Bounds of the deployment. */
	readonly bounds?: Bounds;
	/** What entries do when the capacity of a pool is insufficient; nothing by default. */
	readonly overload?: Partial<OverloadSettings>;
	readonly write?: (line: string) => void;
};

export const faultKinds = [
	'kill holder',
	'kill entry',
	'stop holder',
	'cut holder from tables',
	'tables down',
	'tables silent',
	'tables slow',
	'answers lost',
	'writes late',
	'history gone',
	'worker crash',
	'worker cut',
	'orders lost',
	'orders late',
	'wave',
] as const;

/** Further kinds of faults. They are listed apart, since a history draws its faults from the list of kinds, and known seeds would play other histories. */
export const furtherFaultKinds = [
	'worker restart',
	'VM orders lost',
	'VM orders unanswered',
	'VM orders late',
	'VM list down',
	'queue moved',
] as const;

/** Changes of the accounts in the configuration, for histories with accounts; listed apart for the same reason. */
export const accountFaultKinds = [
	'caps lowered',
	'caps raised',
	'accounts removed',
] as const;

/** Outages of calls to workers that the registry goes on listing; listed apart for the same reason. */
export const pathFaultKinds = [
	'path to workers cut',
	'workers shed calls',
] as const;

/** Outages in which the registry loses the entries of workers that go on, and waves over several VMs of a step at once; listed apart for the same reason. */
export const registryFaultKinds = [
	'registry entries expire',
	'wide wave',
] as const;

export type FaultKind = (typeof registryFaultKinds)[number] | (typeof faultKinds)[number] | (typeof furtherFaultKinds)[number] | (typeof accountFaultKinds)[number] | (typeof pathFaultKinds)[number];

const restartMs = {min: 20, range: 900};
/** Faults of the VM control, by kind. */
const vmOrderFaults = {'VM orders lost': 'lost', 'VM orders unanswered': 'unanswered', 'VM orders late': 'late'} as const;

/** Time for which effects of a fault may last beyond the fault, in milliseconds; those of a wave, which is planned, are none. */
const effectsMs: Partial<Record<FaultKind, number>> = {
	'writes late': 6000, 'orders late': 9000, 'VM orders late': 3000, 'worker restart': 2 * (restartMs.min + restartMs.range),
};

const warmUpMs = 4000;
/** Longest time after which a caller leaves, in milliseconds. */
const maxLeaveMs = 900;
const heartbeatMs = 1500;
/** Cap of a wave that takes several VMs of a step at once. */
const wideCap = 3;
const faultPhaseMs = 24_000;
const recoveryPhaseMs = 45_000;

/** Creates a step with default values for the fields that are not given. */
export function createStep(step: Partial<StepSpec>): StepSpec {
	return {
		count: 1,
		resources: {cpu: 1000, memory: 1000, gpu: 0},
		estimatedMs: 800,
		after: [],
		isCheckpointing: false,
		isGang: false,
		isSameRack: false,
		isSpeculative: false,
		isLongRunning: false,
		isFiller: false,
		...step,
	};
}

/** Runs one history and checks it. */
export async function playHistory({seed, jobs = 24, faultCount = 4, kinds = faultKinds, hasAccounts = false, abandonedShare = 0, isSilentWhenDown = false, bounds, overload, write}: HistoryOptions): Promise<HistoryOutcome> {
	const system = await EmulatedSystem.create({
		seed, bounds, overload, write, ...(hasAccounts ? {accounts: createAccounts(1)} : {}),
	});
	const {clock, random} = system;
	system.fleet.isSilentWhenDown = isSilentWhenDown;
	const faults: Record<string, number> = {};
	await clock.run(warmUpMs);
	const check = StandingCheck.create({system});
	for (let index = 0; index < jobs; index++) {
		clock.schedule(random.readFraction() * faultPhaseMs, () => {
			void (abandonedShare > 0 && random.readFraction() < abandonedShare ? abandonRandomJob(system) : submitRandomJob(system, hasAccounts));
		});
	}

	for (let index = 0; index < faultCount; index++) {
		const kind = random.pickItem(kinds)!;
		faults[kind] = (faults[kind] ?? 0) + 1;
		clock.schedule(random.readFraction() * faultPhaseMs, () => {
			const effectMs = applyFault(system, kind, index);
			check.recordDisturbance(clock.readMonotonic() + effectMs, {isOrderDelay: kind === 'orders late'});
		});
	}

	await clock.run(faultPhaseMs);
	await clock.run(recoveryPhaseMs);
	check.close();
	const unfinished = await listUnfinished(system);
	const abandoned = [...system.abandoned].filter(id => system.fleet.cancelledAt.has(id) && system.fleet.countRunning(id) > 0).map(id => `abandoned job ${id} still has running tasks`);
	const overdue = system.fleet.overdueRuns.filter(({startedAt, until}) => check.isCalm(startedAt, until)).map(({name, until}) => `${Math.round(until)}: ${name}, begun late, is not stopped after its job was cancelled`);
	return {
		violations: [...system.fleet.violations, ...overdue, ...abandoned, ...check.violations, ...unfinished], counts: system.fleet.counts, faults, accepted: system.accepted.size,
	};
}

/** Accounts of a history: one limited in CPU, one in CPU and memory, one not at all. Long-running jobs belong to the last or to none, so that all of them can run. */
function createAccounts(capFactor: number): ClientAccount[] {
	const caps = [{cpu: 4000, memory: 0, gpu: 0}, {cpu: 6000, memory: 5000, gpu: 0}, noResources];
	return caps.map(({cpu, memory, gpu}, index) => ({
		name: `account-${index}` as AccountName, weight: index + 1, cap: {cpu: cpu * capFactor, memory: memory * capFactor, gpu}, keyHashes: [],
	}));
}

/** Draws the account of a job; `undefined` for one without. */
function pickAccount(system: EmulatedSystem, isLongRunning: boolean): AccountName | undefined {
	const index = system.random.pickIndex(isLongRunning ? 2 : 4) + (isLongRunning ? 2 : 0);
	return createAccounts(1)[index]?.name;
}

async function submitRandomJob(system: EmulatedSystem, hasAccounts: boolean): Promise<void> {
	const {random, clock} = system;
	const isLongRunning = random.readFraction() < 0.2;
	const steps = isLongRunning
		? [createStep({
			count: 3, isLongRunning: true, mayMiss: 1, antiAffinity: 1,
		})]
		: Array.from({length: 1 + random.pickIndex(3)}, (_, index) => createStep({
			count: 1 + random.pickIndex(4), after: index === 0 ? [] : [index - 1], isGang: random.readFraction() < 0.1,
		}));
	const failingTasks = new Set(random.readFraction() < 0.15 ? ['0.0.1'] : []);
	const id = await system.submit(steps, 300 + random.pickIndex(1500), {failingTasks, account: hasAccounts ? pickAccount(system, isLongRunning) : undefined});
	if (random.readFraction() < 0.15) {
		clock.schedule(random.readFraction() * 4000, () => {
			void system.cancel(id);
		});
	}
}

/** Submits a lasting or a short job of a caller that leaves at once, or while a slow store writes the job. */
async function abandonRandomJob(system: EmulatedSystem): Promise<void> {
	const {random} = system;
	const isLongRunning = random.readFraction() < 0.5;
	await system.submitAndLeave([createStep({count: 2, isLongRunning})], 300 + random.pickIndex(1500), random.readFraction() * maxLeaveMs);
}

/** Applies a fault; returns the time for which its effects last, in milliseconds. */
export function applyFault(system: EmulatedSystem, kind: FaultKind, index: number): number {
	const {random, clock, fleet} = system;
	const durationMs = 1000 + (random.readFraction() * 8000);
	const holder = system.holder ?? system.entries[0];
	const scheduleRestore = (restore: () => void): void => {
		clock.schedule(durationMs, restore);
	};

	const setFaults = (faults: Partial<EmulatedSystem['entries'][number]['tables']['faults']>): void => {
		const {entries} = system;
		for (const {tables} of entries) {
			Object.assign(tables.faults, faults);
		}

		scheduleRestore(() => {
			for (const {tables} of entries) {
				Object.assign(tables.faults, {
					isDown: false, isUnresponsive: false, lostResponseRate: 0, lateRate: 0, delayMs: 0,
				});
			}
		});
	};

	const setVmOrderFault = (name: keyof typeof vmOrderFaults): void => {
		fleet.vmOrderFault = vmOrderFaults[name];
		scheduleRestore(() => {
			fleet.vmOrderFault = undefined;
		});
	};

	/** Ends an entry, if one is up, and starts another one later. */
	const replaceEntry = (entry: EmulatedSystem['entries'][number] | undefined, end: (entry: EmulatedSystem['entries'][number]) => void): void => {
		if (entry !== undefined) {
			end(entry);
			scheduleRestore(() => {
				system.startEntry();
			});
		}
	};

	/** Draws a share of the VMs, half of them on average. */
	const pickVms = (): typeof fleet.vms => {
		const share = random.readFraction();
		return fleet.vms.filter(() => random.readFraction() < share);
	};

	const actions: Record<FaultKind, () => void> = {
		'worker restart'() {
			const vm = random.pickItem(fleet.vms)!.id;
			const downtimeMs = restartMs.min + (random.readFraction() * restartMs.range);
			fleet.restartWorker(vm, downtimeMs);
			clock.schedule(downtimeMs + (random.readFraction() * restartMs.range), () => {
				fleet.restartWorker(vm, restartMs.min);
			});
		},
		'VM orders lost'() {
			setVmOrderFault('VM orders lost');
		},
		'VM orders unanswered'() {
			setVmOrderFault('VM orders unanswered');
		},
		'VM orders late'() {
			setVmOrderFault('VM orders late');
		},
		'VM list down'() {
			fleet.isVmListDown = true;
			scheduleRestore(() => {
				fleet.isVmListDown = false;
			});
		},
		'path to workers cut'() {
			for (const {id} of pickVms()) {
				fleet.cutPath(id, durationMs);
			}
		},
		'workers shed calls'() {
			for (const {id} of pickVms()) {
				fleet.shedCalls(id, durationMs);
			}
		},
		'queue moved'() {
			for (const [id, {service}] of system.accepted) {
				const entry = random.pickItem(system.entries);
				if (entry !== undefined) {
					void system.repeatSubmission(id, service as string === 'north' ? 'south' : 'north', entry);
				}
			}
		},
		'kill holder'() {
			replaceEntry(holder, entry => {
				system.killEntry(entry);
			});
		},
		'kill entry'() {
			replaceEntry(random.pickItem(system.entries), entry => {
				system.killEntry(entry);
			});
		},
		'stop holder'() {
			replaceEntry(holder, entry => {
				void stopEntry(system, entry);
			});
		},
		'cut holder from tables'() {
			if (holder !== undefined) {
				holder.tables.faults.isUnresponsive = true;
				scheduleRestore(() => {
					holder.tables.faults.isUnresponsive = false;
				});
			}
		},
		'tables down'() {
			setFaults({isDown: true});
		},
		'tables silent'() {
			setFaults({isUnresponsive: true});
		},
		'tables slow'() {
			setFaults({delayMs: 240});
		},
		'answers lost'() {
			setFaults({lostResponseRate: 0.4});
		},
		'writes late'() {
			setFaults({lateRate: 0.4});
		},
		'history gone'() {
			system.tables.clearHistory();
		},
		'worker crash'() {
			fleet.crashVm(random.pickItem(fleet.vms)!.id, durationMs);
		},
		'worker cut'() {
			fleet.setUnreachable(random.pickItem(fleet.vms)!.id, durationMs);
		},
		'orders lost'() {
			fleet.orderFaults = {lostResponseRate: 0.3, lateRate: 0};
			scheduleRestore(() => {
				fleet.orderFaults = {lostResponseRate: 0, lateRate: 0};
			});
		},
		'orders late'() {
			fleet.orderFaults = {lostResponseRate: 0, lateRate: 0.3};
			scheduleRestore(() => {
				fleet.orderFaults = {lostResponseRate: 0, lateRate: 0};
			});
		},
		'caps lowered'() {
			void system.configureAccounts(createAccounts(0.25));
			scheduleRestore(() => {
				void system.configureAccounts(createAccounts(1));
			});
		},
		'caps raised'() {
			void system.configureAccounts(createAccounts(2));
			scheduleRestore(() => {
				void system.configureAccounts(createAccounts(1));
			});
		},
		'accounts removed'() {
			void system.configureAccounts(undefined);
			scheduleRestore(() => {
				void system.configureAccounts(createAccounts(1));
			});
		},
		'registry entries expire'() {
			setFaults({isDown: true});
			fleet.isRegistryDown = true;
			scheduleRestore(() => {
				fleet.isRegistryDown = false;
			});
			for (const {id} of pickVms()) {
				fleet.expireEntry(id, durationMs + (random.readFraction() * heartbeatMs));
			}
		},
		'wide wave'() {
			void system.startWave(`wave-${index}`, fleet.vms.map(({id}) => id), wideCap);
		},
		wave() {
			void system.startWave(`wave-${index}`, fleet.vms.map(({id}) => id), 2);
		},
	};
	actions[kind]();
	return durationMs + (effectsMs[kind] ?? 0);
}

async function stopEntry(system: EmulatedSystem, entry: EmulatedSystem['entries'][number]): Promise<void> {
	try {
		await entry.scheduler.close();
	} catch {
		// The tables are unavailable: another entry acquires the leader lease after it expires.
	}

	system.killEntry(entry);
}

/** Lists accepted jobs that are not in the expected final state. */
export async function listUnfinished(system: EmulatedSystem): Promise<string[]> {
	const violations: string[] = [];
	const check = async (id: JobId): Promise<void> => {
		const {job} = system.fleet.jobs.get(id)!;
		const state = await system.getState(id);
		const isCancelled = system.cancelled.has(id);
		const isLongRunning = job.steps.some(step => step.isLongRunning);
		if (isLongRunning && !isCancelled) {
			const running = system.fleet.countRunning(id);
			if (running < job.steps[0]!.count && hasPlace(job, system.fleet)) {
				violations.push(`long-running job ${id} has ${running} of ${job.steps[0]!.count} tasks running; ${describeTasks(system, id)}`);
			}
		} else if (isLongRunning && !system.fleet.cancelledAt.has(id)) {
			// The cancellation was not acknowledged, so both outcomes are valid.
		} else if (state !== 'succeeded' && !(isCancelled && (state === 'cancelled' || state === 'failed'))) {
			violations.push(`job ${id} has state ${state}; ${describeTasks(system, id)}`);
		} else if (isCancelled && state === 'cancelled' && system.fleet.countRunning(id) > 0) {
			violations.push(`cancelled job ${id} still has running tasks`);
		}
	};

	const checks = Promise.all([...system.accepted.keys()].map(async id => check(id)));
	await system.clock.run(2000);
	await checks;
	return violations;
}

/** Reports whether a task of a long-running job that does not run has a place: on a worker of its pool, or on a VM that runs nothing and could move there. */
function hasPlace(job: Job, fleet: EmulatedSystem['fleet']): boolean {
	const pools = new Set(fleet.listVms().map(({pool}) => pool as string));
	const isAnyIdle = [...pools].some(pool => fleet.listPoolRoom(pool).some(({tasks}) => tasks.size === 0));
	return isAnyIdle || job.steps.some((step, index) => hasWorkerRoom(getReservation(step), fleet.listPoolRoom(job.service), {
		tasks: listStepTasks(job, index), limit: step.antiAffinity ?? Number.POSITIVE_INFINITY, times: 1,
	}));
}

/** Describes the tasks of a job as the lease holder sees them. */
function describeTasks(system: EmulatedSystem, id: JobId): string {
	const activeJob = [...system.holder?.scheduler.pools ?? []].flatMap(pool => [...pool.jobs]).find(({job}) => job.id === id);
	return activeJob?.tasks.map(task => `${task.name}#${task.run} ${task.phase} ${task.incarnation?.id ?? ''}`).join(', ') ?? 'unknown to the lease holder';
}
