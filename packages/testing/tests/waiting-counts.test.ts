import {type ServiceName} from '@tamarackwind/core';
import test from 'ava';
import {createStep, EmulatedSystem} from '../src/index.js';

const jobs = 6;
const lookMs = 25;
/** Time after which a waiting job must be counted, in milliseconds. */
const visibleMs = 5000;
const playMs = 12_000;

type Case = {readonly name: string; readonly tableDelayMs: number; readonly end: (system: EmulatedSystem) => void};

const cases: readonly Case[] = [
	{
		name: 'is killed', tableDelayMs: 240, end(system) {
			system.killEntry(system.holder!);
		},
	},
	{
		name: 'is turned away by the tables', tableDelayMs: 0, end(system) {
			system.holder!.tables.faults.isDown = true;
		},
	},
	{
		name: 'gives the duty up', tableDelayMs: 240, end(system) {
			void system.holder!.scheduler.close();
		},
	},
];

for (const {name, tableDelayMs, end} of cases) {
	test(`no entry tells too few waiting jobs when the holder ${name}`, async t => {
		const system = await EmulatedSystem.create({seed: 5, entries: 4});
		await system.clock.run(3000);
		// No VM of the emulator has room for such a task.
		const step = createStep({resources: {cpu: 1_000_000, memory: 1, gpu: 0}});
		const submissions = Promise.all(Array.from({length: jobs}, async () => system.submit([step], 1000)));
		await system.clock.run(visibleMs);
		await submissions;
		for (const {tables} of system.entries) {
			tables.faults.delayMs = tableDelayMs;
		}

		const expected = new Map<ServiceName, number>();
		for (const {service} of system.accepted.values()) {
			expected.set(service, (expected.get(service) ?? 0) + 1);
		}

		t.is(system.accepted.size, jobs);
		end(system);
		const wrong: string[] = [];
		let told = 0;
		for (let at = 0; at < playMs; at += lookMs) {
			await system.clock.run(lookMs);
			for (const {name: entry, scheduler} of system.entries) {
				for (const [service, count] of expected) {
					const counts = scheduler.holderStatus?.status.waiting[service];
					told += counts === undefined ? 0 : 1;
					if (counts !== undefined && counts[service] !== count) {
						wrong.push(`${at} ms: ${entry} tells ${counts[service] ?? 0} of ${count} in ${service}`);
					}
				}
			}
		}

		t.deepEqual(wrong.slice(0, 3), []);
		t.true(told > 0);
	});
}
