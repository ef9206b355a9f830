import {
	Log, ManualClock, VerdictError, type VmId,
} from '@tamarackwind/core';
import {MemoryTableService, type Check} from '@tamarackwind/clients';
import test from 'ava';
import {
	DecisionLog, FleetOrders, fleetOrdersKey, schedulerDuty,
} from '../src/index.js';

const fleetLeaseMs = 3000;
const lease = {table: 'duties', partition: schedulerDuty, key: schedulerDuty};
const [first, second] = ['vm-1' as VmId, 'vm-2' as VmId] as const;

/** The duty as successive holders take it. */
class Duty {
	readonly clock = ManualClock.create();
	readonly tables = MemoryTableService.create(this.clock);

	/** Takes the duty and gives the orders of its holder. */
	async take(): Promise<FleetOrders> {
		const outcome = await this.tables.commit({checks: [], writes: [{...lease, value: {}}]});
		const check: Check = {...lease, version: outcome.status === 'committed' ? outcome.version : 0};
		const orders = FleetOrders.create({
			clock: this.clock, tables: this.tables, log: DecisionLog.create(Log.createSilent(), this.clock), row: fleetOrdersKey, getCheck: () => check, fleetLeaseMs, canOrder: () => true,
		});
		await orders.load();
		return orders;
	}
}

type Case = {
	readonly name: string;
	/** VMs that the earlier holder ordered. */
	readonly ordered: readonly VmId[];
	/** Time between those orders and the takeover, and from there to the look, in milliseconds. */
	readonly takenAfterMs: number;
	readonly atMs: number;
	readonly orderable: readonly VmId[];
};

const cases: readonly Case[] = [
	{
		name: 'the first holder may order everything', ordered: [], takenAfterMs: 0, atMs: 0, orderable: [first, second],
	},
	{
		name: 'what was ordered lately has to wait', ordered: [first], takenAfterMs: 100, atMs: 0, orderable: [second],
	},
	{
		name: 'the wait counts from the takeover', ordered: [first], takenAfterMs: 2500, atMs: 2900, orderable: [second],
	},
	{
		name: 'after the wait everything may be ordered', ordered: [first], takenAfterMs: 100, atMs: 3001, orderable: [first, second],
	},
];

for (const {name, ordered, takenAfterMs, atMs, orderable} of cases) {
	test(`orders of VMs: ${name}`, async t => {
		const duty = new Duty();
		const earlier = await duty.take();
		t.true(await earlier.noteOrders(ordered));
		await duty.clock.advance(takenAfterMs);
		const orders = await duty.take();
		await duty.clock.advance(atMs);
		t.deepEqual([first, second].filter(vm => orders.isOrderable(vm)), orderable);
	});
}

test('what a holder inherited is handed on while it is recent', async t => {
	const duty = new Duty();
	const earlier = await duty.take();
	await earlier.noteOrders([first]);
	const next = await duty.take();
	await duty.clock.advance(1000);
	t.true(await next.noteOrders([second]));
	const last = await duty.take();
	t.deepEqual([first, second].filter(vm => last.isOrderable(vm)), []);
});

test('a holder that has lost the duty sends no order', async t => {
	const duty = new Duty();
	const earlier = await duty.take();
	const next = await duty.take();
	t.false(await earlier.noteOrders([first]));
	t.true(next.isOrderable(first));
});

test('an order whose writing ahead is not answered is not sent', async t => {
	const duty = new Duty();
	const orders = await duty.take();
	duty.tables.commit = async () => {
		throw new VerdictError('no answer', {verdict: 'may-have-run', code: 'platform_unavailable'});
	};

	t.false(await orders.noteOrders([first]));
});
