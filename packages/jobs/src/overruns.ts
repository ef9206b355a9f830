/**
 * Overruns: runs that use more than they were given, on workers that are about to have no room left.
 */
import {type TaskResources} from '@tamarackwind/clients';
import {match} from 'ts-pattern';
import {sumResources} from './nodes.js';
import {type Run} from './runs.js';

/** What to do with a run that overruns. */
export type OverrunMeasure
	= | {readonly type: 'throttle'; readonly run: Run; readonly cores: number}
		| {readonly type: 'checkpoint'; readonly run: Run; readonly minSize: TaskResources};

/** Part of a worker's capacity above which overruns hurt others. */
const fullFraction = 0.9;
const memoryMargin = 1.2;
const emptySize: TaskResources = {cores: 0, memoryMb: 0, accelerators: 0};

/** Resources in use by a run as last reported, at least zero. */
export function readUsage(run: Run): TaskResources {
	const {observation} = run;
	return observation === undefined || observation === 'absent' ? emptySize : observation.usage ?? emptySize;
}

/** What a run takes of its worker: what it was given or uses, whichever is more. */
export function readLoad(run: Run): TaskResources {
	const usage = readUsage(run);
	return {
		cores: Math.max(run.size.cores, Math.min(usage.cores, run.throttledTo ?? usage.cores)),
		memoryMb: Math.max(run.size.memoryMb, usage.memoryMb),
		accelerators: Math.max(run.size.accelerators, usage.accelerators),
	};
}

/** Chooses a measure against the worst overrun of each resource on one worker; `canCheckpoint` tells which runs can be moved away. */
export function planOverruns(capacity: TaskResources, runs: readonly Run[], canCheckpoint: (run: Run) => boolean): OverrunMeasure[] {
	const used = sumResources(runs.map(run => readUsage(run)));
	return (['cores', 'memoryMb'] as const).flatMap((resource): OverrunMeasure[] => {
		if (used[resource] <= capacity[resource] * fullFraction) {
			return [];
		}

		const overruns = runs
			.filter(run => !run.isEvicting && readUsage(run)[resource] > run.size[resource])
			.toSorted((a, b) => (readUsage(b)[resource] - b.size[resource]) - (readUsage(a)[resource] - a.size[resource]));
		return match(resource)
			.with('cores', () => planThrottle(overruns))
			.with('memoryMb', () => planCheckpoint(overruns.find(run => canCheckpoint(run))))
			.exhaustive();
	});
}

function planThrottle(overruns: readonly Run[]): OverrunMeasure[] {
	const run = overruns.find(overrun => overrun.throttledTo === undefined);
	return run === undefined ? [] : [{type: 'throttle', run, cores: run.size.cores}];
}

function planCheckpoint(run: Run | undefined): OverrunMeasure[] {
	if (run === undefined) {
		return [];
	}

	const usage = readUsage(run);
	return [{type: 'checkpoint', run, minSize: {...run.size, memoryMb: Math.ceil(usage.memoryMb * memoryMargin)}}];
}
