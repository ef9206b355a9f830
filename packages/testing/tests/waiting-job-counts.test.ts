import {type ServiceName} from '@tamarackwind/core';
import test from 'ava';
import {createStep, EmulatedSystem} from '../src/index.js';

const jobCount = 6;
const sampleMs = 25;
/** Maximum time until a waiting job is counted, in milliseconds. */
const countDelayMs = 5000;
const observationMs = 12_000;

type Case = {readonly name: string; readonly tableDelayMs: number; readonly applyEvent: (system: EmulatedSystem) => void};

const cases: readonly Case[] = [
	{
		name: 'is killed', tableDelayMs: 240, applyEvent(system) {
			system.killEntry(system.holder!);
		},
	},
	{
		name: 'is refused by the tables', tableDelayMs: 0, applyEvent(system) {
			system.holder!.tables.faults.isDown = true;
		},
	},
	{
		name: 'releases the leader lease', tableDelayMs: 240, applyEvent(system) {
			void system.holder!.scheduler.close();
		},
	},
];

for (const {name, tableDelayMs, applyEvent} of cases) {
	test(`no entry reports too few waiting jobs when the lease holder ${name}`, async t => {
		const system = await EmulatedSystem.create({seed: 5, entries: 4});
		await system.clock.run(3000);
		// No emulated VM has the capacity for such a task.
		const step = createStep({resources: {cpu: 1_000_000, memory: 1, gpu: 0}});
		const submissions = Promise.all(Array.from({length: jobCount}, async () => system.submit([step], 1000)));
		await system.clock.run(countDelayMs);
		await submissions;
		for (const {tables} of system.entries) {
			tables.faults.delayMs = tableDelayMs;
		}

		const expected = new Map<ServiceName, number>();
		for (const {service} of system.accepted.values()) {
			expected.set(service, (expected.get(service) ?? 0) + 1);
		}

		t.is(system.accepted.size, jobCount);
		applyEvent(system);
		const mismatches: string[] = [];
		let reportCount = 0;
		for (let at = 0; at < observationMs; at += sampleMs) {
			await system.clock.run(sampleMs);
			for (const {name: entry, scheduler} of system.entries) {
				for (const [service, count] of expected) {
					const counts = scheduler.holderStatus?.status.waiting[service];
					reportCount += counts === undefined ? 0 : 1;
					if (counts !== undefined && counts[service] !== count) {
						mismatches.push(`${at} ms: ${entry} reports ${counts[service] ?? 0} of ${count} in ${service}`);
					}
				}
			}
		}

		t.deepEqual(mismatches.slice(0, 3), []);
		t.true(reportCount > 0);
	});
}
