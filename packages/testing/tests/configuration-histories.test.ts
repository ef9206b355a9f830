import {computeTimings, defaultBounds, type Bounds} from '@tamarackwind/workflows';
import test from 'ava';
import {playConfigurationHistory, type ConfigurationHistoryOptions} from '../src/index.js';

const bounds: Bounds = {...defaultBounds, configurationMs: 3000};
/** Rates of links of 7, 14 and 140 Mbit/s, in bytes per second. */
const narrow = 820_000;
const middle = 1_750_000;
const wide = 17_500_000;
const seeds = Array.from({length: 12}, (_, index) => index + 1);

type Case = {readonly name: string; readonly options: Omit<ConfigurationHistoryOptions, 'seed' | 'bounds'>; /** Whether every version must come into force in time. */ readonly isCalm?: boolean; /** Maximum of the bytes of responses, as a multiple of one transfer of each version to each entry. */ readonly maxTransferRatio?: number};

const cases: readonly Case[] = [
	{
		name: 'grows to 10,000 queues without faults', isCalm: true, maxTransferRatio: 1, options: {
			seconds: 40, linkBytesPerS: [wide, wide, narrow, narrow, middle], maxQueues: 10_000, versionGapMs: 2500,
		},
	},
	{
		name: 'grows to 10,000 queues beside faults', options: {
			seconds: 40, linkBytesPerS: [wide, wide, narrow, narrow, middle], maxQueues: 10_000, versionGapMs: 1500, faultGapMs: 1200,
		},
	},
	{
		name: 'changes faster than a link carries it', options: {
			seconds: 30, linkBytesPerS: [wide, narrow], maxQueues: 20_000, versionGapMs: 300, faultGapMs: 3000,
		},
	},
	{
		name: 'grows without faults where all links are narrow', maxTransferRatio: 1.1, options: {
			seconds: 40, linkBytesPerS: [narrow, narrow, narrow], maxQueues: 10_000, versionGapMs: 2500,
		},
	},
	{
		name: 'grows where all links are narrow', options: {
			seconds: 30, linkBytesPerS: [narrow, narrow, narrow], maxQueues: 10_000, versionGapMs: 4000, faultGapMs: 4000,
		},
	},
];

for (const {name, options, isCalm = false, maxTransferRatio} of cases) {
	// Guards against answers by an older configuration, entries that never get a large one, and transfers that are repeated beside one another.
	test(`a configuration that ${name}: no entry takes an older version for current, and all have the newest at the end`, async t => {
		for (const seed of seeds) {
			const {violations, longestApplyMs, transferRatio} = await playConfigurationHistory({...options, seed, bounds});
			t.deepEqual(violations, [], `seed ${seed}`);
			t.true(!isCalm || longestApplyMs < bounds.configurationMs, `seed ${seed}: a version is not in force after ${longestApplyMs} ms`);
			t.true(maxTransferRatio === undefined || transferRatio <= maxTransferRatio, `seed ${seed}: ${transferRatio} transfers of each version to each entry`);
		}
	});
}

test('the bounds of the histories fit the timings', t => {
	t.true(computeTimings(bounds).staleConfigurationMs < bounds.configurationMs);
});
