/**
 * Reservations: room that is kept for a big job until enough of a worker's runs have ended.
 */
import {
	addResources, isAllowed, isWithin, type NodeRequest, type PlacementNode,
} from './nodes.js';
import {type PlannedRun} from './plans.js';

/** Room kept for a job. */
export type Reservation = {
	readonly jobId: string;
	readonly vmId: string;
	/** Monotonic time at which the room is expected. */
	readonly readyAt: number;
};

/** Part of its expected run time that an overdue run is given further. */
const overdueFraction = 0.1;

/** Time at which a run is expected to end; an overdue one is given some more. */
function computeExpectedEnd(run: PlannedRun, now: number): number {
	const end = run.startedAt + run.runMs;
	return end > now ? end : now + (run.runMs * overdueFraction);
}

function computeReadyAt(request: NodeRequest, node: PlacementNode, runs: readonly PlannedRun[], now: number): number {
	let room = node.free;
	const ends = runs.map(run => ({size: run.size, end: computeExpectedEnd(run, now)})).toSorted((a, b) => a.end - b.end);
	for (const {size, end} of ends) {
		room = addResources(room, size);
		if (isWithin(request.size, room)) {
			return end;
		}
	}

	return Infinity;
}

/** Reserves the worker that is expected to have room for the job first. */
export function reserveNode(jobId: string, request: NodeRequest, nodes: readonly PlacementNode[], runsByVm: ReadonlyMap<string, readonly PlannedRun[]>, now: number): Reservation | undefined {
	let best: Reservation | undefined;
	for (const node of nodes) {
		if (!isAllowed(request, node) || !isWithin(request.size, node.capacity)) {
			continue;
		}

		const readyAt = computeReadyAt(request, node, runsByVm.get(node.vmId) ?? [], now);
		if (readyAt < (best?.readyAt ?? Infinity)) {
			best = {jobId, vmId: node.vmId, readyAt};
		}
	}

	return best;
}

/** Tells whether a job would have left a reserved worker before the room is needed. */
export function isBackfill(reservation: Reservation | undefined, runMs: number, now: number): boolean {
	return reservation === undefined || now + runMs <= reservation.readyAt;
}
