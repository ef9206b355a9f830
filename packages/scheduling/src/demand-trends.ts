/**
 * Extrapolates the demand of pools over the duration of a move. A queue that rises to several times its mean grows for seconds; a pool
 * that only asked for what waits now would be short by what arrives until its VMs have moved.
 */
import {type PoolName} from '@tamarackwind/core';

export type TrendOptions = {
	/** Period over which growth is measured, in milliseconds. */
	readonly windowMs: number;
	/** Time until a VM that is requested now can run tasks, in milliseconds. */
	readonly leadMs: number;
	/** Highest expected demand as a multiple of the current one, since sudden jumps do not continue. */
	readonly maxGrowth: number;
};

export const defaultTrend: TrendOptions = {windowMs: 1000, leadMs: 2000, maxGrowth: 1.6};

type Sample = {readonly at: number; readonly cpu: number};

/**
 * Tracks the demand of pools and its growth.
 *
 * @example
 * trend.observe(pool, 40_000, 0);
 * trend.observe(pool, 60_000, 1000);
 * trend.estimateDemand(pool); // 96_000
 */
export class DemandTrend {
	static create(options: TrendOptions = defaultTrend): DemandTrend {
		return new DemandTrend(options);
	}

	readonly #samples = new Map<PoolName, Sample[]>();

	private constructor(private readonly options: TrendOptions) {}

	/** Records the CPU that the tasks of a pool use or wait for, in thousandths of a core. */
	observe(pool: PoolName, cpu: number, now: number): void {
		const samples = this.#samples.get(pool) ?? [];
		this.#samples.set(pool, samples);
		samples.push({at: now, cpu});
		while (samples.length > 2 && samples[1]!.at <= now - this.options.windowMs) {
			samples.shift();
		}
	}

	/** Estimates the demand at the end of a move that begins now, in thousandths of a core; at least the current demand. */
	estimateDemand(pool: PoolName): number {
		const samples = this.#samples.get(pool) ?? [];
		const [first, last] = [samples[0], samples.at(-1)];
		if (first === undefined || last === undefined) {
			return 0;
		}

		const {windowMs, leadMs, maxGrowth} = this.options;
		const growth = Math.max(0, last.cpu - first.cpu) / Math.max(windowMs, last.at - first.at);
		return Math.min(last.cpu * maxGrowth, last.cpu + (growth * leadMs));
	}
}
