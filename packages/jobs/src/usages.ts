/**
 * Estimates sizes and run times of jobs from the usage of earlier runs, by kind and caller.
 */
import {type TaskResources} from '@tamarackwind/clients';
import {type JobSpec} from './schemas.js';

/** Peak usage and run time of one finished run, with the declared values. */
export type UsageSample = TaskResources & {readonly runMs: number; readonly declared: TaskResources & {readonly runMs: number}};

/** Stored row: the latest samples of one kind and caller. */
export type UsageHistory = {readonly samples: readonly UsageSample[]};

/** Expected resources and run time of a job. */
export type Estimate = TaskResources & {
	readonly runMs: number;
	/** Number of runs behind the estimate; 0 if the estimate equals the declaration. */
	readonly samples: number;
};

const maxSamples = 40;
const minSamples = 3;
const sizeQuantile = 0.9;
const runTimeQuantile = 0.75;
const coresMargin = 1.1;
const memoryMargin = 1.2;
const minCores = 0.25;
const minMemoryMb = 64;

/** Builds the key of the history of a kind and caller. */
export function buildUsageKey(kind: string, caller: string): string {
	return `${kind}/${caller}`;
}

/** Returns the quantile of `values` at `fraction`, or 0 if there are none. */
export function computeQuantile(values: readonly number[], fraction: number): number {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[Math.min(sorted.length - 1, Math.ceil(fraction * sorted.length) - 1)] ?? 0;
}

/** Records the usage of runs and estimates jobs from it. */
export class UsageModel {
	static create(): UsageModel {
		return new UsageModel();
	}

	readonly #histories = new Map<string, UsageHistory>();

	/** Loads a stored history. */
	loadHistory(key: string, history: UsageHistory): void {
		this.#histories.set(key, history);
	}

	/** Adds a run and returns the history to store. */
	recordRun(spec: JobSpec, caller: string, used: TaskResources, runMs: number): UsageHistory {
		const key = buildUsageKey(spec.kind, caller);
		const sample: UsageSample = {
			cores: used.cores, memoryMb: used.memoryMb, accelerators: used.accelerators, runMs,
			declared: {
				cores: spec.cores, memoryMb: spec.memoryMb, accelerators: spec.accelerators, runMs: spec.runMs,
			},
		};
		const history = {samples: [...this.#histories.get(key)?.samples ?? [], sample].slice(-maxSamples)};
		this.#histories.set(key, history);
		return history;
	}

	/** Estimates a job by scaling its declaration with quantiles of the ratio of used to declared values. Accelerators stay as declared. */
	computeEstimate(spec: JobSpec, caller: string): Estimate {
		const samples = this.#histories.get(buildUsageKey(spec.kind, caller))?.samples ?? [];
		if (samples.length < minSamples) {
			return {
				cores: spec.cores, memoryMb: spec.memoryMb, accelerators: spec.accelerators, runMs: spec.runMs, samples: 0,
			};
		}

		const scale = (read: (sample: TaskResources & {readonly runMs: number}) => number, fraction: number): number =>
			computeQuantile(samples.map(sample => read(sample) / Math.max(read(sample.declared), Number.EPSILON)), fraction);
		return {
			cores: Math.max(minCores, spec.cores * scale(sample => sample.cores, sizeQuantile) * coresMargin),
			memoryMb: Math.max(minMemoryMb, Math.ceil(spec.memoryMb * scale(sample => sample.memoryMb, sizeQuantile) * memoryMargin)),
			accelerators: spec.accelerators,
			runMs: Math.max(1, spec.runMs * scale(sample => sample.runMs, runTimeQuantile)),
			samples: samples.length,
		};
	}
}
