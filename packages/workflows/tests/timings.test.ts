import {IssuesError} from '@tamarackwind/core';
import test from 'ava';
import {
	defaultBounds, computeTimings, safeComputeTimings, type Bounds, type Timings,
} from '../src/index.js';

const tightLease: Bounds = {...defaultBounds, maxWorkerLeaseMs: 6000};
const grown: Bounds = {
	...defaultBounds, configurationMs: 3000, cancellationMs: 4000, gangStartMs: 4000, lossDetectionMs: 5500, workerDrainMs: 3000, contactMs: 4000,
};
const large: Bounds = {
	...tightLease, configurationMs: 4000, cancellationMs: 5000, gangStartMs: 5000, lossDetectionMs: 6500, workerDrainMs: 4000, contactMs: 5000,
};

function scaleBounds(bounds: Bounds, factor: number): Bounds {
	return Object.fromEntries(Object.entries(bounds).map(([name, ms]) => [name, ms * factor])) as Bounds;
}

/** Bounds of small, grown and large deployments, and the same bounds halved and doubled. */
const deployments: ReadonlyArray<[string, Bounds]> = [
	['small', defaultBounds],
	['small with short worker leases', tightLease],
	['grown', grown],
	['grown with short worker leases', {...grown, maxWorkerLeaseMs: 6000}],
	['large', large],
	['small, halved', scaleBounds(defaultBounds, 0.5)],
	['large, halved', scaleBounds(large, 0.5)],
	['small, doubled', scaleBounds(defaultBounds, 2)],
	['large, doubled', scaleBounds(large, 2)],
	['large with strict revocation', {...large, revocationMs: 5000}],
	['small with fast revocation', {...defaultBounds, revocationMs: 2000}],
];

type Limit = readonly [name: string, compute: (timings: Timings, bounds: Bounds) => boolean];

const limits: readonly Limit[] = [
	['the requested worker lease is at most the longest one', ({workerLeaseMs}, {maxWorkerLeaseMs}) => workerLeaseMs <= maxWorkerLeaseMs],
	['a lost listing leaves time for another before the lease ends', ({longPollMs, listingSlackMs, workerLeaseMs}) => (2 * longPollMs) + listingSlackMs < workerLeaseMs],
	['a takeover leaves a third of the worker lease', ({longPollMs, schedulerTermMs, workerLeaseMs}) => longPollMs + schedulerTermMs <= (workerLeaseMs * 2) / 3],
	['a watch on the scheduler lease is shorter than half of its term', ({schedulerWatchMs, schedulerTermMs}) => schedulerWatchMs < schedulerTermMs / 2],
	['a configuration applies in time over a stalled connection', ({declarationWatchMs, watchSlackMs}, {configurationMs}) => declarationWatchMs + watchSlackMs < configurationMs],
	['a configuration counts as stale before it must be replaced', ({staleConfigurationMs}, {configurationMs}) => staleConfigurationMs < configurationMs],
	['keys count as outdated before a revoked one must be refused, and no later than the configuration', ({staleKeysMs, staleConfigurationMs}, {revocationMs}) => staleKeysMs <= staleConfigurationMs && staleKeysMs < revocationMs],
	['a cancellation applies in time over a stalled connection', ({submissionWatchMs, watchSlackMs}, {cancellationMs}) => submissionWatchMs + watchSlackMs < cancellationMs],
	['a start without a response is stopped before the rest of its gang gives up', ({orderTimeoutMs}, {gangStartMs}) => orderTimeoutMs < gangStartMs],
	['a VM counts as removed only once it counts as lost', ({missingVmMs}, {lossDetectionMs}) => missingVmMs > lossDetectionMs],
	['a move is awaited for longer than it takes', ({moveTimeoutMs}, {returnMs}) => moveTimeoutMs > returnMs],
	['an ended incarnation is remembered until the registry drops it', ({endedIncarnationRetentionMs}, {heartbeatMs}) => endedIncarnationRetentionMs > 3 * heartbeatMs],
	['the exit leaves most of the grace period to open requests', ({exitReserveMs}, {graceMs}) => exitReserveMs < graceMs / 2],
	['waits of long polls are whole milliseconds', ({longPollMs, declarationWatchMs, schedulerWatchMs, submissionWatchMs}) => [longPollMs, declarationWatchMs, schedulerWatchMs, submissionWatchMs].every(ms => Number.isInteger(ms))],
];

for (const [deployment, bounds] of deployments) {
	for (const [limit, isMet] of limits) {
		test(`${deployment}: ${limit}`, t => {
			t.true(isMet(computeTimings(bounds), bounds));
		});
	}
}

const rejected: ReadonlyArray<[string, Partial<Bounds>, RegExp]> = [
	['worker leases that end before a takeover', {maxWorkerLeaseMs: 1500}, /renewing a worker lease after a takeover takes .*takeoverWorkMs.*more than maxWorkerLeaseMs of 1500 ms/v],
	['configurations that apply faster than the store answers', {configurationMs: 200}, /applying a configuration over a stalled connection takes .* more than configurationMs of 200 ms/v],
	['revocations that apply faster than two watches end', {revocationMs: 450}, /confirming the keys in force twice takes 490 ms \(.*\), more than revocationMs of 450 ms/v],
	['cancellations that apply faster than the store answers', {cancellationMs: 700}, /applying a cancellation .* more than cancellationMs of 700 ms/v],
];

for (const [name, bounds, message] of rejected) {
	test(`rejects ${name}`, t => {
		t.throws(() => computeTimings({...defaultBounds, ...bounds}), {instanceOf: IssuesError, message});
		t.false(safeComputeTimings({...defaultBounds, ...bounds}).success);
	});
}
