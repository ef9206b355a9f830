import {type JobId} from '@tamarackwind/core';
import {UncheckedPrincipal} from '@tamarackwind/workflows';
import test from 'ava';
import {createStep, EmulatedSystem, type EmulatedEntry} from '../src/index.js';

const warmUpMs = 4000;
const finishMs = 15_000;
const taskMs = 4000;
const tasks = 3;
const services = ['north', 'south'];

type Moment = {
	readonly name: string;
	/** Time of the repeat after the submission, in milliseconds. */
	readonly afterMs: number;
	/** Whether the job is cancelled before the repeat. */
	readonly isCancelled: boolean;
};

const moments: readonly Moment[] = [
	{name: 'at the same moment', afterMs: 0, isCancelled: false},
	{name: 'before the first answer', afterMs: 3, isCancelled: false},
	{name: 'while it runs', afterMs: 1500, isCancelled: false},
	{name: 'after it has ended', afterMs: taskMs + 2000, isCancelled: false},
	{name: 'after it was cancelled', afterMs: 2500, isCancelled: true},
];

type Move = {
	readonly name: string;
	/** Services to which the entries send the queue at the repeats, in turn. */
	readonly getServices: (first: string, other: string) => readonly string[];
};

const moves: readonly Move[] = [
	{name: 'another service', getServices: (_, other) => [other]},
	{name: 'another service and back', getServices: (first, other) => [other, first, other]},
	{name: 'both, by entries with different versions', getServices: (first, other) => [first, other, first, other]},
];

type Disturbance = {readonly name: string; readonly apply: (system: EmulatedSystem) => void};

const disturbances: readonly Disturbance[] = [
	{name: '', apply() {}},
	{
		name: ', beside lost answers of the store', apply({entries, clock}) {
			for (const {tables} of entries) {
				tables.faults.lostResponseRate = 0.4;
				clock.schedule(taskMs, () => {
					tables.faults.lostResponseRate = 0;
				});
			}
		},
	},
	{
		name: ', beside late writes', apply({entries, clock}) {
			for (const {tables} of entries) {
				tables.faults.lateRate = 0.3;
				clock.schedule(taskMs, () => {
					tables.faults.lateRate = 0;
				});
			}
		},
	},
	{
		name: ', while the store drops its history', apply({tables, clock}) {
			for (const at of [2, 10, 1000, 1600, 6100]) {
				clock.schedule(at, () => {
					tables.clearHistory();
				});
			}
		},
	},
	{
		name: ', and another entry takes over', apply(system) {
			system.clock.schedule(1000, () => {
				system.killEntry(system.holder ?? system.entries[0]!);
				system.startEntry();
			});
		},
	},
];

function pickEntry(system: EmulatedSystem, index: number): EmulatedEntry {
	return system.entries[index % system.entries.length]!;
}

// Guards against a second job under the same id when the repeat of a submission arrives after its queue has moved to another service (review/1).
for (const {name: momentName, afterMs, isCancelled} of moments) {
	for (const {name: moveName, getServices} of moves) {
		for (const {name, apply} of disturbances) {
			test(`a submission is repeated ${momentName} when its queue belongs to ${moveName}${name}: it stays one job`, async t => {
				const system = await EmulatedSystem.create({seed: 21});
				const {clock, fleet} = system;
				await clock.run(warmUpMs);
				apply(system);
				let id: JobId | undefined;
				const submit = async (): Promise<void> => {
					id = await system.submit([createStep({count: tasks})], taskMs);
				};

				void submit();
				const [known] = fleet.jobs.keys();
				const {service} = fleet.jobs.get(known!)!.job;
				const other = services.find(candidate => candidate !== service)!;
				if (isCancelled) {
					clock.schedule(1500, () => {
						void system.cancel(known!);
					});
				}

				for (const [index, target] of getServices(service, other).entries()) {
					clock.schedule(afterMs + (index * 2), () => {
						void system.repeatSubmission(known!, target, pickEntry(system, index));
					});
				}

				await clock.run(taskMs + finishMs);
				const state = system.getState(known!);
				await clock.run(500);
				t.is(id, known);
				t.deepEqual(fleet.violations, []);
				if (isCancelled) {
					t.is(fleet.countRunning(known!), 0);
					t.true(fleet.counts.starts <= tasks);
				} else {
					t.is(await state, 'succeeded');
					t.is(fleet.counts.done, tasks);
				}
			});
		}
	}
}

test('a cancellation reaches a job whose queue belongs to another service now, and its state can be read there', async t => {
	const system = await EmulatedSystem.create({seed: 22});
	const {clock, fleet} = system;
	await clock.run(warmUpMs);
	const submitted = system.submit([createStep({count: tasks})], 60_000);
	await clock.run(1500);
	const id = await submitted;
	const {service} = fleet.jobs.get(id)!.job;
	const other = services.find(candidate => candidate !== service)!;
	const entry = pickEntry(system, 1);
	const before = entry.queries.getStatus(other as typeof service, id);
	await clock.run(500);
	t.is((await before)?.state, 'running');
	t.is(fleet.countRunning(id), tasks);
	const cancelled = entry.submitter.cancel(id, UncheckedPrincipal.create());
	await clock.run(2000);
	t.is(await cancelled, 'cancelled');
	t.is(fleet.countRunning(id), 0);
	const after = entry.queries.getStatus(other as typeof service, id);
	await clock.run(500);
	t.is((await after)?.state, 'cancelled');
});
