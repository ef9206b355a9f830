/**
 * Observes which of the tasks that are charged to accounts in a pool are confirmed to run, so that a wait for a cap can be compared with what
 * the account really has running.
 */
import {type AccountName, type ServiceName} from '@tamarackwind/core';
import {addResources, noResources, type Resources} from '@tamarackwind/scheduling';
import {type RateLimitedLog} from './rate-limited-logs.js';
import {type Task} from './tasks.js';

/** What an account is charged for in a pool, at the last observation. */
export type ChargeSummary = {
	readonly charged: Resources;
	/** The part of it whose runs are confirmed by workers in touch. */
	readonly confirmed: Resources;
	readonly unconfirmedTasks: number;
	/** Time for which the oldest charge has been seen without a confirmed run, in milliseconds. */
	readonly oldestUnconfirmedMs: number;
};

export type ChargeObservation = {
	/** Time on the monotonic clock. */
	readonly now: number;
	/** Reports whether the worker of a task is in touch. */
	readonly isInTouch: (task: Task) => boolean;
};

/** Interval between two observations, in milliseconds. */
const observationIntervalMs = 1000;
/** Share of its cap below which an account should not be kept waiting: the users' limit. */
const freeCapShare = 0.5;
/** Time for which a charge may be unconfirmed before a wait for the cap needs the attention of an operator, in milliseconds: the users' limit for accepted work. */
const standingLimitMs = 3000;

export const noCharges: ChargeSummary = {
	charged: noResources, confirmed: noResources, unconfirmedTasks: 0, oldestUnconfirmedMs: 0,
};

/** Observes the charged tasks of one pool. An observation costs by the assigned tasks, not by those that wait. */
export class ChargeMonitor {
	static create(): ChargeMonitor {
		return new ChargeMonitor();
	}

	readonly #tasks = new Set<Task>();
	/** Time since which each task has been seen without a confirmed run, on the monotonic clock. */
	#unconfirmedSince = new Map<Task, number>();
	#observedAt = Number.NEGATIVE_INFINITY;
	#summaries: ReadonlyMap<AccountName | undefined, ChargeSummary> = new Map();
	#waiting = new Set<AccountName>();

	private constructor() {}

	/** What accounts were charged for at the last observation. */
	get summaries(): ReadonlyMap<AccountName | undefined, ChargeSummary> {
		return this.#summaries;
	}

	add(task: Task): void {
		this.#tasks.add(task);
	}

	remove(task: Task): void {
		this.#tasks.delete(task);
	}

	/** Notes that the cap of an account has kept a task waiting. */
	recordWait(account: AccountName): void {
		this.#waiting.add(account);
	}

	/** Observes the charged tasks if that is due; returns the accounts whose caps have kept tasks waiting since the last observation. */
	observe({now, isInTouch}: ChargeObservation): Iterable<AccountName> {
		if (now - this.#observedAt < observationIntervalMs) {
			return [];
		}

		this.#observedAt = now;
		const unconfirmedSince = new Map<Task, number>();
		const summaries = new Map<AccountName | undefined, ChargeSummary>();
		for (const task of this.#tasks) {
			const {stepState: {account}, spec: {resources}} = task;
			const isConfirmed = hasConfirmedRun(task) && isInTouch(task);
			const since = this.#unconfirmedSince.get(task) ?? now;
			if (!isConfirmed) {
				unconfirmedSince.set(task, since);
			}

			const sum = summaries.get(account) ?? noCharges;
			summaries.set(account, {
				charged: addResources(sum.charged, resources),
				confirmed: isConfirmed ? addResources(sum.confirmed, resources) : sum.confirmed,
				unconfirmedTasks: sum.unconfirmedTasks + (isConfirmed ? 0 : 1),
				oldestUnconfirmedMs: Math.max(sum.oldestUnconfirmedMs, isConfirmed ? 0 : now - since),
			});
		}

		this.#unconfirmedSince = unconfirmedSince;
		this.#summaries = summaries;
		const waiting = this.#waiting;
		this.#waiting = new Set();
		return waiting;
	}
}

export type CapWait = {
	/** Service whose tasks wait. */
	readonly service: ServiceName;
	readonly account: AccountName;
	readonly cap: Resources;
	/** What the account is charged for over all services now. */
	readonly charged: Resources;
	/** What it was charged for in each service at the last observation there, which is up to a second ago. */
	readonly byService: ReadonlyMap<ServiceName, ChargeSummary>;
};

/** Logs that tasks wait for the cap of an account, and what the account is charged for. */
export function logCapWait(log: RateLimitedLog, {
	service, account, cap, charged, byService,
}: CapWait): void {
	const {confirmed, unconfirmedTasks, oldestUnconfirmedMs} = sumCharges(byService.values());
	const fields = {
		service, account, cap, charged, confirmed, unconfirmedTasks, oldestUnconfirmedMs: Math.round(oldestUnconfirmedMs),
		services: Object.fromEntries([...byService].map(([name, summary]) => [name, {chargedCpu: summary.charged.cpu, confirmedCpu: summary.confirmed.cpu}])),
	};
	if (oldestUnconfirmedMs > standingLimitMs && isUnderShare(confirmed, cap)) {
		log.warn('account waits for its cap although less is confirmed to run', fields);
	} else {
		log.info('account waits for its cap', fields);
	}
}

function sumCharges(summaries: Iterable<ChargeSummary>): ChargeSummary {
	let sum = noCharges;
	for (const {charged, confirmed, unconfirmedTasks, oldestUnconfirmedMs} of summaries) {
		sum = {
			charged: addResources(sum.charged, charged),
			confirmed: addResources(sum.confirmed, confirmed),
			unconfirmedTasks: sum.unconfirmedTasks + unconfirmedTasks,
			oldestUnconfirmedMs: Math.max(sum.oldestUnconfirmedMs, oldestUnconfirmedMs),
		};
	}

	return sum;
}

/** Reports whether a worker has confirmed the run of a task, and it has not been told to stop. */
function hasConfirmedRun({phase, isConfirmed}: Task): boolean {
	return phase === 'running' || (phase === 'starting' && isConfirmed);
}

/** Reports whether an amount is below the share of a cap in each dimension that has one. */
function isUnderShare({cpu, memory, gpu}: Resources, cap: Resources): boolean {
	return [[cpu, cap.cpu], [memory, cap.memory], [gpu, cap.gpu]].every(([used, limit]) => limit! <= 0 || used! < limit! * freeCapShare);
}
