import {ManualClock, type VmId} from '@tamarackwind/core';
import test from 'ava';
import {FleetOrders, type FleetHandover} from '../src/index.js';

const fleetLeaseMs = 3000;
const [first, second] = ['vm-1' as VmId, 'vm-2' as VmId] as const;

type Case = {
	readonly name: string;
	readonly handover: FleetHandover | undefined;
	/** Time since the duty was taken, in milliseconds. */
	readonly atMs: number;
	readonly isOpen: boolean;
	readonly orderable: readonly VmId[];
};

const cases: readonly Case[] = [
	{
		name: 'after a crash, nothing at first', handover: undefined, atMs: 0, isOpen: false, orderable: [],
	},
	{
		name: 'after a crash, nothing within the lease', handover: undefined, atMs: 3000, isOpen: false, orderable: [],
	},
	{
		name: 'after a crash and the lease, everything', handover: undefined, atMs: 3001, isOpen: true, orderable: [first, second],
	},
	{
		name: 'after a handover, what was not ordered lately', handover: {recentVms: [first]}, atMs: 0, isOpen: true, orderable: [second],
	},
	{
		name: 'after a handover and the lease, everything', handover: {recentVms: [first]}, atMs: 3001, isOpen: true, orderable: [first, second],
	},
];

for (const {name, handover, atMs, isOpen, orderable} of cases) {
	test(`orders of VMs: ${name}`, async t => {
		const clock = ManualClock.create();
		const orders = FleetOrders.create({
			clock, fleetLeaseMs, handover, canOrder: () => true,
		});
		await clock.advance(atMs);
		t.is(orders.isOpen, isOpen);
		t.deepEqual([first, second].filter(vm => orders.isOrderable(vm)), orderable);
	});
}

test('what is handed over: recent orders, those of an earlier holder too, and nothing that is not known', async t => {
	const clock = ManualClock.create();
	const create = (handover: FleetHandover | undefined): FleetOrders => FleetOrders.create({
		clock, fleetLeaseMs, handover, canOrder: () => true,
	});
	const heir = create({recentVms: [first]});
	const successor = create(undefined);
	await clock.advance(1000);
	heir.noteOrder(second);
	t.deepEqual(heir.describeHandover(), {recentVms: [first, second]});
	t.is(successor.describeHandover(), undefined);
	await clock.advance(2500);
	t.deepEqual(heir.describeHandover(), {recentVms: [second]});
	t.deepEqual(successor.describeHandover(), {recentVms: []});
});

test('nothing is ordered without the duty', t => {
	const orders = FleetOrders.create({
		clock: ManualClock.create(), fleetLeaseMs, handover: {recentVms: []}, canOrder: () => false,
	});
	t.false(orders.isOpen);
	t.false(orders.isOrderable(first));
});
