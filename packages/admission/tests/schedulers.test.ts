import {
	Log, ManualClock, SeededRandom, type CallerId, type EntryId, type PoolName, type ServiceName, type VmId,
} from '@tamarackwind/core';
import {MemoryPeerHub} from '@tamarackwind/peer';
import {type VmRecord} from '@tamarackwind/clients';
import {defaultPoolValues, defaultServiceValues, type ResolvedPool} from '@tamarackwind/settings';
import test, {type ExecutionContext} from 'ava';
import {Registry} from 'prom-client';
import {FairScheduler, type SlotGrant, type SlotRequest} from '../src/index.js';

const pool: ResolvedPool = {
	...defaultPoolValues, slotsPerVm: 1, name: 'north' as PoolName, services: ['redraw' as ServiceName],
};

function createVm(name: string): VmRecord {
	return {
		vmId: name, kind: 'worker', incarnation: '1', address: '127.0.0.1', port: 1, region: 'r', zone: 'z', rack: 'k', state: 'live', pool: pool.name, cores: 1, memoryMb: 1, accelerators: 0,
	};
}

type Fixture = {readonly clock: ManualClock; readonly scheduler: FairScheduler; readonly registry: Registry; workers: VmRecord[]};

function createFixture(t: ExecutionContext, names: readonly string[] = ['vm-1', 'vm-2']): Fixture {
	const clock = ManualClock.create();
	const registry = new Registry();
	const fixture: {workers: VmRecord[]} = {workers: names.map(name => createVm(name))};
	const scheduler = FairScheduler.create({
		clock,
		random: SeededRandom.create(1),
		bus: MemoryPeerHub.create(clock).createBus('entry-1' as EntryId),
		log: Log.createSilent(),
		registry,
		listWorkers: () => fixture.workers,
		listPools: () => [pool],
		countEntries: () => 1,
	});
	t.teardown(async () => {
		const closed = scheduler.close();
		await clock.advance(1000);
		await closed;
	});
	return Object.assign(fixture, {clock, scheduler, registry});
}

function createRequest(values: Partial<SlotRequest> = {}): SlotRequest {
	return {
		pool,
		service: {...defaultServiceValues, name: 'redraw' as ServiceName, pool: pool.name},
		caller: {id: 'a' as CallerId, tokenHashes: [], weight: 1},
		workClass: 'interactive',
		startBy: 10_000,
		attempts: 0,
		triedVms: new Set(),
		signal: new AbortController().signal,
		...values,
	};
}

async function acquire({clock, scheduler}: Fixture, values?: Partial<SlotRequest>): Promise<SlotGrant> {
	const grant = scheduler.acquireSlot(createRequest(values));
	await clock.advance(100);
	return grant;
}

const refusals: Array<{readonly name: string; readonly workers?: string[]; readonly values: () => Partial<SlotRequest>; readonly code: string}> = [
	{name: 'whose latest start time has passed', values: () => ({startBy: 0}), code: 'start_deadline'},
	{name: 'whose caller disconnected', values: () => ({signal: AbortSignal.abort()}), code: 'caller_gone'},
	{
		name: 'to a pool without workers', workers: [], values: () => ({}), code: 'no_worker',
	},
];

for (const {name, workers, values, code} of refusals) {
	test(`a request ${name} is refused as ${code} and is not run`, async t => {
		const fixture = createFixture(t, workers);
		const error = await t.throwsAsync(acquire(fixture, values()));
		t.like(error, {code, verdict: 'not-run'});
		t.true((await fixture.registry.metrics()).includes(`code="${code}"`));
	});
}

test('a request that can\'t start in time is refused, and one whose caller disconnects leaves the queue', async t => {
	const fixture = createFixture(t, ['vm-1']);
	const grant = await acquire(fixture);
	const waiting = t.throwsAsync(fixture.scheduler.acquireSlot(createRequest({startBy: 2000})), {message: /deadline/v});
	const caller = new AbortController();
	const cancelled = t.throwsAsync(fixture.scheduler.acquireSlot(createRequest({signal: caller.signal})), {message: /caller/v});
	caller.abort();
	await cancelled;
	await fixture.clock.advance(2100);
	await waiting;
	grant.release('answered');
	grant.release('answered');
	t.is((await acquire(fixture)).vm.vmId, 'vm-1');
});

test('a request that can\'t start before its deadline is refused on arrival with a Retry-After delay', async t => {
	const fixture = createFixture(t, ['vm-1']);
	const {clock, scheduler} = fixture;
	const running: SlotGrant[] = [];
	let refused = 0;
	const submit = async (): Promise<void> => {
		try {
			running.push(await scheduler.acquireSlot(createRequest({startBy: clock.readMonotonic() + 3000})));
		} catch {
			refused++;
		}
	};

	for (let index = 0; index < 40; index++) {
		void submit();
		await clock.advance(250);
		if (index % 4 === 3) {
			running.shift()?.release('answered');
		}
	}

	await t.throwsAsync(scheduler.acquireSlot(createRequest({startBy: clock.readMonotonic() + 3000})), {message: /deadline/v});
	t.true(refused > 0);
	t.true(scheduler.suggestRetryAfter(pool, 'a' as CallerId) >= 3);
	t.true(scheduler.suggestRetryAfter(pool, 'other' as CallerId) <= 2);
});

test('a retry goes to a worker that the request has not tried', async t => {
	const fixture = createFixture(t);
	for (const [tried, expected] of [['vm-1', 'vm-2'], ['vm-2', 'vm-1']] as const) {
		const grant = await acquire(fixture, {attempts: 1, triedVms: new Set([tried as VmId])});
		t.is(grant.vm.vmId, expected);
		grant.release('answered');
		await fixture.clock.advance(100);
	}
});

test('retries are refused when the budget is spent, and first attempts refill it', async t => {
	const fixture = createFixture(t);
	const retry = async (): Promise<void> => {
		(await acquire(fixture, {attempts: 1})).release('answered');
	};

	for (let index = 0; index < 4; index++) {
		await retry();
	}

	await t.throwsAsync(retry(), {message: /retry budget/v});
	for (let index = 0; index < 10; index++) {
		(await acquire(fixture)).release('answered');
	}

	await t.notThrowsAsync(retry());
	await t.throwsAsync(retry(), {message: /retry budget/v});
});

test('a VM that is leaving gets no new work', async t => {
	const fixture = createFixture(t);
	await fixture.clock.advance(100);
	fixture.scheduler.markLeaving('vm-1' as VmId);
	for (let index = 0; index < 5; index++) {
		const grant = await acquire(fixture);
		t.is(grant.vm.vmId, 'vm-2');
		grant.release('answered');
	}

	fixture.workers = [createVm('vm-3')];
	t.is((await acquire(fixture)).vm.vmId, 'vm-3');
});

test('closing the scheduler refuses waiting requests', async t => {
	const fixture = createFixture(t, ['vm-1']);
	await acquire(fixture);
	const waiting = t.throwsAsync(fixture.scheduler.acquireSlot(createRequest()), {message: /stops/v});
	const closed = fixture.scheduler.close();
	await fixture.clock.advance(1000);
	await closed;
	await waiting;
});
