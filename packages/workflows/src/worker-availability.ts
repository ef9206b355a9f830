/**
 * Observes the workers of a pool that get no new work, and reports for each reason how many there are and for how long.
 */
import {type ServiceName} from '@tamarackwind/core';
import {type RateLimitedLog} from './rate-limited-logs.js';
import {type WorkerSession} from './worker-sessions.js';

/**
 * Why a worker gets no new work:
 * - `unlisted`: it has not listed its runs under the fencing token of this holder yet.
 * - `unreachable`: it left several calls in a row without an answer, or turned them away.
 * - `unregistered`: the registry does not list it.
 * - `draining`: it is about to leave.
 * - `cordoned`: its VM is about to be moved or maintained.
 */
export type UnavailabilityReason = 'unlisted' | 'unreachable' | 'unregistered' | 'draining' | 'cordoned';

/** Workers that get no new work for one reason. */
export type UnavailableWorkers = {readonly workers: number; readonly longestMs: number};

export type AvailabilityMonitorOptions = {readonly log: RateLimitedLog; readonly service: ServiceName};

type ObservedSession = Pick<WorkerSession, 'name' | 'record' | 'unavailability'>;

/** Interval between two observations, in milliseconds. */
const observationIntervalMs = 1000;
/** Time from which workers without new work are logged, in milliseconds. */
const loggedMs = 3000;
/** Maximum number of workers that a log line names. */
const maxNamedWorkers = 20;
/** Reasons of workers that are expected to leave, whose capacity is no longer counted. */
const leavingReasons: ReadonlySet<UnavailabilityReason> = new Set(['unregistered', 'draining']);

/** Observes the workers of one pool. */
export class AvailabilityMonitor {
	static create(options: AvailabilityMonitorOptions): AvailabilityMonitor {
		return new AvailabilityMonitor(options);
	}

	#since = new Map<ObservedSession, {readonly reason: UnavailabilityReason; readonly at: number}>();
	#observedAt = Number.NEGATIVE_INFINITY;
	#summaries: ReadonlyMap<UnavailabilityReason, UnavailableWorkers> = new Map();
	#unavailableCpu = 0;

	private constructor(private readonly options: AvailabilityMonitorOptions) {}

	/** Workers without new work at the last observation, by reason. */
	get summaries(): ReadonlyMap<UnavailabilityReason, UnavailableWorkers> {
		return this.#summaries;
	}

	/** CPU of the workers that got no new work at the last observation although they stay, in thousandths of a core. */
	get unavailableCpu(): number {
		return this.#unavailableCpu;
	}

	/** Observes the workers if that is due; `now` is on the monotonic clock. */
	observe(sessions: Iterable<ObservedSession>, now: number): void {
		if (now - this.#observedAt < observationIntervalMs) {
			return;
		}

		this.#observedAt = now;
		this.#unavailableCpu = 0;
		const since = new Map<ObservedSession, {readonly reason: UnavailabilityReason; readonly at: number}>();
		const byReason = new Map<UnavailabilityReason, Array<{readonly name: string; readonly ms: number}>>();
		for (const session of sessions) {
			const reason = session.unavailability;
			if (reason !== undefined) {
				const known = this.#since.get(session);
				const current = known?.reason === reason ? known : {reason, at: now};
				since.set(session, current);
				byReason.set(reason, [...byReason.get(reason) ?? [], {name: session.name, ms: now - current.at}]);
				this.#unavailableCpu += leavingReasons.has(reason) ? 0 : session.record.capacity.cpu;
			}
		}

		this.#since = since;
		this.#summaries = new Map([...byReason].map(([reason, workers]) => [reason, this.#logReason(reason, workers)]));
	}

	#logReason(reason: UnavailabilityReason, workers: Array<{readonly name: string; readonly ms: number}>): UnavailableWorkers {
		const {log, service} = this.options;
		workers.sort((a, b) => b.ms - a.ms);
		const longestMs = workers[0]!.ms;
		if (longestMs >= loggedMs) {
			log.info('workers get no work', {
				service, reason, count: workers.length, longestMs: Math.round(longestMs), workers: workers.slice(0, maxNamedWorkers).map(({name}) => name),
			});
		}

		return {workers: workers.length, longestMs};
	}
}
