/**
 * One round of scheduling: which queued jobs start where, which runs make room, and why the others wait.
 */
import {type TaskResources} from '@tamarackwind/clients';
import {workClasses} from '@tamarackwind/settings';
import {
	addResources, diffResources, explainMisfit, isAllowed, isWithin, type NodeRequest, type PlacementNode,
} from './nodes.js';
import {type Placement} from './placements.js';
import {type QuotaBook, type TeamUse} from './quotas.js';
import {planReclaim} from './reclaims.js';
import {isBackfill, reserveNode, type Reservation} from './reservations.js';
import {groupByKey} from './groups.js';

/** A job that waits. Times are monotonic, in milliseconds. */
export type QueuedJob = Omit<TeamUse, 'startedAt' | 'size'> & {
	readonly jobId: string;
	readonly request: NodeRequest;
	readonly queuedAt: number;
	readonly runMs: number;
	/** Time before which the job must not start, after a failure. */
	readonly notBefore: number;
};

/** A job that runs. */
export type PlannedRun = TeamUse & {
	readonly jobId: string;
	readonly vmId: string;
	readonly runMs: number;
	readonly evictions: number;
	/** Whether the run is being checkpointed and stopped already. */
	readonly isEvicting: boolean;
};

export type PlanInput = {
	readonly queue: readonly QueuedJob[];
	readonly runs: readonly PlannedRun[];
	readonly nodes: readonly PlacementNode[];
	readonly quotas: QuotaBook;
	readonly placement: Placement;
	readonly now: number;
	/** Most jobs to start. */
	readonly maxStarts: number;
	/** Big jobs at a time for which room is kept. */
	readonly maxReservations: number;
};

export type PlannedStart = {readonly jobId: string; readonly vmId: string; readonly size: TaskResources; readonly reason: string};

export type Plan = {
	readonly starts: PlannedStart[];
	/** Runs to checkpoint and stop. */
	readonly evictions: Array<{readonly run: PlannedRun; readonly reason: string}>;
	/** Why each other job waits. */
	readonly waits: Map<string, string>;
};

/** Wait after which a job goes before all but the urgent ones. */
const agedMs = 4 * 60 * 60 * 1000;

function rankClass(job: QueuedJob, now: number): number {
	const rank = workClasses.indexOf(job.workClass);
	return now - job.queuedAt > agedMs ? Math.min(rank, 0.5) : rank;
}

/** Orders the queue: urgent work, then work that has waited long, then by class, each in order of arrival. */
export function sortQueue(queue: readonly QueuedJob[], now: number): QueuedJob[] {
	return queue.toSorted((a, b) => rankClass(a, now) - rankClass(b, now) || a.queuedAt - b.queuedAt);
}

/** Plans one round; `nodes` and `quotas` are changed to what holds after it. */
export function planRound(input: PlanInput): Plan {
	const round = new Round(input);
	const borrowers = sortQueue(input.queue, input.now).filter(job => !round.placeEntitled(job));
	for (const job of borrowers.toSorted((a, b) => input.quotas.computeShare(a.team) - input.quotas.computeShare(b.team))) {
		round.placeBorrower(job);
	}

	return round.plan;
}

/** Text that is the same for requests that fit the same workers. */
export function buildRequestKey({size, spec, excludedVms}: NodeRequest): string {
	const {cores, memoryMb, accelerators} = size;
	return [cores, memoryMb, accelerators, spec.pool, spec.zones?.join(','), spec.racks?.join(','), [...excludedVms].join(',')].join(' ');
}

class Round {
	readonly plan: Plan = {starts: [], evictions: [], waits: new Map()};
	readonly #input: PlanInput;
	readonly #runs: PlannedRun[];
	readonly #runsByVm: Map<string, PlannedRun[]>;
	readonly #reservations = new Map<string, Reservation>();
	/** Requests that found no room; room only shrinks during a round. */
	readonly #failedRequests = new Set<string>();
	/** Why jobs of a team and class found no room to take back, by their request. */
	readonly #failedReclaims = new Map<string, string>();

	constructor(input: PlanInput) {
		this.#input = input;
		this.#runs = [...input.runs];
		this.#runsByVm = groupByKey(this.#runs, run => run.vmId);
	}

	/** Places a job that its team's quota covers, or says why it waits; gives `false` when the quota doesn't cover it. */
	placeEntitled(job: QueuedJob): boolean {
		if (this.#isHeldBack(job)) {
			return true;
		}

		if (!this.#input.quotas.isEntitled(job.team, job.request.size)) {
			return false;
		}

		if (!this.#tryStart(job, 'by right')) {
			this.#reclaimRoom(job);
		}

		return true;
	}

