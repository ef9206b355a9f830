/**
 * Derives the timeouts and intervals of an entry from the bounds of its deployment, and checks that they fit within them.
 */
import {createIssuesError, IssuesError, type SafeParseResult} from '@tamarackwind/core';
import {type Bounds} from './bounds.js';
import {computeMaxLeaseMs} from './worker-leases.js';

/** Timeouts and intervals that depend on the bounds, each in milliseconds. */
export type Timings = {
	/** Lease that each call to a worker requests for its runs. */
	readonly workerLeaseMs: number;
	/** Maximum time for which a worker holds a listing open until a run ends, and so the interval of lease renewals. */
	readonly longPollMs: number;
	/** Time without a response after which a worker's lease is no longer renewed, so that its tasks can start elsewhere once the lease has expired. */
	readonly maxWorkerSilenceMs: number;
	/**
	 * Time after the last order with a lease by which a run has ended that a restarted worker began unnoticed: it judges the lease by its
	 * new clock and grants the longest one.
	 */
	readonly unlistedRunMs: number;
	/** Time beyond `longPollMs` after which a listing times out. */
	readonly listingSlackMs: number;
	/** Timeout of any other order to a worker. */
	readonly orderTimeoutMs: number;
	/** Time without a renewal after which another entry acquires the scheduler lease. */
	readonly schedulerTermMs: number;
	/** Maximum wait of one watch on the scheduler lease. */
	readonly schedulerWatchMs: number;
	/** Interval at which the holder checks whether a renewal of the scheduler lease is due. */
	readonly schedulerRefreshMs: number;
	/** Maximum time beyond the wait of a watch after which its request times out, so that a stalled connection is detected. */
	readonly watchSlackMs: number;
	/** Maximum wait of one watch on the operator's declarations. */
	readonly declarationWatchMs: number;
	/** Time since the store's last confirmation after which the configuration counts as stale. */
	readonly staleConfigurationMs: number;
	/** The same for the keys of accounts, which may have been revoked since; at most `staleConfigurationMs`. */
	readonly staleKeysMs: number;
	/** Maximum wait of one watch on submissions and cancellations. */
	readonly submissionWatchMs: number;
	/** Maximum age of the count of waiting jobs in a response to a caller. */
	readonly maxCountAgeMs: number;
	/** Time since the store's last response after which an entry reports itself as not ready. */
	readonly maxReadyStoreAgeMs: number;
	/** Time within which the registry entry of a live worker is back after it has expired; a worker that is missing for longer is gone. */
	readonly entryReturnMs: number;
	/** Time for which a VM must be missing from the list before it counts as removed. */
	readonly missingVmMs: number;
	/** Time after which a moving VM counts as arrived or lost. */
	readonly moveTimeoutMs: number;
	/** Maximum wait for the tasks of a VM to finish before its maintenance. */
	readonly drainTimeoutMs: number;
	/** Time for which an ended worker incarnation is remembered. */
	readonly endedIncarnationRetentionMs: number;
	/** Part of the grace period reserved for the exit of the process. */
	readonly exitReserveMs: number;
};

/** Delay before a failed watch of the declarations is repeated, in milliseconds. */
export const declarationRetryMs = 60;
/** Minimum wait of a watch of the declarations, in milliseconds: bounds the calls while the store is very slow. */
export const minDeclarationWatchMs = 100;
/** Delay after a failed call to a worker, in milliseconds. */
export const workerRetryMs = 150;
/** Longest pause before a candidate with the smallest share of a core acquires a vacant scheduler lease, in milliseconds. */
const acquirePauseMs = 300;
/** Time in which a new holder fences, loads and lists the workers of all pools, in milliseconds. */
const takeoverWorkMs = 1000;
/** Time in which a store at its normal speed answers, with a margin for a busy partition, in milliseconds. */
const storeAnswerMs = 100;

/** Values for bounds that do not limit them, in milliseconds. */
const preferred = {
	workerLeaseMs: 8000,
	longPollMs: 1000,
	listingSlackMs: 900,
	orderTimeoutMs: 1200,
	schedulerTermMs: 2400,
	watchSlackMs: 700,
	declarationWatchMs: 700,
	staleConfigurationMs: 2400,
	submissionWatchMs: 400,
	maxCountAgeMs: 1800,
	maxReadyStoreAgeMs: 2500,
	endedIncarnationRetentionMs: 10_000,
	exitReserveMs: 1000,
};

