import {
	Log, ManualClock, VerdictError, type VmId,
} from '@tamarackwind/core';
import {MemoryTableService, type Check} from '@tamarackwind/clients';
import test from 'ava';
import {
	RateLimitedLog, FleetOrders, fleetOrdersKey, schedulerRole,
} from '../src/index.js';

const fleetLeaseMs = 3000;
const lease = {table: 'duties', partition: schedulerRole, key: schedulerRole};
const [first, second] = ['vm-1' as VmId, 'vm-2' as VmId] as const;

/** The scheduler lease, acquired by successive holders. */
class SchedulerLease {
	readonly clock = ManualClock.create();
	readonly tables = MemoryTableService.create(this.clock);

	/** Acquires the lease for a new holder; returns the order tracker of that holder. */
	async acquire(): Promise<FleetOrders> {
		const outcome = await this.tables.commit({checks: [], writes: [{...lease, value: {}}]});
		const check: Check = {...lease, version: outcome.status === 'committed' ? outcome.version : 0};
		const orders = FleetOrders.create({
			clock: this.clock, tables: this.tables, log: RateLimitedLog.create(Log.createSilent(), this.clock), row: fleetOrdersKey, getCheck: () => check, fleetLeaseMs, canOrder: () => true,
		});
		await orders.load();
		return orders;
	}
}

type Case = {
	readonly name: string;
	/** VMs for which the earlier holder sent orders. */
	readonly ordered: readonly VmId[];
	/** Time from those orders to the takeover, in milliseconds. */
	readonly takenAfterMs: number;
	/** Time from the takeover to the check, in milliseconds. */
	readonly atMs: number;
	readonly orderable: readonly VmId[];
};

const cases: readonly Case[] = [
	{
		name: 'the first holder may send orders for all VMs', ordered: [], takenAfterMs: 0, atMs: 0, orderable: [first, second],
	},
	{
		name: 'VMs with recent orders of an earlier holder have to wait', ordered: [first], takenAfterMs: 100, atMs: 0, orderable: [second],
	},
	{
		name: 'the wait starts at the takeover', ordered: [first], takenAfterMs: 2500, atMs: 2900, orderable: [second],
	},
	{
		name: 'after the wait orders may be sent for all VMs', ordered: [first], takenAfterMs: 100, atMs: 3001, orderable: [first, second],
	},
];

for (const {name, ordered, takenAfterMs, atMs, orderable} of cases) {
	test(`orders of VMs: ${name}`, async t => {
		const schedulerLease = new SchedulerLease();
		const earlier = await schedulerLease.acquire();
		t.true(await earlier.recordOrders(ordered));
		await schedulerLease.clock.advance(takenAfterMs);
		const orders = await schedulerLease.acquire();
		await schedulerLease.clock.advance(atMs);
		t.deepEqual([first, second].filter(vm => orders.isOrderable(vm)), orderable);
	});
}

test('recent orders of earlier holders are passed on to the next holder', async t => {
	const schedulerLease = new SchedulerLease();
	const earlier = await schedulerLease.acquire();
	await earlier.recordOrders([first]);
	const next = await schedulerLease.acquire();
	await schedulerLease.clock.advance(1000);
	t.true(await next.recordOrders([second]));
	const last = await schedulerLease.acquire();
	t.deepEqual([first, second].filter(vm => last.isOrderable(vm)), []);
});

test('a holder that has lost the scheduler lease may not send orders', async t => {
	const schedulerLease = new SchedulerLease();
	const earlier = await schedulerLease.acquire();
	const next = await schedulerLease.acquire();
	t.false(await earlier.recordOrders([first]));
	t.true(next.isOrderable(first));
});

test('an order may not be sent when the response to its recording is lost', async t => {
	const schedulerLease = new SchedulerLease();
	const orders = await schedulerLease.acquire();
	schedulerLease.tables.commit = async () => {
		throw new VerdictError('no answer', {verdict: 'may-have-run', code: 'platform_unavailable'});
	};

	t.false(await orders.recordOrders([first]));
});
