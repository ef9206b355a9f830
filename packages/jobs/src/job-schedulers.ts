/**
 * Schedules jobs in periodic turns, on the entry that holds the scheduler lease.
 */
import {type Clock, type Log, type RandomSource} from '@tamarackwind/core';
import {
	type ObjectStore, type TableService, type TaskControl, type TaskResources, type VmRecord,
} from '@tamarackwind/clients';
import {WorkerActions} from './worker-actions.js';
import {type JobSchedulerLease} from './job-scheduler-leases.js';
import {WorkerFailureTracker} from './failure-trackers.js';
import {explainJobRow} from './explanations.js';
import {PlacementSnapshot} from './snapshots.js';
import {JobInbox} from './inboxes.js';
import {kindPolicies} from './kinds.js';
import {maxBatchJobs, JobStore, type JobChange} from './job-stores.js';
import {planOverruns} from './overruns.js';
import {createPlacementNode, explainUnplaceable} from './nodes.js';
import {BestFitPlacement, type PlacementStrategy} from './placements.js';
import {type Plan} from './scheduling-rounds.js';
import {
	buildHoldKey, cancelsKey, jobTables, type Hold,
} from './rows.js';
import {isPossiblyRunning, RunMonitor, type Run} from './run-monitors.js';
import {type JobRow} from './schemas.js';
import {resolveRun, type JobTransition} from './job-transitions.js';
import {planTurn} from './turns.js';
import {buildUsageKey, UsageModel, type UsageHistory} from './usages.js';
import {groupByKey} from './groups.js';

export type JobSchedulerOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Log;
	readonly tables: TableService;
	readonly objects: ObjectStore;
	readonly tasks: TaskControl;
	readonly schedulerLease: JobSchedulerLease;
	/** Returns the workers of the platform's VM list, in any state; empty before the first read. */
	readonly listWorkers: () => readonly VmRecord[];
	/** Returns the quotas by team; if there are none, every job is entitled to run. */
	readonly readQuotas: () => ReadonlyMap<string, TaskResources>;
	readonly placement?: PlacementStrategy;
	/** Duration of a task's lease, in milliseconds. */
	readonly leaseMs?: number;
	/** Maximum difference between the clocks of two VMs, in milliseconds. */
	readonly clockBoundMs?: number;
};

const defaultLeaseMs = 30_000;
const defaultClockBoundMs = 1000;
/** Maximum number of starts per turn. The limit begins at `initialStartLimit`, doubles each turn up to this maximum, and is reset after a failed turn. */
const maxStartsPerTurn = 40;
const initialStartLimit = 5;
/** Maximum number of transactions per turn for each kind of job change. */
const maxBatchesPerTurn = 10;
/** Maximum number of attempts per turn to commit the starts. The limit bounds the age of the plan on which the starts are based. */
const maxStartAttempts = 5;
const maxRestartDelayMs = 60_000;
const baseRestartDelayMs = 500;

/**
 * Schedules jobs while the scheduler lease is held. `runTurn` requires the tables; `renewRuns` works without them.
 */
export class JobScheduler {
	static create(options: JobSchedulerOptions): JobScheduler {
		return new JobScheduler(options);
	}

