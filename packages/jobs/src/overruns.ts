/**
 * Handles overruns: runs that use more than their allocation on workers that are almost full.
 */
import {type TaskResources} from '@tamarackwind/clients';
import {match} from 'ts-pattern';
import {sumResources} from './nodes.js';
import {type Run} from './run-monitors.js';

/** Action against a run that uses more than its allocation. */
export type OverrunAction
	= | {readonly type: 'throttle'; readonly run: Run; readonly cores: number}
		| {readonly type: 'checkpoint'; readonly run: Run; readonly minSize: TaskResources};

/** Fraction of a worker's capacity in use above which overruns affect other runs. */
const highUsageFraction = 0.9;
const memoryMargin = 1.2;
const noResources: TaskResources = {cores: 0, memoryMb: 0, accelerators: 0};

/** Returns the resource usage of a run as last reported, or zero if unknown. */
export function readUsage(run: Run): TaskResources {
	const {observation} = run;
	return observation === undefined || observation === 'absent' ? noResources : observation.usage ?? noResources;
}

/** Returns the load of a run on its worker: for each resource the larger of allocation and usage. */
export function readLoad(run: Run): TaskResources {
	const usage = readUsage(run);
	return {
		cores: Math.max(run.size.cores, Math.min(usage.cores, run.throttledTo ?? usage.cores)),
		memoryMb: Math.max(run.size.memoryMb, usage.memoryMb),
		accelerators: Math.max(run.size.accelerators, usage.accelerators),
	};
}

/** Plans an action against the largest overrun of each resource on one worker; `canCheckpoint` reports whether a run can be evicted. */
export function planOverruns(capacity: TaskResources, runs: readonly Run[], canCheckpoint: (run: Run) => boolean): OverrunAction[] {
	const used = sumResources(runs.map(run => readUsage(run)));
	return (['cores', 'memoryMb'] as const).flatMap((resource): OverrunAction[] => {
		if (used[resource] <= capacity[resource] * highUsageFraction) {
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

function planThrottle(overruns: readonly Run[]): OverrunAction[] {
	const run = overruns.find(overrun => overrun.throttledTo === undefined);
	return run === undefined ? [] : [{type: 'throttle', run, cores: run.size.cores}];
}

function planCheckpoint(run: Run | undefined): OverrunAction[] {
	if (run === undefined) {
		return [];
	}

	const usage = readUsage(run);
	return [{type: 'checkpoint', run, minSize: {...run.size, memoryMb: Math.ceil(usage.memoryMb * memoryMargin)}}];
}
