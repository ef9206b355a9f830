import test from 'ava';
import {
	chooseSpeed, compareRanks, rankJob, type RankedJob,
} from '../src/index.js';

const policy = {
	priority: 0, maxAttempts: 3, slackFactor: 1.6, targetLatencyMs: 600,
};

function createJob(fields: Partial<RankedJob>): RankedJob {
	return {
		policy, isLongRunning: false, submittedAt: 0, criticalPathMs: 1000, remainingMs: 1000, ...fields,
	};
}

const cases: ReadonlyArray<[string, number, RankedJob, RankedJob]> = [
	['long-running jobs come first', 5000, createJob({isLongRunning: true, submittedAt: 4900}), createJob({submittedAt: 4800})],
	['the earlier deadline comes first', 1000, createJob({submittedAt: 500}), createJob({submittedAt: 600})],
	['a job that can still be in time comes before a late one', 5000, createJob({submittedAt: 4500}), createJob({submittedAt: 1000})],
	['a late job comes before one whose result has no value any more', 9000, createJob({submittedAt: 5000}), createJob({submittedAt: 0})],
	['the higher priority comes first', 1000, createJob({submittedAt: 900}), createJob({submittedAt: 500, policy: {...policy, priority: 1}})],
	['a job in time comes before a late one of higher priority', 5000, createJob({submittedAt: 4500, policy: {...policy, priority: 1}}), createJob({submittedAt: 1000})],
];

for (const [name, now, first, second] of cases) {
	test(`ranking: ${name}`, t => {
		t.true(compareRanks(rankJob(first, now), rankJob(second, now)) < 0);
	});
}

const speeds: ReadonlyArray<[string, number, number, number]> = [
	['stops when a serving task misses its target', 100, 1.2, 0],
	['keeps its speed while a serving task is close to its target', 50, 0.8, 50],
	['speeds up step by step while latency is well below the target', 50, 0.3, 75],
	['speeds up to at most full speed', 90, 0, 100],
];

for (const [name, speedPercent, latencyRatio, expected] of speeds) {
	test(`a filler ${name}`, t => {
		t.is(chooseSpeed(speedPercent, latencyRatio), expected);
	});
}
