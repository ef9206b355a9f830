/**
 * Sizes and run times learned from the usage of earlier runs, for each kind and caller.
 */
import {type TaskResources} from '@tamarackwind/clients';
import {type JobSpec} from './schemas.js';

/** What one finished run used at most, and how long it ran. */
export type UsageSample = TaskResources & {readonly runMs: number; readonly declared: TaskResources & {readonly runMs: number}};

/** Latest samples of one kind and caller, as a row keeps them. */
export type UsageHistory = {readonly samples: readonly UsageSample[]};

/** What a job is expected to need. */
export type Estimate = TaskResources & {
	readonly runMs: number;
	/** Runs that the estimate rests on; 0 means that it is the declaration. */
	readonly samples: number;
};

const maxSamples = 40;
const minSamples = 3;
const sizeQuantile = 0.9;
const runTimeQuantile = 0.75;
const coresMargin = 1.1;
const memoryMargin = 1.2;
const smallestCores = 0.25;
const smallestMemoryMb = 64;

/** Key of the history of a kind and caller. */
export function buildUsageKey(kind: string, caller: string): string {
	return `${kind}/${caller}`;
}

/** Gives the value below which `fraction` of `values` lie. */
export function computeQuantile(values: readonly number[], fraction: number): number {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[Math.min(sorted.length - 1, Math.ceil(fraction * sorted.length) - 1)] ?? 0;
}

/** Learns from runs and estimates jobs. */
export class UsageModel {
	static create(): UsageModel {
		return new UsageModel();
	}

	readonly #histories = new Map<string, UsageHistory>();

	/** Takes a history that was kept. */
	loadHistory(key: string, history: UsageHistory): void {
		this.#histories.set(key, history);
	}

	/** Adds a run and gives the history to keep. */
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

	/** Estimates a job: quantiles of the ratio of used to declared, applied to its declaration. Accelerators stay as declared. */
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
			cores: Math.max(smallestCores, spec.cores * scale(sample => sample.cores, sizeQuantile) * coresMargin),
			memoryMb: Math.max(smallestMemoryMb, Math.ceil(spec.memoryMb * scale(sample => sample.memoryMb, sizeQuantile) * memoryMargin)),
			accelerators: spec.accelerators,
			runMs: Math.max(1, spec.runMs * scale(sample => sample.runMs, runTimeQuantile)),
			samples: samples.length,
		};
	}
}
