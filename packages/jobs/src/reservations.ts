/**
 * Reserves a worker for a large job until enough of the worker's runs have ended.
 */
import {
	addResources, isAllowed, isWithin, type NodeRequest, type PlacementNode,
} from './nodes.js';
import {type PlannedRun} from './scheduling-rounds.js';

/** A worker reserved for a job. */
export type Reservation = {
	readonly jobId: string;
	readonly vmId: string;
	/** Monotonic time at which the worker is expected to have enough free capacity. */
	readonly readyAt: number;
};

/** Fraction of the expected run time by which the expected end of an overdue run is extended. */
const overdueFraction = 0.1;

/** Computes the time at which a run is expected to end; extends it if the run is overdue. */
function computeExpectedEnd(run: PlannedRun, now: number): number {
	const end = run.startedAt + run.runMs;
	return end > now ? end : now + (run.runMs * overdueFraction);
}

function computeReadyAt(request: NodeRequest, node: PlacementNode, runs: readonly PlannedRun[], now: number): number {
	let available = node.free;
	const ends = runs.map(run => ({size: run.size, end: computeExpectedEnd(run, now)})).toSorted((a, b) => a.end - b.end);
	for (const {size, end} of ends) {
		available = addResources(available, size);
		if (isWithin(request.size, available)) {
			return end;
		}
	}

	return Infinity;
}

/** Reserves the worker that is expected to be the first with enough free capacity for the job. */
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

/** Reports whether a job would end on a worker before the worker's reservation, if any, takes effect. */
export function isBackfill(reservation: Reservation | undefined, runMs: number, now: number): boolean {
	return reservation === undefined || now + runMs <= reservation.readyAt;
}
