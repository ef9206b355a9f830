/**
 * Plans one scheduling round: which queued jobs start on which workers, which runs are evicted, and why the other jobs wait.
 */
import {type TaskResources} from '@tamarackwind/clients';
import {workClasses} from '@tamarackwind/settings';
import {
	addResources, diffResources, explainUnplaceable, isAllowed, isWithin, type NodeRequest, type PlacementNode,
} from './nodes.js';
import {type PlacementStrategy} from './placements.js';
import {type QuotaUsage, type TeamAllocation} from './quotas.js';
import {planReclaim} from './reclaims.js';
import {isBackfill, reserveNode, type Reservation} from './reservations.js';
import {groupByKey} from './groups.js';

/** A queued job. Times are monotonic, in milliseconds. */
export type QueuedJob = Omit<TeamAllocation, 'startedAt' | 'size'> & {
	readonly jobId: string;
	readonly request: NodeRequest;
	readonly queuedAt: number;
	readonly runMs: number;
	/** Time before which the job must not restart after a failure. */
	readonly notBefore: number;
};

/** A running job. */
export type PlannedRun = TeamAllocation & {
	readonly jobId: string;
	readonly vmId: string;
	readonly runMs: number;
	readonly evictions: number;
	/** Whether the run is already being checkpointed and stopped. */
	readonly isEvicting: boolean;
};

export type RoundInput = {
	readonly queue: readonly QueuedJob[];
	readonly runs: readonly PlannedRun[];
	readonly nodes: readonly PlacementNode[];
	readonly quotas: QuotaUsage;
	readonly placement: PlacementStrategy;
	readonly now: number;
	/** Maximum number of jobs to start in this round. */
	readonly maxStarts: number;
	/** Maximum number of jobs for which capacity is reserved at a time. */
	readonly maxReservations: number;
};

export type PlannedStart = {readonly jobId: string; readonly vmId: string; readonly size: TaskResources; readonly reason: string};

export type Plan = {
	readonly starts: PlannedStart[];
	/** Runs to checkpoint and stop. */
	readonly evictions: Array<{readonly run: PlannedRun; readonly reason: string}>;
	/** Reason for which a job waits, by job. */
	readonly waitReasons: Map<string, string>;
};

/** Waiting time after which a job precedes all but urgent jobs, in milliseconds. */
const agingThresholdMs = 4 * 60 * 60 * 1000;

function rankClass(job: QueuedJob, now: number): number {
	const rank = workClasses.indexOf(job.workClass);
	return now - job.queuedAt > agingThresholdMs ? Math.min(rank, 0.5) : rank;
}

/** Sorts the queue: urgent jobs, then jobs past the aging threshold, then by class, each in order of arrival. */
export function sortQueue(queue: readonly QueuedJob[], now: number): QueuedJob[] {
	return queue.toSorted((a, b) => rankClass(a, now) - rankClass(b, now) || a.queuedAt - b.queuedAt);
}

/** Plans one round; updates `nodes` and `quotas` to the state after it. */
export function planRound(input: RoundInput): Plan {
	const round = new PlanningRound(input);
	const borrowers = sortQueue(input.queue, input.now).filter(job => !round.placeEntitled(job));
	for (const job of borrowers.toSorted((a, b) => input.quotas.computeShare(a.team) - input.quotas.computeShare(b.team))) {
		round.placeBorrower(job);
	}

	return round.plan;
}

/** Builds a key that is equal for requests with the same size and constraints. */
export function buildRequestKey({size, spec, excludedVms}: NodeRequest): string {
	const {cores, memoryMb, accelerators} = size;
	return [cores, memoryMb, accelerators, spec.pool, spec.zones?.join(','), spec.racks?.join(','), [...excludedVms].join(',')].join(' ');
}

class PlanningRound {
	readonly plan: Plan = {starts: [], evictions: [], waitReasons: new Map()};
	readonly #input: RoundInput;
	readonly #runs: PlannedRun[];
	readonly #runsByVm: Map<string, PlannedRun[]>;
	readonly #reservations = new Map<string, Reservation>();
	/** Requests without a suitable node; free capacity only shrinks during a round. */
	readonly #failedRequests = new Set<string>();
	/** Reason for which no capacity could be reclaimed, by team, class and request. */
	readonly #failedReclaims = new Map<string, string>();

	constructor(input: RoundInput) {
		this.#input = input;
		this.#runs = [...input.runs];
		this.#runsByVm = groupByKey(this.#runs, run => run.vmId);
	}

	/** Places a job within its team's quota or records why it waits; returns `false` if the quota does not cover the job. */
	placeEntitled(job: QueuedJob): boolean {
		if (this.#isDeferred(job)) {
			return true;
		}

		if (!this.#input.quotas.isEntitled(job.team, job.request.size)) {
			return false;
		}

		if (!this.#tryStart(job, 'by right')) {
			this.#reclaimCapacity(job);
		}

		return true;
	}

	/** Places a job beyond its team's quota if the borrowed capacity can be reclaimed. */
	placeBorrower(job: QueuedJob): void {
		if (!job.canCheckpoint) {
			this.plan.waitReasons.set(job.jobId, `team "${job.team}" holds its quota, and a job that can't be checkpointed may not borrow`);
		} else if (!this.#tryStart(job, 'borrowed from other teams')) {
			this.plan.waitReasons.set(job.jobId, `${this.#describeShortage(job)}; team "${job.team}" holds its quota`);
		}
	}

