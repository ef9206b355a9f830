/**
 * The scheduling of jobs by the entry that holds the duty, one turn at a time.
 */
import {type Clock, type Log, type RandomSource} from '@tamarackwind/core';
import {
	type ObjectStore, type TableService, type TaskControl, type TaskResources, type VmRecord,
} from '@tamarackwind/clients';
import {WorkerActions} from './actions.js';
import {type JobDuty} from './duties.js';
import {WorkerEvidence} from './evidences.js';
import {explainRow} from './explains.js';
import {FleetSnapshot} from './snapshots.js';
import {JobInbox} from './inboxes.js';
import {kindPolicies} from './kinds.js';
import {batchSize, JobLedger, type JobChange} from './ledgers.js';
import {planOverruns} from './overruns.js';
import {BestFitPlacement, type Placement} from './placements.js';
import {type Plan} from './plans.js';
import {buildHoldKey, jobTables, type Hold} from './rows.js';
import {isPossiblyRunning, RunKeeper, type Run} from './runs.js';
import {type JobRow} from './schemas.js';
import {resolveRun, type Settlement} from './settlements.js';
import {planTurn} from './turns.js';
import {buildUsageKey, UsageModel, type UsageHistory} from './usages.js';
import {groupByKey} from './groups.js';

export type JobControllerOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Log;
	readonly tables: TableService;
	readonly objects: ObjectStore;
	readonly tasks: TaskControl;
	readonly duty: JobDuty;
	/** Workers of the platform's list, whatever their state; empty while none was read. */
	readonly listWorkers: () => readonly VmRecord[];
	/** Quotas by team; without any, every job runs by right. */
	readonly readQuotas: () => ReadonlyMap<string, TaskResources>;
	readonly placement?: Placement;
	/** Term of a task's lease, in milliseconds. */
	readonly leaseMs?: number;
	/** Largest difference between the clocks of two VMs, in milliseconds. */
	readonly clockBoundMs?: number;
};

const defaultLeaseMs = 30_000;
const defaultClockBoundMs = 1000;
/** Most starts of one turn, and of the first turn after an outage. */
const maxStarts = 40;
const firstStarts = 5;
/** Most transactions that one turn sends for changes of jobs. */
const maxBatches = 10;
const maxPauseMs = 60_000;
const basePauseMs = 500;

/**
 * Schedules jobs while the duty is held. `runTurn` needs the tables; `renewRuns` goes on without them.
 */
export class JobController {
	static create(options: JobControllerOptions): JobController {
		return new JobController(options);
	}

