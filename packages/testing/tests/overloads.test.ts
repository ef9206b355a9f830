import {type AccountName, type JobId} from '@tamarackwind/core';
import {noResources, type StepSpec} from '@tamarackwind/scheduling';
import {type OverloadSettings} from '@tamarackwind/workflows';
import test from 'ava';
import {
	createStep, EmulatedSystem, playHistory, sparePool, type EmulatedSystemOptions,
} from '../src/index.js';

const active: Partial<OverloadSettings> = {order: 'least-cost', isRefusing: true};
const pools = [['north', 2], [sparePool, 0]] as const;
const warmUpMs = 4000;
/** Time that the jobs of a burst take to end, in milliseconds. */
const drainMs = 60_000;
const taskMs = 600;
/** A job whose 8 tasks take the two workers of the pool 0.3 s. */
const step = createStep({count: 8, resources: {cpu: 1000, memory: 10, gpu: 0}, estimatedMs: taskMs});

type Burst = {readonly ids: JobId[]; readonly done: Promise<unknown>};

/** Submits jobs evenly over a period. */
function submitBurst(system: EmulatedSystem, count: number, periodMs: number, {spec = step, account}: {readonly spec?: StepSpec; readonly account?: AccountName} = {}): Burst {
	const ids: JobId[] = [];
	const submissions = Array.from({length: count}, async (_, index) => {
		await system.clock.sleep((index * periodMs) / count);
		ids.push(await system.submit([spec], taskMs, {...(account === undefined ? {} : {account})}));
	});
	return {ids, done: Promise.all(submissions)};
}

async function createSystem(options: Partial<EmulatedSystemOptions> = {}): Promise<EmulatedSystem> {
	const system = await EmulatedSystem.create({
		seed: 3, entries: 4, pools, ...options,
	});
	await system.clock.run(warmUpMs);
	return system;
}

async function countUnfinished(system: EmulatedSystem): Promise<number> {
	let unfinished = 0;
	for (const id of system.accepted.keys()) {
		const state = system.getState(id);
		await system.clock.run(20);
		unfinished += await state === 'succeeded' ? 0 : 1;
	}

	return unfinished;
}

function sumRefusals(system: EmulatedSystem): number {
	return [...system.refusals.values()].reduce((sum, count) => sum + count, 0);
}

// Guards against a change of behaviour in deployments that ask for nothing.
test('a burst beyond the capacity: nothing is refused, deferred or published unless the settings ask for it', async t => {
	const lines: string[] = [];
	const system = await createSystem({
		write(line) {
			lines.push(line);
		},
	});
	const {ids} = submitBurst(system, 150, 5000);
	await system.clock.run(6000);
	t.deepEqual(system.entries.map(({scheduler}) => [scheduler.overload, scheduler.holderStatus?.status.overload]), system.entries.map(() => [undefined, undefined]));
	await system.clock.run(drainMs);
	t.is(ids.length, 150);
	t.is(system.accepted.size, 150);
	t.is(sumRefusals(system), 0);
	t.deepEqual(lines.filter(line => line.includes('deferred') || line.includes('overload') || line.includes('order of jobs')), []);
	t.deepEqual(system.fleet.violations, []);
});

// Guards against refused jobs that run, and against accepted ones that don't end.
test('a burst beyond the capacity: jobs that would end too late are refused and never run, and all others end', async t => {
	const system = await createSystem({overload: active});
	submitBurst(system, 300, 6000);
	// The accepted jobs are up to 75 s of work.
	await system.clock.run(6000 + drainMs + 30_000);
	t.true((system.refusals.get('capacity') ?? 0) > 20, `${sumRefusals(system)} refusals`);
	t.true(system.accepted.size > 40, `${system.accepted.size} accepted`);
	t.true(system.accepted.size < 300);
	t.deepEqual(system.fleet.violations, []);
	t.is(await countUnfinished(system), 0);
	t.true(system.estimateErrorsMs.length > 20);
});

test('demand within the capacity: nothing is refused or deferred', async t => {
	const lines: string[] = [];
	const system = await createSystem({
		overload: active, write(line) {
			lines.push(line);
		},
	});
	submitBurst(system, 12, 6000);
	await system.clock.run(6000 + 5000);
	t.is(sumRefusals(system), 0);
	t.is(system.accepted.size, 12);
	t.deepEqual(lines.filter(line => line.includes('"jobs deferred"')), []);
});

