import test from 'ava';
import {
	choosePace, compareRanks, rankJob, type RankedJob,
} from '../src/index.js';

const policy = {
	priority: 0, maxAttempts: 3, slackFactor: 1.6, targetLatencyMs: 600,
};

function createJob(fields: Partial<RankedJob>): RankedJob {
	return {
		policy, isLongRunning: false, submittedAt: 0, chainMs: 1000, remainingMs: 1000, ...fields,
	};
}

const cases: ReadonlyArray<[string, number, RankedJob, RankedJob]> = [
	['tasks that last come first', 5000, createJob({isLongRunning: true, submittedAt: 4900}), createJob({submittedAt: 4800})],
	['the earlier deadline comes first', 1000, createJob({submittedAt: 500}), createJob({submittedAt: 600})],
	['what can still be in time comes before what is late', 5000, createJob({submittedAt: 4500}), createJob({submittedAt: 1000})],
	['what is late comes before what is worth nothing any more', 9000, createJob({submittedAt: 5000}), createJob({submittedAt: 0})],
	['the higher priority comes first', 1000, createJob({submittedAt: 900}), createJob({submittedAt: 500, policy: {...policy, priority: 1}})],
	['a lower priority in time comes before a higher one that is late', 5000, createJob({submittedAt: 4500, policy: {...policy, priority: 1}}), createJob({submittedAt: 1000})],
];

for (const [name, now, first, second] of cases) {
	test(`order: ${name}`, t => {
		t.true(compareRanks(rankJob(first, now), rankJob(second, now)) < 0);
	});
}

const paces: ReadonlyArray<[string, number, number, number]> = [
	['stops beside a strained task', 100, 1.2, 0],
	['holds while a target is near', 50, 0.8, 50],
	['rises step by step once it is far', 50, 0.3, 75],
	['rises to full speed at most', 90, 0, 100],
];

for (const [name, pace, strain, expected] of paces) {
	test(`a filler ${name}`, t => {
		t.is(choosePace(pace, strain), expected);
	});
}