	readonly #options: JobControllerOptions;
	readonly #ledger: JobLedger;
	readonly #inbox: JobInbox;
	readonly #keeper: RunKeeper;
	readonly #actions: WorkerActions;
	readonly #placement: Placement;
	#usage = UsageModel.create();
	#evidence = WorkerEvidence.create();
	#plan: Plan | undefined;
	#loadedEpoch: number | undefined;
	#allowedStarts = firstStarts;
	readonly #notBefore = new Map<string, number>();
	readonly #counts = {
		starts: 0, evictions: 0, throttles: 0, restarts: 0, mayHaveRun: 0,
	};

	private constructor(options: JobControllerOptions) {
		const {leaseMs = defaultLeaseMs, clockBoundMs = defaultClockBoundMs} = options;
		this.#options = options;
		this.#placement = options.placement ?? BestFitPlacement.create();
		this.#ledger = JobLedger.create(options);
		this.#inbox = JobInbox.create({...options, ledger: this.#ledger, explainJob: jobId => this.explainJob(jobId)});
		this.#keeper = RunKeeper.create({...options, leaseMs, clockBoundMs});
		this.#actions = WorkerActions.create({...options, leaseMs});
	}

	/** Counters since the start of this entry, and the state of the queue. */
	get counts(): Readonly<Record<'starts' | 'evictions' | 'throttles' | 'restarts' | 'mayHaveRun' | 'queued' | 'running' | 'setAside' | 'reads' | 'commits' | 'failedCalls', number>> {
		const jobs = this.#ledger.listJobs();
		return {
			...this.#counts,
			queued: jobs.filter(row => row.state === 'queued').length,
			running: this.#keeper.listRuns().length,
			setAside: this.#listSetAside().length,
			reads: this.#ledger.counts.reads + this.#inbox.reads,
			commits: this.#ledger.counts.commits,
			failedCalls: this.#actions.failures,
		};
	}

	/** Renews and observes the runs. */
	async renewRuns(): Promise<void> {
		await this.#keeper.renewRuns();
	}

	/** Waits for the calls to workers that are in progress. */
	async flush(): Promise<void> {
		await this.#actions.flush();
	}

	/** Says why a job waits, or where it was placed and why. */
	explainJob(jobId: string): string {
		const row = this.#ledger.findRow(jobId);
		return row === undefined ? `job "${jobId}" is not open` : explainRow(row, this.#plan?.waits.get(jobId), this.#inbox.isCancelled(jobId));
	}

	/** Takes notice of what has come in, settles runs, and starts jobs. */
	async runTurn(): Promise<void> {
		const {duty} = this.#options;
		if (!duty.isHeld()) {
			return;
		}

		try {
			await this.#loadTerm(duty.epoch!);
			await this.#ledger.readDoubtful();
			await this.#inbox.readInbox();
			await this.#resolveRuns();
			await this.#cancelJobs();
			await this.#inbox.deleteSettled();
			this.#checkOverruns();
			await this.#startJobs();
			this.#allowedStarts = Math.min(maxStarts, this.#allowedStarts * 2);
		} catch (error) {
			this.#allowedStarts = firstStarts;
			throw error;
		}
	}

	/** Reads everything anew when this entry has just taken the duty. */
	async #loadTerm(epoch: number): Promise<void> {
		if (this.#loadedEpoch === epoch) {
			return;
		}

		this.#inbox.clear();
		this.#keeper.clear();
		this.#notBefore.clear();
		this.#usage = UsageModel.create();
		this.#evidence = WorkerEvidence.create();
		for (const row of await this.#options.tables.listRows(jobTables.usage)) {
			this.#usage.loadHistory(row.key, row.value as UsageHistory);
		}

		await this.#ledger.loadJobs();
		for (const row of this.#ledger.listJobs()) {
			this.#addJob(row);
		}

		this.#loadedEpoch = epoch;
		this.#options.log.info('job scheduling taken over', {epoch, jobs: this.#ledger.listJobs().length, runs: this.#keeper.listRuns().length});
	}

	#addJob(row: JobRow): void {
		if (row.state !== 'queued') {
			this.#keeper.addRun(row, true);
		}

		for (const vmId of row.failedVms) {
			this.#evidence.noteFailure(vmId, row.jobId);
		}
	}

	async #resolveRuns(): Promise<void> {
		const vms = new Map(this.#options.listWorkers().map(vm => [vm.vmId, vm]));
		const settled = this.#keeper.listRuns().flatMap(run => {
			const row = this.#ledger.getJob(run.task.taskId);
			const settlement = row === undefined ? undefined : this.#resolveRun(row, run, vms);
			return settlement === undefined ? [] : [{row: row!, run, settlement}];
		});
		for (let start = 0; start < settled.length && start < batchSize * maxBatches; start += batchSize) {
			const batch = settled.slice(start, start + batchSize);
			if (await this.#ledger.commitChanges(batch.map(item => this.#buildSettled(item)))) {
				for (const item of batch) {
					this.#noteSettled(item);
				}
			}
		}

		this.#removeStaleRuns();
	}

	/** Runs whose rows were found ended, or at another run, by a read after a lost answer. */
	#removeStaleRuns(): void {
		for (const run of this.#keeper.listRuns()) {
			const row = this.#ledger.findRow(run.task.taskId);
			if (row === undefined || row.state === 'queued' || row.epoch !== run.task.epoch) {
				this.#keeper.removeRun(run.task.taskId);
			}
		}

		for (const row of this.#ledger.listJobs()) {
			if (row.state !== 'queued' && this.#keeper.getRun(row.jobId) === undefined) {
				this.#keeper.addRun(row, true);
			}
		}
	}

	#resolveRun(row: JobRow, run: Run, vms: ReadonlyMap<string, VmRecord>): Settlement {
		if (run.isStarting) {
			return undefined;
		}

		const vm = vms.get(run.task.vmId);
		const isListed = vms.size > 0;
		const settlement = resolveRun(row, run, {
			isVmRestarted: vm !== undefined && vm.incarnation !== row.vmIncarnation,
			isLapsed: this.#keeper.isSurelyLapsed(run, isListed && vm === undefined),
			isCancelled: this.#inbox.isCancelled(row.jobId),
			now: this.#options.clock.readWall(),
			remainingWorkers: [...vms.keys()].filter(vmId => vmId !== run.task.vmId && !row.failedVms.includes(vmId)).length,
		});
		if (settlement === undefined && run.observation === 'absent' && row.state === 'starting') {
			this.#actions.revokeStart(run);
		}

		return settlement;
	}

	#buildSettled({row, run, settlement}: {readonly row: JobRow; readonly run: Run; readonly settlement: NonNullable<Settlement>}): JobChange {
		const {fields, isRunOver} = settlement;
		const writes = [];
		if (isRunOver && kindPolicies[row.spec.kind].isHeld) {
			writes.push(buildHoldKey(run.task.vmId, row.jobId));
		}

		if (fields.state === 'finished' && run.peak.cores > 0) {
			const runMs = this.#options.clock.readMonotonic() - run.startedAt;
			const value = this.#usage.recordRun(row.spec, row.caller, run.peak, runMs);
			writes.push({table: jobTables.usage, key: buildUsageKey(row.spec.kind, row.caller), value});
		}

		return {jobId: row.jobId, fields, writes};
	}

	#noteSettled({row, run, settlement: {fields, isRunOver}}: {readonly row: JobRow; readonly run: Run; readonly settlement: NonNullable<Settlement>}): void {
		if (!isRunOver) {
			return;
		}

		this.#keeper.removeRun(row.jobId);
		this.#counts.evictions += run.evicted === undefined ? 0 : 1;
		if (fields.failedVms !== undefined) {
			this.#evidence.noteFailure(run.task.vmId, row.jobId);
		} else if (fields.state === 'finished') {
			this.#evidence.noteSuccess(run.task.vmId, row.jobId);
		}

		if (run.startOutcome === 'unknown') {
			this.#keeper.noteSilentVm(run.task.vmId);
		}

		if (fields.state === 'queued') {
			this.#counts.restarts += run.evicted === undefined ? 1 : 0;
			this.#pauseJob(row, run.evicted === undefined);
		} else {
			this.#notBefore.delete(row.jobId);
			this.#actions.releaseRun(run);
		}

		if (fields.state === 'may-have-run') {
			this.#counts.mayHaveRun++;
			this.#options.log.warn('job may have run and is not started again', {jobId: row.jobId, reason: fields.reason});
		}
	}

	/** Pauses a job after a run that came to nothing, the longer the more runs there were. */
	#pauseJob(row: JobRow, isFailure: boolean): void {
		const {clock, random} = this.#options;
		if (isFailure) {
			const pauseMs = Math.min(maxPauseMs, basePauseMs * (2 ** Math.min(row.epoch, 10)));
			this.#notBefore.set(row.jobId, clock.readMonotonic() + (pauseMs * (0.5 + (random.readFraction() / 2))));
		}
	}

	/** Ends cancelled jobs that don't run, in batches, and stops those that do. */
	async #cancelJobs(): Promise<void> {
		const cancelled = this.#inbox.listCancelled();
		for (const row of cancelled) {
			const run = this.#keeper.getRun(row.jobId);
			if (run !== undefined && !run.isStarting && isPossiblyRunning(run)) {
				this.#actions.cancelRun(run);
			}
		}

		const queued = cancelled.filter(row => row.state === 'queued').slice(0, batchSize * maxBatches);
		const fields = {state: 'cancelled', reason: 'cancelled by the caller', endedAt: this.#options.clock.readWall()} as const;
		for (let start = 0; start < queued.length; start += batchSize) {
			await this.#ledger.commitChanges(queued.slice(start, start + batchSize).map(({jobId}) => ({jobId, fields})));
		}
	}

	#checkOverruns(): void {
		const runsByVm = groupByKey(this.#keeper.listRuns(), run => run.task.vmId);
		for (const vm of this.#options.listWorkers()) {
			const measures = planOverruns(vm, runsByVm.get(vm.vmId) ?? [], run => this.#isMovable(run));
			for (const measure of measures) {
				if (measure.type === 'throttle') {
					this.#counts.throttles++;
					this.#actions.throttleRun(measure.run, measure.cores);
				} else {
					this.#actions.evictRun(measure.run, 'used more memory than it was given, on a worker without room', measure.minSize);
				}
			}
		}
	}

	#isMovable(run: Run): boolean {
		const row = this.#ledger.getJob(run.task.taskId);
		return row !== undefined && kindPolicies[row.spec.kind].canCheckpoint;
	}

	#listSetAside(): string[] {
		return this.#evidence.listSetAside(this.#options.listWorkers().map(vm => vm.vmId), this.#options.clock.readMonotonic());
	}

	async #startJobs(): Promise<void> {
		const {clock, listWorkers, readQuotas} = this.#options;
		const snapshot = FleetSnapshot.create({
			workers: listWorkers(), setAside: new Set([...this.#listSetAside(), ...this.#keeper.listSilentVms()]), runs: this.#keeper.listRuns(), quotas: readQuotas(),
		});
		if (snapshot.isEmpty) {
			return;
		}

		const turn = planTurn({
			snapshot,
			rows: this.#ledger.listJobs().filter(row => !this.#inbox.isCancelled(row.jobId)),
			usage: this.#usage,
			placement: this.#placement,
			maxStarts: this.#allowedStarts,
			notBefore: this.#notBefore,
			getRun: jobId => this.#keeper.getRun(jobId),
			now: clock.readMonotonic(),
			wallNow: clock.readWall(),
		});
		this.#plan = turn.plan;
		await this.#commitMisfits(turn.misfits);
		for (const {run, reason} of turn.plan.evictions) {
			this.#actions.evictRun(this.#keeper.getRun(run.jobId)!, reason);
		}

		await this.#commitStarts(turn.plan, new Map(listWorkers().map(vm => [vm.vmId, vm])));
	}

	async #commitMisfits(misfits: readonly JobChange[]): Promise<void> {
		if (misfits.length > 0) {
			await this.#ledger.commitChanges(misfits.slice(0, batchSize));
		}
	}

	/** Commits the starts before any of them is sent; the check of the cancellations' row keeps a cancelled job from starting. */
	async #commitStarts({starts}: Plan, vms: ReadonlyMap<string, VmRecord>): Promise<void> {
		const wallNow = this.#options.clock.readWall();
		const changes = starts.flatMap(({jobId, vmId, size, reason}): JobChange[] => {
			const row = this.#ledger.getJob(jobId);
			return row === undefined
				? []
				: [{
					jobId,
					fields: {
						state: 'starting', epoch: row.epoch + 1, vmId, vmIncarnation: vms.get(vmId)!.incarnation, allocated: size, startedAt: wallNow, reason,
					},
					writes: buildHolds(row, vmId),
				}];
		});
		const check = {table: jobTables.control, key: 'cancels', version: this.#inbox.cancelsVersion};
		if (changes.length === 0 || !await this.#ledger.commitChanges(changes, {checks: [check]})) {
			return;
		}

		for (const {jobId} of changes) {
			const row = this.#ledger.getJob(jobId)!;
			this.#counts.starts++;
			this.#actions.startRun(row, this.#keeper.addRun(row, false));
		}
	}
}

function buildHolds({spec, jobId}: JobRow, vmId: string): JobChange['writes'] {
	const {isHeld, canCheckpoint} = kindPolicies[spec.kind];
	const value: Hold = {jobId, canCheckpoint};
	return isHeld ? [{...buildHoldKey(vmId, jobId), value}] : [];
}