test('a burst beyond the capacity: jobs of large work are deferred, and small ones are in time', async t => {
	const countInTime = async (overload: Partial<OverloadSettings> | undefined): Promise<{readonly small: number; readonly deferred: number}> => {
		const lines: string[] = [];
		const system = await createSystem({
			...(overload === undefined ? {} : {overload}), write(line) {
				lines.push(line);
			},
		});
		const small = submitBurst(system, 60, 3000, {spec: {...step, count: 2}});
		submitBurst(system, 12, 3000, {spec: {...step, count: 16}});
		await system.clock.run(3000 + drainMs);
		const ends = lines.map(line => JSON.parse(line) as {message: string; job?: JobId; ageMs?: number}).filter(({message}) => message === 'job ended');
		const inTime = new Set(ends.filter(({ageMs}) => ageMs! <= (2 * taskMs) + 600).map(({job}) => job));
		t.deepEqual(system.fleet.violations, []);
		return {small: small.ids.filter(id => inTime.has(id)).length, deferred: lines.filter(line => line.includes('"jobs deferred"')).length};
	};

	const [today, leastCost] = [await countInTime(undefined), await countInTime({order: 'least-cost'})];
	t.is(today.deferred, 0);
	t.true(leastCost.deferred > 0);
	t.true(leastCost.small > today.small, `${leastCost.small} against ${today.small} small jobs in time`);
});

const takeovers: ReadonlyArray<[name: string, apply: (system: EmulatedSystem) => void]> = [
	['is killed', system => {
		system.killEntry(system.holder!);
	}],
	['releases the lease', system => {
		void system.holder!.scheduler.close();
	}],
	['loses the store', system => {
		system.holder!.tables.faults.isDown = true;
	}],
];

// Guards against refusals by the estimate of an earlier holder, whose row outlives it.
for (const [name, apply] of takeovers) {
	test(`no entry uses the estimate of a holder that ${name} for longer than 2 s, or after the takeover`, async t => {
		const system = await createSystem({overload: active});
		submitBurst(system, 200, 5000);
		await system.clock.run(3000);
		const {epoch} = system.holder!.scheduler.overload!.status;
		const others = system.entries.filter(entry => entry !== system.holder);
		t.true(others.every(({scheduler}) => scheduler.overload!.status.epoch === epoch));
		apply(system);
		let isTakenOver = false;
		for (let at = 0; at < 12_000; at += 50) {
			await system.clock.run(50);
			isTakenOver ||= system.holder !== undefined && others.includes(system.holder);
			for (const {scheduler} of others) {
				const known = scheduler.overload;
				t.true(known === undefined || known.status.epoch > epoch || known.ageMs < 2000 + 50 || !isTakenOver, `${at} ms: epoch ${known?.status.epoch}, ${known?.ageMs} ms`);
			}

			if (isTakenOver && at > 8000) {
				t.true(others.every(({scheduler}) => scheduler.overload === undefined || scheduler.overload.status.epoch > epoch), `${at} ms`);
			}
		}

		t.true(isTakenOver);
		t.true(others.some(({scheduler}) => scheduler.overload !== undefined), 'the new holder publishes estimates');
	});
}

test('an account above its rate is refused the rest while others wait, and the others are not', async t => {
	const [flood, calm] = ['flood' as AccountName, 'calm' as AccountName];
	const accounts = [flood, calm].map(name => ({
		name, weight: 1, cap: noResources, keyHashes: [],
	}));
	const system = await createSystem({configuration: {accounts}, overload: {order: 'deadline'}});
	const calmJobs = submitBurst(system, 40, 40_000, {account: calm});
	submitBurst(system, 1200, 40_000, {account: flood, spec: {...step, count: 3}});
	await system.clock.run(40_000 + 2000);
	t.true((system.refusals.get('rate') ?? 0) > 200, `${system.refusals.get('rate')} refusals`);
	t.true(calmJobs.ids.every(id => system.accepted.has(id)), 'all jobs of the calm account are accepted');
	t.deepEqual(system.fleet.violations, []);
});

// Guards against guarantees that hold only with today's order or without refusals.
for (const seed of [7, 105, 1001, 1004, 5001, 5005]) {
	test(`history ${seed} keeps the guarantees with the order of least cost and refusals`, async t => {
		const {violations, accepted} = await playHistory({seed, overload: active});
		t.deepEqual(violations, []);
		t.true(accepted > 0);
	});
}