	/** Places a job beyond its team's quota, if what it borrows can be taken back. */
	placeBorrower(job: QueuedJob): void {
		if (!job.canCheckpoint) {
			this.plan.waits.set(job.jobId, `team "${job.team}" holds its quota, and a job that can't be checkpointed may not borrow`);
		} else if (!this.#tryStart(job, 'borrowed from other teams')) {
			this.plan.waits.set(job.jobId, `${this.#describeRoom(job)}; team "${job.team}" holds its quota`);
		}
	}

	#isHeldBack(job: QueuedJob): boolean {
		if (this.plan.starts.length >= this.#input.maxStarts) {
			this.plan.waits.set(job.jobId, 'other jobs go first; jobs are started in batches');
			return true;
		}

		if (job.notBefore > this.#input.now) {
			this.plan.waits.set(job.jobId, `pauses for ${Math.ceil(job.notBefore - this.#input.now)} ms after a failed run`);
			return true;
		}

		return false;
	}

	#tryStart(job: QueuedJob, right: string): boolean {
		const {placement, nodes, quotas, now} = this.#input;
		const key = buildRequestKey(job.request);
		if (this.plan.starts.length >= this.#input.maxStarts || this.#failedRequests.has(key)) {
			return false;
		}

		const open = this.#reservations.size === 0 ? nodes : nodes.filter(node => isBackfill(this.#reservations.get(node.vmId), job.runMs, now));
		const node = placement.chooseNode(job.request, open);
		if (node === undefined) {
			if (open === nodes) {
				this.#failedRequests.add(key);
			}

			return false;
		}

		const {size} = job.request;
		node.free = diffResources(node.free, size);
		quotas.add(job.team, size);
		this.#addRun(job, node.vmId);
		this.plan.starts.push({
			jobId: job.jobId, vmId: node.vmId, size, reason: `${placement.name} of ${nodes.length} workers, ${right}`,
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

	/** Waits for room that is being made, takes back what was lent, or reserves a worker. */
	#reclaimRoom(job: QueuedJob): void {
		const {nodes, now, maxReservations} = this.#input;
		const key = `${job.team} ${job.workClass} ${buildRequestKey(job.request)}`;
		const failed = this.#failedReclaims.get(key);
		if (failed !== undefined) {
			this.plan.waits.set(job.jobId, failed);
			return;
		}

		const pending = nodes.find(node => !this.#reservations.has(node.vmId) && this.#isRoomComing(job, node));
		if (pending !== undefined) {
			this.#reservations.set(pending.vmId, {jobId: job.jobId, vmId: pending.vmId, readyAt: now});
			this.plan.waits.set(job.jobId, `room is being made on ${pending.vmId}`);
			return;
		}

		const unreserved = nodes.filter(node => !this.#reservations.has(node.vmId));
		const reclaim = planReclaim(job, unreserved, this.#runs, this.#input.quotas);
		if (reclaim !== undefined) {
			this.#evict(job, reclaim.vmId, reclaim.victims);
			return;
		}

		const reason = explainMisfit(job.request, nodes) ?? this.#describeRoom(job);
		this.#failedReclaims.set(key, reason);
		this.plan.waits.set(job.jobId, reason);
		if (this.#reservations.size < maxReservations) {
			this.#reserve(job, unreserved);
		}
	}

	#isRoomComing(job: QueuedJob, node: PlacementNode): boolean {
		const evicting = this.#input.runs.filter(run => run.vmId === node.vmId && run.isEvicting);
		if (evicting.length === 0 || !isAllowed(job.request, node)) {
			return false;
		}

		let room = node.free;
		for (const run of evicting) {
			room = addResources(room, run.size);
		}

		return isWithin(job.request.size, room);
	}

	#evict(job: QueuedJob, vmId: string, victims: readonly PlannedRun[]): void {
		for (const run of victims) {
			this.plan.evictions.push({run, reason: `makes room for ${job.workClass} job "${job.jobId}" of team "${job.team}"`});
			this.#runs[this.#runs.indexOf(run)] = {...run, isEvicting: true};
			this.#input.quotas.remove(run.team, run.size);
		}

		this.#reservations.set(vmId, {jobId: job.jobId, vmId, readyAt: this.#input.now});
		this.plan.waits.set(job.jobId, `room is being made on ${vmId}`);
	}

	#reserve(job: QueuedJob, nodes: readonly PlacementNode[]): void {
		const reservation = reserveNode(job.jobId, job.request, nodes, this.#runsByVm, this.#input.now);
		if (reservation !== undefined) {
			this.#reservations.set(reservation.vmId, reservation);
			this.plan.waits.set(job.jobId, `${this.plan.waits.get(job.jobId)}; ${reservation.vmId} is kept for it`);
		}
	}

	#describeRoom({request}: QueuedJob): string {
		const {cores, memoryMb, accelerators} = request.size;
		return `none of ${this.#input.nodes.length} workers has ${cores.toFixed(1)} cores, ${memoryMb} MB and ${accelerators} accelerators free`;
	}
}