	#isDeferred(job: QueuedJob): boolean {
		if (this.plan.starts.length >= this.#input.maxStarts) {
			this.plan.waitReasons.set(job.jobId, 'other jobs go first; jobs are started in batches');
			return true;
		}

		if (job.notBefore > this.#input.now) {
			this.plan.waitReasons.set(job.jobId, `pauses for ${Math.ceil(job.notBefore - this.#input.now)} ms after a failed run`);
			return true;
		}

		return false;
	}

	#tryStart(job: QueuedJob, entitlement: string): boolean {
		const {placement, nodes, quotas, now} = this.#input;
		const key = buildRequestKey(job.request);
		if (this.plan.starts.length >= this.#input.maxStarts || this.#failedRequests.has(key)) {
			return false;
		}

		const openNodes = this.#reservations.size === 0 ? nodes : nodes.filter(node => isBackfill(this.#reservations.get(node.vmId), job.runMs, now));
		const node = placement.chooseNode(job.request, openNodes);
		if (node === undefined) {
			if (openNodes === nodes) {
				this.#failedRequests.add(key);
			}

			return false;
		}

		const {size} = job.request;
		node.free = diffResources(node.free, size);
		quotas.add(job.team, size);
		this.#addRun(job, node.vmId);
		this.plan.starts.push({
			jobId: job.jobId, vmId: node.vmId, size, reason: `${placement.name} of ${nodes.length} workers, ${entitlement}`,
		});
		return true;
	}

	#addRun(job: QueuedJob, vmId: string): void {
		const run: PlannedRun = {
			...job, vmId, size: job.request.size, startedAt: this.#input.now, evictions: 0, isEvicting: true,
		};
		this.#runs.push(run);
		this.#runsByVm.set(vmId, [...this.#runsByVm.get(vmId) ?? [], run]);
	}

	/** Assigns pending capacity to a job, reclaims borrowed capacity, or reserves a worker. */
	#reclaimCapacity(job: QueuedJob): void {
		const {nodes, now, maxReservations} = this.#input;
		const key = `${job.team} ${job.workClass} ${buildRequestKey(job.request)}`;
		const knownReason = this.#failedReclaims.get(key);
		if (knownReason !== undefined) {
			this.plan.waitReasons.set(job.jobId, knownReason);
			return;
		}

		const pending = nodes.find(node => !this.#reservations.has(node.vmId) && this.#isCapacityPending(job, node));
		if (pending !== undefined) {
			this.#reservations.set(pending.vmId, {jobId: job.jobId, vmId: pending.vmId, readyAt: now});
			this.plan.waitReasons.set(job.jobId, `room is being made on ${pending.vmId}`);
			return;
		}

		const unreserved = nodes.filter(node => !this.#reservations.has(node.vmId));
		const reclaim = planReclaim(job, unreserved, this.#runs, this.#input.quotas);
		if (reclaim !== undefined) {
			this.#evict(job, reclaim.vmId, reclaim.victims);
			return;
		}

		const reason = explainUnplaceable(job.request, nodes) ?? this.#describeShortage(job);
		this.#failedReclaims.set(key, reason);
		this.plan.waitReasons.set(job.jobId, reason);
		if (this.#reservations.size < maxReservations) {
			this.#reserve(job, unreserved);
		}
	}

	#isCapacityPending(job: QueuedJob, node: PlacementNode): boolean {
		const evicting = this.#input.runs.filter(run => run.vmId === node.vmId && run.isEvicting);
		if (evicting.length === 0 || !isAllowed(job.request, node)) {
			return false;
		}

		let available = node.free;
		for (const run of evicting) {
			available = addResources(available, run.size);
		}

		return isWithin(job.request.size, available);
	}

	#evict(job: QueuedJob, vmId: string, victims: readonly PlannedRun[]): void {
		for (const run of victims) {
			this.plan.evictions.push({run, reason: `makes room for ${job.workClass} job "${job.jobId}" of team "${job.team}"`});
			this.#runs[this.#runs.indexOf(run)] = {...run, isEvicting: true};
			this.#input.quotas.remove(run.team, run.size);
		}

		this.#reservations.set(vmId, {jobId: job.jobId, vmId, readyAt: this.#input.now});
		this.plan.waitReasons.set(job.jobId, `room is being made on ${vmId}`);
	}

	#reserve(job: QueuedJob, nodes: readonly PlacementNode[]): void {
		const reservation = reserveNode(job.jobId, job.request, nodes, this.#runsByVm, this.#input.now);
		if (reservation !== undefined) {
			this.#reservations.set(reservation.vmId, reservation);
			this.plan.waitReasons.set(job.jobId, `${this.plan.waitReasons.get(job.jobId)}; ${reservation.vmId} is kept for it`);
		}
	}

	#describeShortage({request}: QueuedJob): string {
		const {cores, memoryMb, accelerators} = request.size;
		return `none of ${this.#input.nodes.length} workers has ${cores.toFixed(1)} cores, ${memoryMb} MB and ${accelerators} accelerators free`;
	}
}
