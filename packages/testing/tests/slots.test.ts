import {type EntryId} from '@tamarackwind/core';
import {chooseHomeEntry} from '@tamarackwind/routing';
import test from 'ava';
import {runSlots} from '../src/bench-slots.js';
import {FairWay} from '../src/fair-ways.js';
import {
	SlotWorld, computeQuantile, drawRequests, listWaits, runSimulation, type SimRequest,
} from '../src/slot-simulations.js';
import {IdealQueue} from '../src/slot-ways.js';

const slotsPerVm = 8;
const seeds = [1, 2];

for (const seed of seeds) {
	test(`nine entries wait little longer than one ideal queue on swings, seed ${seed}`, async t => {
		const options = {seed, meanServiceMs: 200, durationMs: 20_000};
		const ideal = listWaits((await runSlots(world => new IdealQueue(world), options)).requests);
		const fair = await runSlots(world => new FairWay(world, {seed}), options);
		const waits = listWaits(fair.requests);
		t.is(waits.length, fair.requests.length, 'every request starts');
		t.true(computeQuantile(waits, 0.5) <= 1.25 * computeQuantile(ideal, 0.5));
		t.true(computeQuantile(waits, 0.99) <= 1.5 * computeQuantile(ideal, 0.99));
		t.true(fair.idlePart <= 0.05);
		t.is(fair.maxInFlight, slotsPerVm);
	});
}

test('quiet pools cost entries less than 3 KB a second', async t => {
	const world = new SlotWorld({seed: 1});
	const rate = 20;
	const requests = drawRequests(world, world.pools.map(pool => ({
		group: pool.name, pool: pool.name, workClass: 'interactive' as const, callers: ['a'], readRate: () => rate, maxRate: rate, meanServiceMs: 200,
	})), 10_000);
	const result = await runSimulation(world, new FairWay(world, {seed: 1}), requests, {durationMs: 10_000, drainMs: 5000});
	t.true(result.bytesPerEntrySecond < 3000);
});

type Loss = {
	readonly name: string;
	readonly cut: (way: FairWay, lost: number) => void;
	/** Requests in flight on a worker at any time after the loss. */
	readonly maxInFlight: number;
	/** Whether requests of the entry itself are lost with it. */
	readonly isDead: boolean;
};

const losses: Loss[] = [
	{
		name: 'stops without a word', maxInFlight: slotsPerVm, isDead: true, cut(way, lost) {
			way.hub.removeBus(`entry-${lost + 1}` as EntryId);
		},
	},
	{
		// It lends itself a ninth of the pool, one slot a worker.
		name: 'is cut off from the others', maxInFlight: slotsPerVm + 2, isDead: false, cut(way, lost) {
			for (let other = 0; other < 9; other++) {
				if (other !== lost) {
					way.hub.setLinkCut(`entry-${lost + 1}` as EntryId, `entry-${other + 1}` as EntryId, true);
				}
			}
		},
	},
];

function drawSteady(world: SlotWorld, load: number, durationMs: number): SimRequest[] {
	const {name} = world.pools[0]!;
	const rate = load * 64 * 1000 / 200;
	return drawRequests(world, [{
		group: 'all', pool: name, workClass: 'interactive', callers: ['a', 'b'], readRate: () => rate, maxRate: rate, meanServiceMs: 200,
	}], durationMs);
}

for (const {name, cut, maxInFlight, isDead} of losses) {
	for (let lost = 0; lost < 9; lost += 4) {
		test(`work goes on and workers are not overloaded when entry ${lost + 1} ${name}`, async t => {
			const world = new SlotWorld({seed: 3, pools: 1});
			const way = new FairWay(world, {seed: 3});
			const cutAt = 5000;
			const durationMs = 15_000;
			const requests = drawSteady(world, 0.7, durationMs).filter(({entry, arrivedAt}) => !isDead || entry !== lost || arrivedAt < cutAt);
			world.clock.schedule(cutAt + 1000, () => {
				cut(way, lost);
			});
			const result = await runSimulation(world, way, requests, {durationMs, drainMs: 40_000});
			const others = result.requests.filter(({entry}) => !isDead || entry !== lost);
			t.is(others.filter(({finishedAt}) => finishedAt === undefined).length, 0, 'every request of a live entry is served');
			t.true(computeQuantile(listWaits(others), 1) <= 4300, 'none waits longer than the term of loans allows');
			t.true(result.maxInFlight <= maxInFlight);
		});
	}
}

test('two halves that can\'t hear each other overload workers by no more than the part of the smaller one', async t => {
	const world = new SlotWorld({seed: 7, pools: 1});
	const way = new FairWay(world, {seed: 7});
	world.clock.schedule(4000, () => {
		for (let one = 0; one < 4; one++) {
			for (let other = 4; other < 9; other++) {
				way.hub.setLinkCut(`entry-${one + 1}` as EntryId, `entry-${other + 1}` as EntryId, true);
			}
		}
	});
	const result = await runSimulation(world, way, drawSteady(world, 1.5, 10_000), {durationMs: 10_000, drainMs: 40_000});
	t.true(result.maxInFlight <= slotsPerVm + Math.ceil(slotsPerVm * 4 / 9));
	t.true(result.requests.every(({finishedAt}) => finishedAt !== undefined));
});

test('work goes on while the home entry of a pool is frozen and nobody has noticed', async t => {
	const world = new SlotWorld({seed: 8, pools: 1});
	const way = new FairWay(world, {seed: 8});
	const entries = Array.from({length: 9}, (_, index) => `entry-${index + 1}` as EntryId);
	const home = chooseHomeEntry(world.pools[0]!.name, entries)!;
	world.clock.schedule(4000, () => {
		way.hub.setUnresponsive(home, true);
	});
	world.clock.schedule(12_000, () => {
		way.hub.setUnresponsive(home, false);
	});
	const requests = drawSteady(world, 0.7, 15_000).filter(({entry}) => entries[entry] !== home);
	const result = await runSimulation(world, way, requests, {durationMs: 15_000, drainMs: 40_000});
	t.true(result.requests.every(({finishedAt}) => finishedAt !== undefined));
	t.true(computeQuantile(listWaits(result.requests), 1) <= 4300);
	t.true(result.maxInFlight <= 2 * slotsPerVm);
});

test('slots of an entry that is gone are lent again once the term is over', async t => {
	const world = new SlotWorld({seed: 4, pools: 1, entries: 2});
	const way = new FairWay(world, {seed: 4});
	const [pool] = world.pools;
	const createLong = (entry: number, arrivedAt: number): SimRequest => ({
		arrivedAt, entry, pool: pool!.name, serviceMs: 60_000, workClass: 'interactive', caller: 'a' as SimRequest['caller'], group: 'long', attempts: 0,
	});
	// The first entry takes every slot that it may and is gone; the second then wants them.
	const requests = [
		...Array.from({length: 64}, () => createLong(0, 100)),
		...Array.from({length: 64}, () => createLong(1, 3000)),
	];
	world.clock.schedule(3000, () => {
		way.hub.removeBus('entry-1' as EntryId);
	});
	const result = await runSimulation(world, way, requests, {durationMs: 12_000, drainMs: 0});
	const late = result.requests.filter(({entry}) => entry === 1);
	t.is(late.filter(({attempts}) => attempts > 0).length, 64);
});
