/**
 * Reclaiming: which runs to checkpoint so that a job gets the room that is its team's by right.
 */
import {workClasses} from '@tamarackwind/settings';
import {
	addResources, isAllowed, isWithin, type PlacementNode,
} from './nodes.js';
import {type PlannedRun, type QueuedJob} from './plans.js';
import {compareForReclaim, type QuotaBook} from './quotas.js';

/** Runs to checkpoint on one worker. */
export type Reclaim = {readonly vmId: string; readonly victims: readonly PlannedRun[]};

/** Evictions after which a more urgent job of the same team no longer displaces a run. */
const maxDisplacements = 3;

function isDisplaceable(run: PlannedRun, job: QueuedJob): boolean {
	return run.team === job.team
		&& run.evictions < maxDisplacements
		&& workClasses.indexOf(run.workClass) > workClasses.indexOf(job.workClass);
}

/** Takes runs in the order of `compareForReclaim` until one worker would have room for the job. */
export function planReclaim(job: QueuedJob, nodes: readonly PlacementNode[], runs: readonly PlannedRun[], quotas: QuotaBook): Reclaim | undefined {
	const rooms = new Map(nodes.filter(node => isAllowed(job.request, node)).map(node => [node.vmId, node.free]));
	const candidates = runs.filter(run => run.canCheckpoint && !run.isEvicting && rooms.has(run.vmId)).toSorted(compareForReclaim);
	const taken: PlannedRun[] = [];
	let reclaim: Reclaim | undefined;
	for (const run of candidates) {
		if (!quotas.isBorrowing(run.team) && !isDisplaceable(run, job)) {
			continue;
		}

		quotas.remove(run.team, run.size);
		taken.push(run);
		const room = addResources(rooms.get(run.vmId)!, run.size);
		rooms.set(run.vmId, room);
		if (isWithin(job.request.size, room)) {
			reclaim = {vmId: run.vmId, victims: taken.filter(victim => victim.vmId === run.vmId)};
			break;
		}
	}

	for (const run of taken) {
		quotas.add(run.team, run.size);
	}

	return reclaim;
}
