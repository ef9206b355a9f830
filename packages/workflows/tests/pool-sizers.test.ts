import {
	Log, ManualClock, type PoolName, type ServiceName, type VmId, type ZoneName,
} from '@tamarackwind/core';
import {noResources} from '@tamarackwind/scheduling';
import test from 'ava';
import {
	computeTimings, defaultBounds, LoadMeter, PoolSizer, RateLimitedLog, VmOccupancies, type DeclarationWatcher, type FleetControl, type FleetOrders, type FleetVm, type PoolScheduler, type WorkerSession,
} from '../src/index.js';

/** A pool that counts how many sessions its callers visit. */
class CountingPool {
	visits = 0;
	readonly waits = {longestRoomWaitMs: 0};
	readonly #sessions: ReadonlyMap<VmId, WorkerSession>;

	constructor(readonly service: ServiceName, workers: readonly VmId[]) {
		this.#sessions = new Map(workers.map(id => [id, {record: {id, labels: [], capacity: noResources}, isSchedulable: true, idleSince: undefined} as unknown as WorkerSession]));
	}

	get sessions(): Iterable<WorkerSession> {
		return this.#iterate();
	}

	findWorkerSession(id: VmId): WorkerSession | undefined {
		this.visits++;
		return this.#sessions.get(id);
	}

	computeLoad(): ReturnType<PoolScheduler['computeLoad']> {
		return {
			work: 0, usedCpu: 1, waitingCpu: 0, antiAffinityVms: 0, cpu: 1,
		};
	}

	* #iterate(): Generator<WorkerSession> {
		for (const session of this.#sessions.values()) {
			this.visits++;
			yield session;
		}
	}
}

function createOccupancies(clock: ManualClock, pools: readonly PoolScheduler[]): VmOccupancies {
	return VmOccupancies.create({
		clock, entryReturnMs: 2500, getRegistryReadAt: () => clock.readMonotonic(), listPools: () => pools, findPool: name => pools.find(({service}) => service as string === name as string),
	});
}

for (const vmsPerPool of [10, 80]) {
	test(`sizing 5 pools of ${vmsPerPool} VMs visits a number of sessions proportional to the VMs`, async t => {
		const clock = ManualClock.create();
		const names = ['a', 'b', 'c', 'd', 'e'];
		const vms = names.flatMap(name => Array.from({length: vmsPerPool}, (_, index): FleetVm => ({
			id: `vm-${name}-${index}` as VmId, pool: name as PoolName, state: 'up', zone: 'z' as ZoneName, labels: [], capacity: {...noResources, cpu: 1000}, worker: `worker-${name}-${index}` as VmId,
		})));
		const pools = names.map(name => new CountingPool(name as ServiceName, vms.filter(vm => vm.pool as string === name).map(vm => vm.worker!)));
		const sizer = PoolSizer.create({
			clock,
			declarations: {configuration: {pools: names.map(name => ({name, isSpare: name === 'e'}))}} as unknown as DeclarationWatcher,
			fleet: {} as unknown as FleetControl,
			log: RateLimitedLog.create(Log.createSilent(), clock),
			meter: LoadMeter.create(clock),
			fence: {holder: 'entry-1', fencingToken: 1},
			orders: {isOrderable: () => true} as unknown as FleetOrders,
			fleetOrdersPerS: 32,
			timings: computeTimings(defaultBounds),
			listPools: () => pools as unknown as PoolScheduler[],
			occupancies: createOccupancies(clock, pools as unknown as PoolScheduler[]),
			isPoolKnown: () => true,
		});
		await sizer.update(vms, () => false);
		const visits = pools.reduce((sum, pool) => sum + pool.visits, 0);
		t.true(visits <= vms.length * names.length, `${visits} visits for ${vms.length} VMs`);
	});
}

// Guards against estimates that leave out the VMs which are about to arrive, and so refuse jobs that they could run.
test('the CPU of VMs counts as on its way to a pool from the order until they have arrived', async t => {
	const clock = ManualClock.create();
	const createVm = (index: number, pool: string): FleetVm => ({
		id: `vm-${index}` as VmId, pool: pool as PoolName, state: 'up', zone: 'z' as ZoneName, labels: [], capacity: {...noResources, cpu: 1000}, worker: undefined,
	});
	const spare = [createVm(0, 'spare'), createVm(1, 'spare')];
	const north = {
		service: 'north' as ServiceName, waits: {longestRoomWaitMs: 0}, findWorkerSession: () => undefined, listDoubtfulTasks: () => [], computeLoad: () => ({
			work: 0, usedCpu: 0, waitingCpu: 50_000, antiAffinityVms: 0, cpu: 0,
		}),
	} as unknown as PoolScheduler;
	const sizer = PoolSizer.create({
		clock,
		declarations: {configuration: {pools: [{name: 'north', isSpare: false}, {name: 'spare', isSpare: true}]}} as unknown as DeclarationWatcher,
		fleet: {moveVm: async () => 'accepted'} as unknown as FleetControl,
		log: RateLimitedLog.create(Log.createSilent(), clock),
		meter: LoadMeter.create(clock),
		fence: {holder: 'entry-1', fencingToken: 1},
		orders: {isOrderable: () => true, recordOrders: async () => true} as unknown as FleetOrders,
		fleetOrdersPerS: 32,
		timings: computeTimings(defaultBounds),
		listPools: () => [north],
		occupancies: createOccupancies(clock, [north]),
		isPoolKnown: () => true,
	});
	const incoming: number[] = [];
	for (const vms of [spare, spare, [createVm(0, 'north'), spare[1]!], [createVm(0, 'north'), createVm(1, 'north')]]) {
		await sizer.update(vms, () => false);
		incoming.push(sizer.getIncomingCpu('north' as PoolName));
		await clock.advance(200);
	}

	t.deepEqual(incoming, [0, 1000, 1000, 0]);
});