/** Largest value of each timing as a share of the bound that limits it. */
const shares = {
	longPollOfLease: 1 / 6,
	listingSlackOfLease: 0.15,
	termOfLease: 0.4,
	orderTimeoutOfGangStart: 0.4,
	watchSlackOfConfiguration: 0.35,
	declarationWatchOfConfiguration: 0.35,
	staleOfConfiguration: 0.8,
	staleOfRevocation: 0.8,
	submissionWatchOfCancellation: 1 / 3,
	countAgeOfVisibility: 0.6,
	readyAgeOfContact: 5 / 6,
	exitReserveOfGrace: 1 / 6,
	refreshOfTerm: 1 / 6,
	watchOfTerm: 0.2,
};

/** Time after an outage of the store by which the platform promises the entries of live workers, in milliseconds, and a margin for reading them. */
const minEntryReturnMs = 2000;
const entryReturnMarginMs = 500;
/** Time beyond `lossDetectionMs` for which a VM must be missing, in milliseconds: two readings of the list. */
const missingVmMarginMs = 500;
/** Time beyond `workerDrainMs` for which a wave waits for the tasks of a VM, in milliseconds. */
const drainMarginMs = 500;
const movesPerTimeout = 2;
/** Worker leases for which renewals go on without a response: one-way silences of twice the shortest lease of 6 s are survived, with calls up to 1.6 s apart. */
const leasesOfSilence = 2;
/** Heartbeats after which an ended incarnation is forgotten: the registry drops its entry after three, later while the store is away. */
const retainedHeartbeats = 6;

type Term = readonly [label: string, ms: number];

/** A sum of times that must not exceed a bound. */
type TimeSum = {readonly name: string; readonly terms: readonly Term[]; readonly bound: Term};

/**
 * Derives the timings for the bounds of a deployment.
 *
 * @throws {IssuesError} with one issue for each sum of times that exceeds its bound.
 * @example
 * computeTimings({...defaultBounds, maxWorkerLeaseMs: 6000}).workerLeaseMs; // 6000
 */
export function computeTimings(bounds: Bounds): Timings {
	const timings = convertBounds(bounds);
	const issues = listTimeSums(bounds, timings).filter(({terms, bound}) => sumTerms(terms) > bound[1]).map(({name, terms, bound}) => ({
		code: 'bounds_too_small',
		path: ['bounds', bound[0]],
		message: `${name} takes ${Math.ceil(sumTerms(terms))} ms (${terms.map(([label, ms]) => `${label} ${Math.ceil(ms)}`).join(' + ')}), more than ${bound[0]} of ${bound[1]} ms`,
	}));
	if (issues.length > 0) {
		throw createIssuesError(issues);
	}

	return timings;
}

/** Like `computeTimings`, but returns the issues. */
export function safeComputeTimings(bounds: Bounds): SafeParseResult<Timings> {
	try {
		return {success: true, data: computeTimings(bounds)};
	} catch (error) {
		if (error instanceof IssuesError) {
			return {success: false, error};
		}

		throw error;
	}
}

