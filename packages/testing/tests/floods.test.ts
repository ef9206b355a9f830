import {workClasses} from '@tamarackwind/settings';
import test from 'ava';
import {
	computeKept, runFlood, type FloodOptions, type FloodResult,
} from '../src/bench-flood.js';
import {FairWay} from '../src/fair-ways.js';
import {computeQuantile, listWaits} from '../src/slot-simulations.js';

const options: FloodOptions = {
	seed: 5, durationMs: 20_000, usualMs: 15_000, meanServiceMs: 200, startWithinMs: 10_000,
};

const cache: {usual?: Promise<FloodResult>} = {};

async function runUsual(): Promise<FloodResult> {
	cache.usual ??= runFlood(world => new FairWay(world, options), undefined, options);
	return cache.usual;
}

for (const callers of [1, 130]) {
	for (const workClass of workClasses) {
		test(`a flood of ${workClass} work from ${callers} callers leaves the others their goodput`, async t => {
			const usual = await runUsual();
			const flooded = await runFlood(world => new FairWay(world, options), {workClass, callers}, options);
			for (const readKey of [(request: {workClass: string}) => request.workClass, (request: {caller: string}) => request.caller]) {
				for (const [key, part] of computeKept(flooded.requests, usual.requests, options.startWithinMs, readKey)) {
					t.true(part >= 0.9, `${key} keeps ${part}`);
				}
			}

			const urgent = flooded.requests.filter(({group}) => group === 'urgent');
			t.true(computeQuantile(listWaits(urgent), 1) <= 4300);
			t.true(flooded.idlePart <= 0.05, 'the flood uses what is left');
			t.is(flooded.maxInFlight, 8);
			const codes = new Set(flooded.requests.map(({refusedAs}) => refusedAs));
			t.deepEqual([...codes].filter(code => code !== undefined && code !== 'start_deadline' && code !== 'queue_full'), []);
		});
	}
}

test('urgent work starts soon though batch work of 20 s each floods the pool', async t => {
	const flooded = await runFlood(world => new FairWay(world, options), {workClass: 'batch', callers: 1, meanServiceMs: 20_000}, options);
	const urgent = flooded.requests.filter(({group}) => group === 'urgent');
	t.true(computeQuantile(listWaits(urgent), 1) <= 4300);
	t.true(urgent.every(({finishedAt}) => finishedAt !== undefined));
});
