/**
 * Turns rows into the input of a planning round, and finds the jobs that no worker could hold.
 */
import {type TaskResources} from '@tamarackwind/clients';
import {kindPolicies} from './kinds.js';
import {type JobChange} from './ledgers.js';
import {explainMisfit, isWithin, type NodeRequest} from './nodes.js';
import {type Placement} from './placements.js';
import {
	buildRequestKey, planRound, type Plan, type PlannedRun, type QueuedJob,
} from './plans.js';
import {noTeam, QuotaBook} from './quotas.js';
import {type Run} from './runs.js';
import {type JobRow} from './schemas.js';
import {type FleetSnapshot} from './snapshots.js';
import {type Estimate, type UsageModel} from './usages.js';

export type TurnInput = {
	readonly snapshot: FleetSnapshot;
	/** Open jobs that were not cancelled. */
	readonly rows: readonly JobRow[];
	readonly usage: UsageModel;
	readonly placement: Placement;
	readonly maxStarts: number;
	/** Monotonic times before which jobs must not start. */
	readonly notBefore: ReadonlyMap<string, number>;
	readonly getRun: (jobId: string) => Run | undefined;
	/** Monotonic time. */
	readonly now: number;
	readonly wallNow: number;
};

export type Turn = {readonly plan: Plan; readonly misfits: readonly JobChange[]};

/** Time for which a job that fits nowhere waits for the fleet to change. */
const misfitGraceMs = 60 * 60 * 1000;
const maxReservations = 2;

/** Plans one turn of the scheduler. */
export function planTurn(input: TurnInput): Turn {
	const {snapshot} = input;
	const quotas = QuotaBook.create(snapshot.quotas, snapshot.capacity);
	const runs = input.rows.flatMap(row => buildRun(input, row) ?? []);
	for (const run of runs) {
		quotas.add(run.team, run.size);
	}

	const checkMisfit = createMisfitCheck(snapshot);
	const queued = input.rows.filter(row => row.state === 'queued').map(row => buildQueuedJob(input, row));
	const misfits = queued.flatMap(({row, job}) => buildMisfitChange(row, checkMisfit(job.request), input.wallNow) ?? []);
	const plan = planRound({
		queue: queued.map(({job}) => job), runs, nodes: snapshot.openNodes, quotas, placement: input.placement, now: input.now, maxStarts: input.maxStarts, maxReservations,
	});
	const ended = new Set(misfits.filter(({fields}) => fields.state !== undefined).map(({jobId}) => jobId));
	return {plan: {...plan, starts: plan.starts.filter(({jobId}) => !ended.has(jobId))}, misfits};
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
	const job: QueuedJob = {
		jobId: row.jobId,
		team: row.team ?? noTeam,
		workClass: row.spec.workClass,
		request: {size: chooseSize(row, estimate, snapshot), spec: row.spec, excludedVms: new Set(row.failedVms)},
		queuedAt: now - Math.max(0, wallNow - row.submittedAt),
		runMs: estimate.runMs,
		canCheckpoint: kindPolicies[row.spec.kind].canCheckpoint,
		notBefore: notBefore.get(row.jobId) ?? 0,
	};
	return {row, job};
}

/** Takes the estimate, or the declaration when only that fits a worker; never less than a run is known to need. */
function chooseSize(row: JobRow, {cores, memoryMb, accelerators}: Estimate, {allNodes}: FleetSnapshot): TaskResources {
	const declared = {cores: row.spec.cores, memoryMb: row.spec.memoryMb, accelerators: row.spec.accelerators};
	const estimate = {cores, memoryMb, accelerators};
	const isEstimateUsable = allNodes.some(node => isWithin(estimate, node.capacity));
	const size = isEstimateUsable ? estimate : declared;
	const least = row.minSize ?? size;
	const grown = {cores: Math.max(size.cores, least.cores), memoryMb: Math.max(size.memoryMb, least.memoryMb), accelerators};
	return allNodes.some(node => isWithin(grown, node.capacity)) ? grown : size;
}

/** Checks against the whole fleet, once for each distinct request. */
function createMisfitCheck({allNodes}: FleetSnapshot): (request: NodeRequest) => string | undefined {
	const known = new Map<string, string | undefined>();
	return request => {
		const whole = {...request, excludedVms: new Set<string>()};
		const key = buildRequestKey(whole);
		if (!known.has(key)) {
			known.set(key, explainMisfit(whole, allNodes));
		}

		return known.get(key);
	};
}

function buildMisfitChange({jobId, unplaceableSince}: JobRow, misfit: string | undefined, now: number): JobChange | undefined {
	if (misfit === undefined) {
		return unplaceableSince === undefined ? undefined : {jobId, fields: {unplaceableSince: undefined, reason: 'a worker that can hold the job is back'}};
	}

	if (unplaceableSince === undefined) {
		return {jobId, fields: {unplaceableSince: now, reason: misfit}};
	}

	return now - unplaceableSince > misfitGraceMs ? {jobId, fields: {state: 'unplaceable', reason: misfit, endedAt: now}} : undefined;
}
