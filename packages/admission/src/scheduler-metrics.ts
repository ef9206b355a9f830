/**
 * Prometheus metrics of the scheduler.
 */
import {
	Counter, Gauge, Histogram, type Registry,
} from 'prom-client';

/** Values of one pool, read when the metrics are collected. */
export type PoolGauges = {
	readonly pool: string;
	readonly queued: number;
	readonly inFlight: number;
	readonly setAside: number;
	readonly lentSlots: number;
};

const waitBucketsS = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30, 100];

/** Registers and updates the metrics of the scheduler. */
export class SchedulerMetrics {
	static create(registry: Registry, readPools: () => readonly PoolGauges[]): SchedulerMetrics {
		return new SchedulerMetrics(registry, readPools);
	}

	readonly #waits: Histogram<'pool' | 'class'>;
	readonly #refusals: Counter<'pool' | 'class' | 'code'>;
	readonly #setAsideChanges: Counter<'change'>;

	private constructor(registry: Registry, readPools: () => readonly PoolGauges[]) {
		const registers = [registry];
		this.#waits = new Histogram({
			name: 'tamarackwind_slot_wait_seconds', help: 'Time for which started requests waited for a slot.', labelNames: ['pool', 'class'], buckets: waitBucketsS, registers,
		});
		this.#refusals = new Counter({
			name: 'tamarackwind_refused_total', help: 'Requests refused before they ran.', labelNames: ['pool', 'class', 'code'], registers,
		});
		this.#setAsideChanges = new Counter({
			name: 'tamarackwind_set_aside_changes_total', help: 'Workers set aside and taken back.', labelNames: ['change'], registers,
		});
		const gauges: Array<{readonly name: string; readonly help: string; readonly read: (pool: PoolGauges) => number}> = [
			{name: 'tamarackwind_queued_requests', help: 'Requests that wait for a slot at this entry.', read: pool => pool.queued},
			{name: 'tamarackwind_slots_in_flight', help: 'Slots that requests of this entry hold.', read: pool => pool.inFlight},
			{name: 'tamarackwind_workers_set_aside', help: 'Workers that get no work but probes.', read: pool => pool.setAside},
			{name: 'tamarackwind_slots_lent', help: 'Slots that this entry lends as the home entry of the pool.', read: pool => pool.lentSlots},
		];
		for (const {name, help, read} of gauges) {
			const gauge = new Gauge<'pool'>({
				name, help, labelNames: ['pool'], registers, collect() {
					gauge.reset();
					for (const pool of readPools()) {
						gauge.set({pool: pool.pool}, read(pool));
					}
				},
			});
		}
	}

	observeWait(pool: string, workClass: string, waitedMs: number): void {
		this.#waits.observe({pool, class: workClass}, waitedMs / 1000);
	}

	countRefusal(pool: string, workClass: string, code: string): void {
		this.#refusals.inc({pool, class: workClass, code});
	}

	countSetAsideChange(isSetAside: boolean): void {
		this.#setAsideChanges.inc({change: isSetAside ? 'set-aside' : 'taken-back'});
	}
}
