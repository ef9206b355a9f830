import {
	Log, ManualClock, type PoolName, type ServiceName, type VmId, type ZoneName,
} from '@tamarackwind/core';
import test from 'ava';
import {
	AvailabilityMonitor, RateLimitedLog, type UnavailabilityReason, type WorkerRecord,
} from '../src/index.js';

type Case = {
	readonly name: string;
	/** Reason of one worker at the start of each second; `undefined` while it gets work. */
	readonly reasons: ReadonlyArray<UnavailabilityReason | undefined>;
	readonly expected: {readonly reason?: UnavailabilityReason; readonly longestMs?: number; readonly unavailableCpu: number; readonly loggedLines: number};
};

const cpu = 8000;
const record: WorkerRecord = {
	id: 'worker-1' as VmId, startedAt: 0, pool: 'north' as PoolName, address: '127.0.0.1:1', zone: 'zone-a' as ZoneName, isDraining: false, capacity: {cpu, memory: 0, gpu: 0}, labels: [],
};

const cases: readonly Case[] = [
	{name: 'a worker that gets work', reasons: [undefined, undefined], expected: {unavailableCpu: 0, loggedLines: 0}},
	{name: 'a worker that is out of reach for a moment', reasons: ['unreachable', 'unreachable', undefined], expected: {unavailableCpu: 0, loggedLines: 0}},
	{
		name: 'a worker that stays out of reach', reasons: Array.from({length: 5}, () => 'unreachable' as const), expected: {
			reason: 'unreachable', longestMs: 4000, unavailableCpu: cpu, loggedLines: 2,
		},
	},
	{
		name: 'a worker whose reason changes', reasons: ['unreachable', 'unreachable', 'cordoned', 'cordoned'], expected: {
			reason: 'cordoned', longestMs: 1000, unavailableCpu: cpu, loggedLines: 0,
		},
	},
	{
		name: 'a worker that is about to leave', reasons: ['draining', 'draining'], expected: {
			reason: 'draining', longestMs: 1000, unavailableCpu: 0, loggedLines: 0,
		},
	},
];

for (const {name, reasons, expected} of cases) {
	test(`availability of ${name}`, t => {
		const lines: string[] = [];
		const log = RateLimitedLog.create(Log.create({
			format: 'json', fields: {}, write(line) {
				lines.push(line);
			},
		}), ManualClock.create());
		const monitor = AvailabilityMonitor.create({log, service: 'north' as ServiceName});
		const session: {name: string; record: WorkerRecord; unavailability: UnavailabilityReason | undefined} = {
			name: 'worker-1', record, unavailability: undefined,
		};
		for (const [second, reason] of reasons.entries()) {
			session.unavailability = reason;
			monitor.observe([session], second * 1000);
		}

		const [summary] = monitor.summaries;
		t.is(summary?.[0], expected.reason);
		t.is(summary?.[1].longestMs, expected.longestMs);
		t.is(monitor.unavailableCpu, expected.unavailableCpu);
		t.is(lines.length, expected.loggedLines);
	});
}
