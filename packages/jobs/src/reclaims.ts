/**
 * Plans which runs to evict so that a job gets capacity that its team is entitled to.
 */
import {workClasses} from '@tamarackwind/settings';
import {
	addResources, isAllowed, isWithin, type PlacementNode,
} from './nodes.js';
import {type PlannedRun, type QueuedJob} from './scheduling-rounds.js';
import {compareForReclaim, type QuotaUsage} from './quotas.js';

/** Runs to evict from one worker. */
export type Reclaim = {readonly vmId: string; readonly victims: readonly PlannedRun[]};

/** Evictions after which a more urgent job of the same team no longer evicts a run. */
const maxEvictions = 3;

function isPreemptible(run: PlannedRun, job: QueuedJob): boolean {
	return run.team === job.team
		&& run.evictions < maxEvictions
		&& workClasses.indexOf(run.workClass) > workClasses.indexOf(job.workClass);
}

/** Selects runs in the order of `compareForReclaim` until one worker would have enough free capacity for the job. */
export function planReclaim(job: QueuedJob, nodes: readonly PlacementNode[], runs: readonly PlannedRun[], quotas: QuotaUsage): Reclaim | undefined {
	const freeByVm = new Map(nodes.filter(node => isAllowed(job.request, node)).map(node => [node.vmId, node.free]));
	const candidates = runs.filter(run => run.canCheckpoint && !run.isEvicting && freeByVm.has(run.vmId)).toSorted(compareForReclaim);
	const selected: PlannedRun[] = [];
	let reclaim: Reclaim | undefined;
	for (const run of candidates) {
		if (!quotas.isBorrowing(run.team) && !isPreemptible(run, job)) {
			continue;
		}

		quotas.remove(run.team, run.size);
		selected.push(run);
		const free = addResources(freeByVm.get(run.vmId)!, run.size);
		freeByVm.set(run.vmId, free);
		if (isWithin(job.request.size, free)) {
			reclaim = {vmId: run.vmId, victims: selected.filter(victim => victim.vmId === run.vmId)};
			break;
		}
	}

	for (const run of selected) {
		quotas.add(run.team, run.size);
	}

	return reclaim;
}
