import {defaultBounds, computeTimings, type Bounds} from '@tamarackwind/workflows';
import test from 'ava';
import {createStep, EmulatedSystem, playHistory} from '../src/index.js';

const tightLease: Bounds = {...defaultBounds, maxWorkerLeaseMs: 6000};
const large: Bounds = {
	...tightLease, configurationMs: 4000, cancellationMs: 5000, gangStartMs: 5000, lossDetectionMs: 6500, workerDrainMs: 4000, contactMs: 5000,
};

const deployments: ReadonlyArray<[string, Bounds]> = [['small', defaultBounds], ['small with short worker leases', tightLease], ['large', large]];

const observationIntervalMs = 100;
const observationMs = 30_000;
/** Allowance for the last call before the cut, its timeout, the expiry of the lease, planning and the start itself, in milliseconds. */
const restartMarginMs = 2500;
const clockSlackFactor = 1.03;

for (const [name, bounds] of deployments) {
	test(`${name}: the tasks of a worker that is cut off for good start again once its lease has expired`, async t => {
		const system = await EmulatedSystem.create({seed: 21, bounds, pools: [['north', 3], ['spare', 1]]});
		await system.clock.run(3000);
		const submitted = system.submit([createStep({count: 3, isLongRunning: true, antiAffinity: 2})], 1000);
		await system.clock.run(2000);
		const id = await submitted;
		t.is(system.fleet.countRunning(id), 3);
		const vm = system.fleet.vms.find(({id: vmId}) => system.fleet.countRunsOn(vmId) > 0);
		system.fleet.setUnreachable(vm!.id, 60_000);
		const startedAt = system.clock.readMonotonic();
		do {
			await system.clock.run(observationIntervalMs);
		} while ((system.fleet.countRunsOn(vm!.id) > 0 || system.fleet.countRunning(id) < 3) && system.clock.readMonotonic() - startedAt < observationMs);

		const elapsedMs = system.clock.readMonotonic() - startedAt;
		const {maxWorkerSilenceMs, workerLeaseMs} = computeTimings(bounds);
		t.true(elapsedMs <= maxWorkerSilenceMs + (workerLeaseMs * clockSlackFactor) + restartMarginMs, `started again after ${elapsedMs} ms`);
		t.deepEqual(system.fleet.violations, []);
	});

	for (const seed of [7, 72, 1001, 1003]) {
		test(`${name}: history ${seed} keeps the guarantees`, async t => {
			const {violations} = await playHistory({seed, bounds});
			t.deepEqual(violations, []);
		});
	}
}
