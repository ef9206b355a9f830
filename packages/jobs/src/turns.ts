/**
 * Plans one scheduling turn: builds the input of a planning round from job rows, and finds jobs that no worker can hold.
 */
import {type TaskResources} from '@tamarackwind/clients';
import {kindPolicies} from './kinds.js';
import {type JobChange} from './job-stores.js';
import {explainUnplaceable, isWithin, type NodeRequest} from './nodes.js';
import {type PlacementStrategy} from './placements.js';
import {
	buildRequestKey, planRound, type Plan, type PlannedRun, type QueuedJob,
} from './scheduling-rounds.js';
import {noTeam, QuotaUsage} from './quotas.js';
import {type Run} from './run-monitors.js';
import {type JobRow} from './schemas.js';
import {type PlacementSnapshot} from './snapshots.js';
import {type Estimate, type UsageModel} from './usages.js';

export type TurnInput = {
	readonly snapshot: PlacementSnapshot;
	/** Open jobs that are not cancelled. */
	readonly rows: readonly JobRow[];
	readonly usage: UsageModel;
	readonly placement: PlacementStrategy;
	readonly maxStarts: number;
	/** Monotonic times before which jobs must not start, by job. */
	readonly notBefore: ReadonlyMap<string, number>;
	readonly getRun: (jobId: string) => Run | undefined;
	/** Monotonic time. */
	readonly now: number;
	readonly wallNow: number;
};

export type TurnPlan = {readonly plan: Plan; readonly unplaceableChanges: readonly JobChange[]};

/** Time for which an unplaceable job waits for a change of the fleet before it ends, in milliseconds. */
const unplaceableGraceMs = 60 * 60 * 1000;
const maxReservations = 2;

/** Plans one turn of the scheduler. */
export function planTurn(input: TurnInput): TurnPlan {
	const {snapshot} = input;
	const quotas = QuotaUsage.create(snapshot.quotas, snapshot.capacity);
	const runs = input.rows.flatMap(row => buildRun(input, row) ?? []);
	for (const run of runs) {
		quotas.add(run.team, run.size);
	}

	const checkPlacement = createPlacementCheck(snapshot);
	const queued = input.rows.filter(row => row.state === 'queued').map(row => buildQueuedJob(input, row));
	const unplaceableChanges = queued.flatMap(({row, job}) => buildUnplaceableChange(row, checkPlacement(job.request), input.wallNow) ?? []);
	const plan = planRound({
		queue: queued.map(({job}) => job), runs, nodes: snapshot.openNodes, quotas, placement: input.placement, now: input.now, maxStarts: input.maxStarts, maxReservations,
	});
	const ended = new Set(unplaceableChanges.filter(({fields}) => fields.state !== undefined).map(({jobId}) => jobId));
	return {plan: {...plan, starts: plan.starts.filter(({jobId}) => !ended.has(jobId))}, unplaceableChanges};
}

function buildRun({getRun, usage}: TurnInput, row: JobRow): PlannedRun | undefined {
	const run = getRun(row.jobId);
	if (run === undefined) {
		return undefined;
	}

	return {
		jobId: row.jobId,
		vmId: run.task.vmId,
		team: row.team ?? noTeam,
		workClass: row.spec.workClass,
		size: run.size,
		startedAt: run.startedAt,
		runMs: usage.computeEstimate(row.spec, row.caller).runMs,
		canCheckpoint: kindPolicies[row.spec.kind].canCheckpoint,
		evictions: row.evictions,
		isEvicting: run.isEvicting || run.isCancelled,
	};
}

function buildQueuedJob({usage, notBefore, now, wallNow, snapshot}: TurnInput, row: JobRow): {readonly row: JobRow; readonly job: QueuedJob} {
	const estimate = usage.computeEstimate(row.spec, row.caller);
	const size = chooseSize(row, estimate, snapshot);
	const job: QueuedJob = {
		jobId: row.jobId,
		team: row.team ?? noTeam,
		workClass: row.spec.workClass,
		request: {size, spec: row.spec, excludedVms: listExcludedVms(row, size, snapshot)},
		queuedAt: now - Math.max(0, wallNow - row.submittedAt),
		runMs: estimate.runMs,
		canCheckpoint: kindPolicies[row.spec.kind].canCheckpoint,
		notBefore: notBefore.get(row.jobId) ?? 0,
	};
	return {row, job};
}

/** Lists the workers on which a job has failed, unless no other worker can hold it: it is tried there again, and its next failure ends it. */
function listExcludedVms({spec, failedVms}: JobRow, size: TaskResources, {allNodes}: PlacementSnapshot): Set<string> {
	const excludedVms = new Set(failedVms);
	const isFailedEverywhere = failedVms.length > 0 && explainUnplaceable({size, spec, excludedVms}, allNodes) !== undefined;
	return isFailedEverywhere ? new Set() : excludedVms;
}

/** Chooses the estimate if it fits some worker, else the declared size; raises it to the minimum size of the row if that fits. */
function chooseSize(row: JobRow, {cores, memoryMb, accelerators}: Estimate, {allNodes}: PlacementSnapshot): TaskResources {
	const declared = {cores: row.spec.cores, memoryMb: row.spec.memoryMb, accelerators: row.spec.accelerators};
	const estimate = {cores, memoryMb, accelerators};
	const isEstimateUsable = allNodes.some(node => isWithin(estimate, node.capacity));
	const size = isEstimateUsable ? estimate : declared;
	const minSize = row.minSize ?? size;
	const raised = {cores: Math.max(size.cores, minSize.cores), memoryMb: Math.max(size.memoryMb, minSize.memoryMb), accelerators};
	return allNodes.some(node => isWithin(raised, node.capacity)) ? raised : size;
}

/** Creates a function that explains why no worker can hold a request; it caches results by request. */
function createPlacementCheck({allNodes}: PlacementSnapshot): (request: NodeRequest) => string | undefined {
	const reasons = new Map<string, string | undefined>();
	return request => {
		const withoutExclusions = {...request, excludedVms: new Set<string>()};
		const key = buildRequestKey(withoutExclusions);
		if (!reasons.has(key)) {
			reasons.set(key, explainUnplaceable(withoutExclusions, allNodes));
		}

		return reasons.get(key);
	};
}

function buildUnplaceableChange({jobId, unplaceableSince}: JobRow, reason: string | undefined, now: number): JobChange | undefined {
	if (reason === undefined) {
		return unplaceableSince === undefined ? undefined : {jobId, fields: {unplaceableSince: undefined, reason: 'a worker that can hold the job is back'}};
	}

	if (unplaceableSince === undefined) {
		return {jobId, fields: {unplaceableSince: now, reason}};
	}

	return now - unplaceableSince > unplaceableGraceMs ? {jobId, fields: {state: 'unplaceable', reason, endedAt: now}} : undefined;
}
