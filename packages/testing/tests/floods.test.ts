import {workClasses} from '@tamarackwind/settings';
import test from 'ava';
import {
	computeRetainedGoodput, runBursts, runFlood, type FloodOptions, type FloodResult,
} from '../src/bench-flood.js';
import {FairStrategy} from '../src/scheduler-strategies.js';
import {computeQuantile, listWaitTimes} from '../src/slot-simulations.js';

const options: FloodOptions = {
	seed: 5, durationMs: 20_000, baselineMs: 15_000, meanServiceMs: 200, startWithinMs: 10_000,
};

const cache: {baseline?: Promise<FloodResult>} = {};

async function runBaseline(): Promise<FloodResult> {
	cache.baseline ??= runFlood(simulation => new FairStrategy(simulation, options), undefined, options);
	return cache.baseline;
}

for (const callers of [1, 130]) {
	for (const workClass of workClasses) {
		test(`a flood of ${workClass} requests from ${callers} callers leaves the other classes and callers their goodput`, async t => {
			const baseline = await runBaseline();
			const flooded = await runFlood(simulation => new FairStrategy(simulation, options), {workClass, callers}, options);
			for (const readKey of [(request: {workClass: string}) => request.workClass, (request: {caller: string}) => request.caller]) {
				for (const [key, fraction] of computeRetainedGoodput(flooded.requests, baseline.requests, options.startWithinMs, readKey)) {
					t.true(fraction >= 0.9, `${key} keeps ${fraction} of its goodput`);
				}
			}

			const urgent = flooded.requests.filter(({group}) => group === 'urgent');
			t.true(computeQuantile(listWaitTimes(urgent), 1) <= 4300);
			t.true(flooded.idleFraction <= 0.05, 'the flood uses the remaining slots');
			t.is(flooded.maxInFlight, 8);
			const codes = new Set(flooded.requests.map(({refusalCode}) => refusalCode));
			t.deepEqual([...codes].filter(code => code !== undefined && code !== 'start_deadline' && code !== 'queue_full'), []);
		});
	}
}

test('a burst of urgent requests starts in time during a flood of batch requests of 20 s each', async t => {
	const result = await runBursts(simulation => new FairStrategy(simulation, options), options);
	const urgent = result.requests.filter(({group}) => group === 'urgent');
	t.is(listWaitTimes(urgent).length, 16);
	t.true(computeQuantile(listWaitTimes(urgent), 1) <= 4300);
});

test('urgent requests start in time while batch requests of 20 s each flood the pool', async t => {
	const flooded = await runFlood(simulation => new FairStrategy(simulation, options), {workClass: 'batch', callers: 1, meanServiceMs: 20_000}, options);
	const urgent = flooded.requests.filter(({group}) => group === 'urgent');
	t.true(computeQuantile(listWaitTimes(urgent), 1) <= 4300);
	t.true(urgent.every(({finishedAt}) => finishedAt !== undefined));
});