	readonly #options: JobSchedulerOptions;
	readonly #store: JobStore;
	readonly #inbox: JobInbox;
	readonly #monitor: RunMonitor;
	readonly #actions: WorkerActions;
	readonly #placement: PlacementStrategy;
	#usage = UsageModel.create();
	#failureTracker = WorkerFailureTracker.create();
	#lastPlan: Plan | undefined;
	#loadedEpoch: number | undefined;
	#startLimit = initialStartLimit;
	readonly #notBefore = new Map<string, number>();
	readonly #counts = {
		starts: 0, evictions: 0, throttles: 0, restarts: 0, mayHaveRun: 0,
	};

	private constructor(options: JobSchedulerOptions) {
		const {leaseMs = defaultLeaseMs, clockBoundMs = defaultClockBoundMs} = options;
		this.#options = options;
		this.#placement = options.placement ?? BestFitPlacement.create();
		this.#store = JobStore.create(options);
		this.#inbox = JobInbox.create({...options, store: this.#store, explainJob: jobId => this.explainJob(jobId)});
		this.#monitor = RunMonitor.create({...options, leaseMs, clockBoundMs});
		this.#actions = WorkerActions.create({...options, leaseMs});
	}

	/** Counters since the start of this entry, and current numbers of jobs, runs and workers set aside. */
	get counts(): Readonly<Record<'starts' | 'evictions' | 'throttles' | 'restarts' | 'mayHaveRun' | 'queued' | 'running' | 'setAside' | 'reads' | 'commits' | 'failedCalls', number>> {
		const jobs = this.#store.listJobs();
		return {
			...this.#counts,
			queued: jobs.filter(row => row.state === 'queued').length,
			running: this.#monitor.listRuns().length,
			setAside: this.#listSetAside().length,
			reads: this.#store.counts.reads + this.#inbox.reads,
			commits: this.#store.counts.commits,
			failedCalls: this.#actions.failures,
		};
	}

	/** Observes the runs and renews their leases. */
	async renewRuns(): Promise<void> {
		await this.#monitor.renewRuns();
	}

	/** Waits until the calls to workers that are in progress end. */
	async flush(): Promise<void> {
		await this.#actions.flush();
	}

	/** Explains why a job waits, or where it was placed and why. */
	explainJob(jobId: string): string {
		const row = this.#store.findRow(jobId);
		return row === undefined ? `job "${jobId}" is not open` : explainJobRow(row, this.#lastPlan?.waitReasons.get(jobId), this.#inbox.isCancelled(jobId));
	}

	/** Reads the inbox, updates jobs from their runs, and starts jobs. */
	async runTurn(): Promise<void> {
		const {schedulerLease} = this.#options;
		if (!schedulerLease.isHeld()) {
			return;
		}

		try {
			await this.#loadState(schedulerLease.epoch!);
			await this.#store.readUncertain();
			await this.#inbox.readInbox();
			await this.#resolveRuns();
			await this.#cancelJobs();
			await this.#inbox.deleteCompleted();
			this.#checkOverruns();
			await this.#startJobs();
			this.#startLimit = Math.min(maxStartsPerTurn, this.#startLimit * 2);
		} catch (error) {
			this.#startLimit = initialStartLimit;
			throw error;
		}
	}

	/** Reloads all state if this entry has acquired the scheduler lease since the last turn. */
	async #loadState(epoch: number): Promise<void> {
		if (this.#loadedEpoch === epoch) {
			return;
		}

		this.#inbox.clear();
		this.#monitor.clear();
		this.#notBefore.clear();
		this.#usage = UsageModel.create();
		this.#failureTracker = WorkerFailureTracker.create();
		for (const row of await this.#options.tables.listRows(jobTables.usage)) {
			this.#usage.loadHistory(row.key, row.value as UsageHistory);
		}

		await this.#store.loadJobs();
		for (const row of this.#store.listJobs()) {
			this.#restoreJob(row);
		}

		this.#loadedEpoch = epoch;
		this.#options.log.info('job scheduling taken over', {epoch, jobs: this.#store.listJobs().length, runs: this.#monitor.listRuns().length});
	}

	#restoreJob(row: JobRow): void {
		if (row.state !== 'queued') {
			this.#monitor.addRun(row, true);
		}

		for (const vmId of row.failedVms) {
			this.#failureTracker.recordFailure(vmId, row.jobId);
		}
	}

	async #resolveRuns(): Promise<void> {
		const vms = new Map(this.#options.listWorkers().map(vm => [vm.vmId, vm]));
		const transitions = this.#monitor.listRuns().flatMap(run => {
			const row = this.#store.getJob(run.task.taskId);
			const transition = row === undefined ? undefined : this.#resolveRun(row, run, vms);
			return transition === undefined ? [] : [{row: row!, run, transition}];
		});
		for (let start = 0; start < transitions.length && start < maxBatchJobs * maxBatchesPerTurn; start += maxBatchJobs) {
			const batch = transitions.slice(start, start + maxBatchJobs);
			if (await this.#store.commitChanges(batch.map(item => this.#buildChange(item)))) {
				for (const item of batch) {
					this.#applyTransition(item);
				}
			}
		}

		this.#removeStaleRuns();
	}

	/** Removes runs that no longer match their rows, as a read after a lost response can show, and adds missing ones. */
	#removeStaleRuns(): void {
		for (const run of this.#monitor.listRuns()) {
			const row = this.#store.findRow(run.task.taskId);
			if (row === undefined || row.state === 'queued' || row.epoch !== run.task.epoch) {
				this.#monitor.removeRun(run.task.taskId);
			}
		}

		for (const row of this.#store.listJobs()) {
			if (row.state !== 'queued' && this.#monitor.getRun(row.jobId) === undefined) {
				this.#monitor.addRun(row, true);
			}
		}
	}

	#resolveRun(row: JobRow, run: Run, vms: ReadonlyMap<string, VmRecord>): JobTransition {
		if (run.isStarting) {
			return undefined;
		}

		const vm = vms.get(run.task.vmId);
		const isListed = vms.size > 0;
		const transition = resolveRun(row, run, {
			isVmRestarted: vm !== undefined && vm.incarnation !== row.vmIncarnation,
			isLeaseExpired: this.#monitor.isLeaseExpired(run, isListed && vm === undefined),
			isCancelled: this.#inbox.isCancelled(row.jobId),
			now: this.#options.clock.readWall(),
			countRemainingWorkers() {
				const request = {size: run.size, spec: row.spec, excludedVms: new Set([...row.failedVms, run.task.vmId])};
				return [...vms.values()].filter(other => explainUnplaceable(request, [createPlacementNode(other)]) === undefined).length;
			},
		});
		if (transition === undefined && run.observation === 'absent' && row.state === 'starting') {
			this.#actions.revokeStart(run);
		}

		return transition;
	}

	#buildChange({row, run, transition}: {readonly row: JobRow; readonly run: Run; readonly transition: NonNullable<JobTransition>}): JobChange {
		const {fields, hasRunEnded} = transition;
		const writes = [];
		if (hasRunEnded && kindPolicies[row.spec.kind].isHeld) {
			writes.push(buildHoldKey(run.task.vmId, row.jobId));
		}

		if (fields.state === 'finished' && run.peak.cores > 0) {
			const runMs = this.#options.clock.readMonotonic() - run.startedAt;
			const value = this.#usage.recordRun(row.spec, row.caller, run.peak, runMs);
			writes.push({table: jobTables.usage, key: buildUsageKey(row.spec.kind, row.caller), value});
		}

		return {jobId: row.jobId, fields, writes};
	}

	#applyTransition({row, run, transition: {fields, hasRunEnded}}: {readonly row: JobRow; readonly run: Run; readonly transition: NonNullable<JobTransition>}): void {
		if (!hasRunEnded) {
			return;
		}

		this.#monitor.removeRun(row.jobId);
		this.#counts.evictions += run.evicted === undefined ? 0 : 1;
		if (fields.failedVms !== undefined) {
			this.#failureTracker.recordFailure(run.task.vmId, row.jobId);
		} else if (fields.state === 'finished') {
			this.#failureTracker.recordSuccess(run.task.vmId, row.jobId);
		}

		if (run.startOutcome === 'unknown') {
			this.#monitor.markSilent(run.task.vmId);
		}

		if (fields.state === 'queued') {
			this.#counts.restarts += run.evicted === undefined ? 1 : 0;
			this.#scheduleRestart(row, run.evicted === undefined);
		} else {
			this.#notBefore.delete(row.jobId);
			this.#actions.stopEndedRun(run);
		}

		if (fields.state === 'may-have-run') {
			this.#counts.mayHaveRun++;
			this.#options.log.warn('job may have run and is not started again', {jobId: row.jobId, reason: fields.reason});
		}
	}

	/** Delays the restart of a job after a failed run, exponentially in the number of its runs. */
	#scheduleRestart(row: JobRow, isFailure: boolean): void {
		const {clock, random} = this.#options;
		if (isFailure) {
			const delayMs = Math.min(maxRestartDelayMs, baseRestartDelayMs * (2 ** Math.min(row.epoch, 10)));
			this.#notBefore.set(row.jobId, clock.readMonotonic() + (delayMs * (0.5 + (random.readFraction() / 2))));
		}
	}

	/** Ends cancelled jobs that are queued, in batches, and stops the runs of the others. */
	async #cancelJobs(): Promise<void> {
		const cancelled = this.#inbox.listCancelled();
		for (const row of cancelled) {
			const run = this.#monitor.getRun(row.jobId);
			if (run !== undefined && !run.isStarting && isPossiblyRunning(run)) {
				this.#actions.cancelRun(run);
			}
		}

		const queued = cancelled.filter(row => row.state === 'queued').slice(0, maxBatchJobs * maxBatchesPerTurn);
		const fields = {state: 'cancelled', reason: 'cancelled by the caller', endedAt: this.#options.clock.readWall()} as const;
		for (let start = 0; start < queued.length; start += maxBatchJobs) {
			await this.#store.commitChanges(queued.slice(start, start + maxBatchJobs).map(({jobId}) => ({jobId, fields})));
		}
	}

	#checkOverruns(): void {
		const runsByVm = groupByKey(this.#monitor.listRuns(), run => run.task.vmId);
		for (const vm of this.#options.listWorkers()) {
			const actions = planOverruns(vm, runsByVm.get(vm.vmId) ?? [], run => this.#isCheckpointable(run));
			for (const action of actions) {
				if (action.type === 'throttle') {
					this.#counts.throttles++;
					this.#actions.throttleRun(action.run, action.cores);
				} else {
					this.#actions.evictRun(action.run, 'used more memory than it was given, on a worker without room', action.minSize);
				}
			}
		}
	}

	#isCheckpointable(run: Run): boolean {
		const row = this.#store.getJob(run.task.taskId);
		return row !== undefined && kindPolicies[row.spec.kind].canCheckpoint;
	}

	#listSetAside(): string[] {
		return this.#failureTracker.listSetAside(this.#options.listWorkers().map(vm => vm.vmId), this.#options.clock.readMonotonic());
	}

	async #startJobs(): Promise<void> {
		const {clock, listWorkers, readQuotas} = this.#options;
		const snapshot = PlacementSnapshot.create({
			workers: listWorkers(), setAside: new Set([...this.#listSetAside(), ...this.#monitor.listSilentVms()]), runs: this.#monitor.listRuns(), quotas: readQuotas(),
		});
		if (snapshot.isEmpty) {
			return;
		}

		const turnPlan = planTurn({
			snapshot,
			rows: this.#store.listJobs().filter(row => !this.#inbox.isCancelled(row.jobId)),
			usage: this.#usage,
			placement: this.#placement,
			maxStarts: this.#startLimit,
			notBefore: this.#notBefore,
			getRun: jobId => this.#monitor.getRun(jobId),
			now: clock.readMonotonic(),
			wallNow: clock.readWall(),
		});
		this.#lastPlan = turnPlan.plan;
		await this.#commitUnplaceable(turnPlan.unplaceableChanges);
		for (const {run, reason} of turnPlan.plan.evictions) {
			this.#actions.evictRun(this.#monitor.getRun(run.jobId)!, reason);
		}

		await this.#commitStarts(turnPlan.plan, new Map(listWorkers().map(vm => [vm.vmId, vm])));
	}

	async #commitUnplaceable(changes: readonly JobChange[]): Promise<void> {
		if (changes.length > 0) {
			await this.#store.commitChanges(changes.slice(0, maxBatchJobs));
		}
	}

	/**
	 * Commits the starts before sending them. The check of the cancellation row prevents a cancelled job from starting. Since every
	 * cancellation rewrites this row, a conflict with it alone leads to another attempt without the jobs that were cancelled.
	 */
	async #commitStarts({starts}: Plan, vms: ReadonlyMap<string, VmRecord>): Promise<void> {
		for (let attempt = 1; attempt <= maxStartAttempts; attempt++) {
			const changes = this.#buildStarts(starts, vms);
			if (changes.length === 0) {
				return;
			}

			const check = {...cancelsKey, version: this.#inbox.cancelsVersion};
			if (await this.#store.commitChanges(changes, {checks: [check]})) {
				this.#sendStarts(changes);
				return;
			}

			await this.#inbox.readCancellations();
		}
	}

	/** Builds the changes of the planned starts, except of jobs that are cancelled or whose rows must be reread. */
	#buildStarts(starts: Plan['starts'], vms: ReadonlyMap<string, VmRecord>): JobChange[] {
		const wallNow = this.#options.clock.readWall();
		return starts.flatMap(({jobId, vmId, size, reason}): JobChange[] => {
			const row = this.#store.getJob(jobId);
			return row === undefined || this.#inbox.isCancelled(jobId)
				? []
				: [{
					jobId,
					fields: {
						state: 'starting', epoch: row.epoch + 1, vmId, vmIncarnation: vms.get(vmId)!.incarnation, allocated: size, startedAt: wallNow, reason,
					},
					writes: buildHolds(row, vmId),
				}];
		});
	}

	#sendStarts(changes: readonly JobChange[]): void {
		for (const {jobId} of changes) {
			const row = this.#store.getJob(jobId)!;
			this.#counts.starts++;
			this.#actions.startRun(row, this.#monitor.addRun(row, false));
		}
	}
}

function buildHolds({spec, jobId}: JobRow, vmId: string): JobChange['writes'] {
	const {isHeld, canCheckpoint} = kindPolicies[spec.kind];
	const value: Hold = {jobId, canCheckpoint};
	return isHeld ? [{...buildHoldKey(vmId, jobId), value}] : [];
}
