/**
 * Random histories of the emulated system: jobs, cancellations, waves and overlapping faults, then calm, then what must hold.
 */
import {type JobId} from '@tamarackwind/core';
import {type StepSpec} from '@tamarackwind/scheduling';
import {EmulatedSystem} from './emulated-systems.js';

export type HistoryOutcome = {
	readonly violations: readonly string[];
	readonly counts: EmulatedSystem['fleet']['counts'];
	/** How often each kind of fault was met. */
	readonly faults: Readonly<Record<string, number>>;
	readonly accepted: number;
};

export type HistoryOptions = {
	readonly seed: number;
	readonly jobs?: number;
	/** Faults to choose from; all by default. */
	readonly kinds?: readonly FaultKind[];
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

export type FaultKind = (typeof faultKinds)[number];

const warmUpMs = 4000;
const troubleMs = 24_000;
const calmMs = 45_000;

/** A step with the defaults that the emulator's jobs share. */
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

/** Plays one history and checks it. */
export async function playHistory({seed, jobs = 24, kinds = faultKinds, write}: HistoryOptions): Promise<HistoryOutcome> {
	const system = await EmulatedSystem.create({seed, write});
	const {clock, random} = system;
	const faults: Record<string, number> = {};
	await clock.run(warmUpMs);
	for (let index = 0; index < jobs; index++) {
		clock.schedule(random.readFraction() * troubleMs, () => {
			void submitRandomJob(system);
		});
	}

	for (let index = 0; index < 4; index++) {
		const kind = random.pickItem(kinds)!;
		faults[kind] = (faults[kind] ?? 0) + 1;
		clock.schedule(random.readFraction() * troubleMs, () => {
			applyFault(system, kind, index);
		});
	}

	await clock.run(troubleMs);
	await clock.run(calmMs);
	const stuck = await listUnfinished(system);
	return {
		violations: [...system.fleet.violations, ...stuck], counts: system.fleet.counts, faults, accepted: system.accepted.size,
	};
}

async function submitRandomJob(system: EmulatedSystem): Promise<void> {
	const {random, clock} = system;
	const isLasting = random.readFraction() < 0.2;
	const steps = isLasting
		? [createStep({
			count: 3, isLongRunning: true, mayMiss: 1, antiAffinity: 1,
		})]
		: Array.from({length: 1 + random.pickIndex(3)}, (_, index) => createStep({
			count: 1 + random.pickIndex(4), after: index === 0 ? [] : [index - 1], isGang: random.readFraction() < 0.1,
		}));
	const failing = new Set(random.readFraction() < 0.15 ? ['0.0.1'] : []);
	const id = await system.submit(steps, 300 + random.pickIndex(1500), failing);
	if (random.readFraction() < 0.15) {
		clock.schedule(random.readFraction() * 4000, () => {
			void system.cancel(id);
		});
	}
}

function applyFault(system: EmulatedSystem, kind: FaultKind, index: number): void {
	const {random, clock, fleet} = system;
	const forMs = 1000 + (random.readFraction() * 8000);
	const holder = system.holder ?? system.entries[0]!;
	const restore = (undo: () => void): void => {
		clock.schedule(forMs, undo);
	};

	const setFaults = (faults: Partial<EmulatedSystem['entries'][number]['tables']['faults']>): void => {
		const {entries} = system;
		for (const {tables} of entries) {
			Object.assign(tables.faults, faults);
		}

		restore(() => {
			for (const {tables} of entries) {
				Object.assign(tables.faults, {
					isDown: false, isSilent: false, lostAnswer: 0, late: 0, delayMs: 0,
				});
			}
		});
	};

	const actions: Record<FaultKind, () => void> = {
		'kill holder'() {
			system.killEntry(holder);
			restore(() => {
				system.startEntry();
			});
		},
		'kill entry'() {
			system.killEntry(random.pickItem(system.entries)!);
			restore(() => {
				system.startEntry();
			});
		},
		'stop holder'() {
			void stopEntry(system, holder);
			restore(() => {
				system.startEntry();
			});
		},
		'cut holder from tables'() {
			holder.tables.faults.isSilent = true;
			restore(() => {
				holder.tables.faults.isSilent = false;
			});
		},
		'tables down'() {
			setFaults({isDown: true});
		},
		'tables silent'() {
			setFaults({isSilent: true});
		},
		'tables slow'() {
			setFaults({delayMs: 240});
		},
		'answers lost'() {
			setFaults({lostAnswer: 0.4});
		},
		'writes late'() {
			setFaults({late: 0.4});
		},
		'history gone'() {
			system.tables.clearHistory();
		},
		'worker crash'() {
			fleet.crashVm(random.pickItem(fleet.vms)!.id, forMs);
		},
		'worker cut'() {
			fleet.cutVm(random.pickItem(fleet.vms)!.id, forMs);
		},
		'orders lost'() {
			fleet.orderFaults = {lostAnswer: 0.3, late: 0};
			restore(() => {
				fleet.orderFaults = {lostAnswer: 0, late: 0};
			});
		},
		'orders late'() {
			fleet.orderFaults = {lostAnswer: 0, late: 0.3};
			restore(() => {
				fleet.orderFaults = {lostAnswer: 0, late: 0};
			});
		},
		wave() {
			void system.startWave(`wave-${index}`, fleet.vms.map(({id}) => id), 2);
		},
	};
	actions[kind]();
}

async function stopEntry(system: EmulatedSystem, entry: EmulatedSystem['entries'][number]): Promise<void> {
	try {
		await entry.scheduler.close();
	} catch {
		// The tables are away: the others take the duty over when its lease has run out.
	}

	system.killEntry(entry);
}

/** Lists accepted jobs that have not ended as they should. */
async function listUnfinished(system: EmulatedSystem): Promise<string[]> {
	const faults: string[] = [];
	const check = async (id: JobId): Promise<void> => {
		const {job} = system.fleet.jobs.get(id)!;
		const state = await system.getState(id);
		const isCancelled = system.cancelled.has(id);
		const isLasting = job.steps.some(step => step.isLongRunning);
		if (isLasting && !isCancelled) {
			const running = system.fleet.countRunning(id);
			if (running < job.steps[0]!.count) {
				faults.push(`lasting job ${id} has ${running} of ${job.steps[0]!.count} tasks running; ${describeTasks(system, id)}`);
			}
		} else if (isLasting && !system.fleet.cancelledAt.has(id)) {
			// The client does not know whether its cancellation took effect: either way is right.
		} else if (state !== 'succeeded' && !(isCancelled && (state === 'cancelled' || state === 'failed'))) {
			faults.push(`job ${id} is shown as ${state}; ${describeTasks(system, id)}`);
		} else if (isCancelled && state === 'cancelled' && system.fleet.countRunning(id) > 0) {
			faults.push(`cancelled job ${id} still runs`);
		}
	};

	const checks = Promise.all([...system.accepted.keys()].map(async id => check(id)));
	await system.clock.run(2000);
	await checks;
	return faults;
}

/** Describes what the holder believes of a job's tasks. */
function describeTasks(system: EmulatedSystem, id: JobId): string {
	const active = [...system.holder?.scheduler.pools ?? []].flatMap(pool => [...pool.jobs]).find(({job}) => job.id === id);
	return active?.tasks.map(task => `${task.name}#${task.run} ${task.phase} ${task.incarnation?.id ?? ''}`).join(', ') ?? 'not known to the holder';
}