function convertBounds(bounds: Bounds): Timings {
	const workerLeaseMs = Math.min(preferred.workerLeaseMs, bounds.maxWorkerLeaseMs);
	const schedulerTermMs = Math.min(preferred.schedulerTermMs, workerLeaseMs * shares.termOfLease);
	const orderTimeoutMs = Math.min(preferred.orderTimeoutMs, bounds.gangStartMs * shares.orderTimeoutOfGangStart);
	const staleConfigurationMs = Math.min(preferred.staleConfigurationMs, bounds.configurationMs * shares.staleOfConfiguration);
	return {
		workerLeaseMs,
		longPollMs: Math.floor(Math.min(preferred.longPollMs, workerLeaseMs * shares.longPollOfLease)),
		maxWorkerSilenceMs: workerLeaseMs * leasesOfSilence,
		unlistedRunMs: orderTimeoutMs + computeMaxLeaseMs(bounds.maxWorkerLeaseMs),
		listingSlackMs: Math.min(preferred.listingSlackMs, workerLeaseMs * shares.listingSlackOfLease),
		orderTimeoutMs,
		schedulerTermMs,
		schedulerWatchMs: Math.floor(schedulerTermMs * shares.watchOfTerm),
		schedulerRefreshMs: schedulerTermMs * shares.refreshOfTerm,
		watchSlackMs: Math.floor(Math.min(preferred.watchSlackMs, bounds.configurationMs * shares.watchSlackOfConfiguration)),
		declarationWatchMs: Math.floor(Math.min(preferred.declarationWatchMs, bounds.configurationMs * shares.declarationWatchOfConfiguration)),
		staleConfigurationMs,
		staleKeysMs: Math.min(staleConfigurationMs, bounds.revocationMs * shares.staleOfRevocation),
		submissionWatchMs: Math.floor(Math.min(preferred.submissionWatchMs, bounds.cancellationMs * shares.submissionWatchOfCancellation)),
		maxCountAgeMs: Math.min(preferred.maxCountAgeMs, bounds.visibilityMs * shares.countAgeOfVisibility),
		maxReadyStoreAgeMs: Math.min(preferred.maxReadyStoreAgeMs, bounds.contactMs * shares.readyAgeOfContact),
		entryReturnMs: Math.max(minEntryReturnMs, bounds.heartbeatMs) + entryReturnMarginMs,
		missingVmMs: bounds.lossDetectionMs + missingVmMarginMs,
		moveTimeoutMs: bounds.returnMs * movesPerTimeout,
		drainTimeoutMs: bounds.workerDrainMs + drainMarginMs,
		endedIncarnationRetentionMs: Math.max(preferred.endedIncarnationRetentionMs, bounds.heartbeatMs * retainedHeartbeats),
		exitReserveMs: Math.min(preferred.exitReserveMs, bounds.graceMs * shares.exitReserveOfGrace),
	};
}

/** Lists the sums of times that must fit into the bounds. */
function listTimeSums(bounds: Bounds, timings: Timings): TimeSum[] {
	const {longPollMs, listingSlackMs, schedulerTermMs, watchSlackMs, declarationWatchMs, submissionWatchMs} = timings;
	const lease: Term = ['maxWorkerLeaseMs', bounds.maxWorkerLeaseMs];
	return [
		{
			name: 'renewing a worker lease after one lost call',
			terms: [['longPollMs', 2 * longPollMs], ['listingSlackMs', listingSlackMs], ['workerRetryMs', workerRetryMs]],
			bound: lease,
		},
		{
			name: 'renewing a worker lease after a takeover',
			terms: [['longPollMs', longPollMs], ['schedulerTermMs', schedulerTermMs], ['acquirePauseMs', acquirePauseMs], ['takeoverWorkMs', takeoverWorkMs]],
			bound: lease,
		},
		{
			name: 'applying a configuration over a stalled connection',
			terms: [['declarationWatchMs', declarationWatchMs], ['watchSlackMs', watchSlackMs], ['declarationRetryMs', declarationRetryMs], ['storeAnswerMs', storeAnswerMs]],
			bound: ['configurationMs', bounds.configurationMs],
		},
		{
			name: 'applying a cancellation over a stalled connection',
			terms: [['submissionWatchMs', submissionWatchMs], ['watchSlackMs', watchSlackMs], ['storeAnswerMs', 2 * storeAnswerMs]],
			bound: ['cancellationMs', bounds.cancellationMs],
		},
		{
			name: 'confirming the keys in force twice',
			terms: [['minDeclarationWatchMs', 2 * minDeclarationWatchMs], ['storeAnswerMs', 2 * storeAnswerMs], ['margin', bounds.revocationMs * (1 - shares.staleOfRevocation)]],
			bound: ['revocationMs', bounds.revocationMs],
		},
	];
}

function sumTerms(terms: readonly Term[]): number {
	return terms.reduce((sum, [, ms]) => sum + ms, 0);
}
