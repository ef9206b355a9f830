import {
	Log, ManualClock, VerdictError, type VmId,
} from '@tamarackwind/core';
import test from 'ava';
import {
	computeTimings, defaultBounds, RateLimitedLog, WorkerSession, type SessionOwner, type WorkerControl, type WorkerRecord,
} from '../src/index.js';

/** Number of orders to one worker that are open at a time, as over HTTP. */
const maxOpen = 2;
const calmMs = 60_000;

type Case = {
	readonly name: string;
	/** Orders that the worker leaves unanswered until they time out. */
	readonly orders: number;
};

const cases: readonly Case[] = [{name: 'few', orders: 4}, {name: 'many', orders: 40}];

// Guards against a worker that gets no start because its earlier orders timed out, although only answers to orders shorten the measured response time.
for (const {name, orders} of cases) {
	test(`a worker without tasks that lists its runs again gets starts after ${name} orders without an answer`, async t => {
		const clock = ManualClock.create(1_000_000);
		const timings = computeTimings(defaultBounds);
		const session = WorkerSession.create({
			clock,
			timings,
			control: {
				getOrderLimit: () => maxOpen, renewLease: async () => ({
					status: 'listed', startedAt: 1, clock: clock.readMonotonic(), running: [], ends: [], areEndsComplete: true,
				}),
			} as unknown as WorkerControl,
			log: RateLimitedLog.create(Log.createSilent(), clock),
			owner: {fencingToken: 1, isRenewalAllowed: true, applyListing: async () => true} as unknown as SessionOwner,
			record: {
				id: 'worker-1' as VmId, startedAt: 1, capacity: {cpu: 8000, memory: 1000, gpu: 0}, labels: [], isDraining: false,
			} as unknown as WorkerRecord,
			earlierRunsEndBy: 0,
		});
		const sent = Array.from({length: orders}, async () => t.throwsAsync(session.orders.send('stop', async () => {
			await clock.sleep(timings.orderTimeoutMs);
			throw new VerdictError('no answer', {verdict: 'may-have-run', code: 'worker_unavailable'});
		})));
		for (let order = 0; order < orders; order++) {
			await clock.advance(timings.orderTimeoutMs);
		}

		await Promise.all(sent);
		await clock.advance(calmMs);
		t.true(session.isSchedulable);
		t.true(session.describeCandidate(clock.readMonotonic()).startSlots! > 0);
		session.close();
	});
}
