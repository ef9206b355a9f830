/**
 * Schedules the jobs of one pool onto its workers, on the entry that holds the scheduler lease.
 */
import {
	findMaximum, readErrorMessage, type JobId, type ServiceName, type VmId,
} from '@tamarackwind/core';
import {type WatchableTableService} from '@tamarackwind/clients';
import {ActiveJob} from './active-jobs.js';
import {type Task} from './tasks.js';
import {AdviceCache} from './advice-caches.js';
import {type ChargeMonitor} from './charge-monitors.js';
import {type JobChange, type JobFeed, type JobSubscriber} from './job-feeds.js';
import {
	computeEvidence, computeUnobservedEvidence, isSuspect, isUnproven, recordCrash, type LostWorker,
} from './crash-budgets.js';
import {type CrashEvidence} from './crash-evidence.js';
import {CrashHistory} from './crash-histories.js';
import {PoolPlanner, type PlanningEnvironment, type PoolLoad} from './pool-planners.js';
import {formatIncarnation, type RunKey, type WorkerIncarnation} from './jobs.js';
import {readProgress, restoreJobs, type SavedProgress} from './progress-readers.js';
import {type PoolBacklog} from './pool-backlogs.js';
import {ProgressWriter} from './progress-writers.js';
import {DoubtfulRuns, type DoubtfulRun} from './doubtful-runs.js';
import {FillerThrottler} from './filler-throttlers.js';
import {observeRun, saveCheckpoint} from './run-observations.js';
import {RunStarter} from './starters.js';
import {
	type WorkerControl, type ListedEnd, type PlacementAdvisor, type WorkerListing, type WorkerRecord,
} from './workers.js';
import {type Timings} from './timings.js';
import {type WaitMonitor} from './wait-monitors.js';
import {type AvailabilityMonitor} from './worker-availability.js';
import {SessionOwner, WorkerSession, type IncarnationEnd} from './worker-sessions.js';

export type PoolSchedulerOptions = PlanningEnvironment & {
	readonly tables: WatchableTableService;
	readonly control: WorkerControl;
	readonly advisor: PlacementAdvisor;
	readonly epoch: number;
	readonly holder: string;
	/** Reports whether worker leases may be renewed now. */
	readonly isRenewalAllowed: () => boolean;
	/** Time by which every run that an earlier holder started on an unreachable worker has ended; on the monotonic clock. */
	readonly earlierRunsEndBy: number;
	/** Called when another holder has taken over the pool's service. */
	readonly onLost: () => void;
	/** Submitted jobs of all services. */
	readonly feed: JobFeed;
	readonly timings: Timings;
};

/** Minimum time without progress after which a run counts as stalled, in milliseconds: spans several listings. */
const stallTimeoutMs = 3000;
/** The same time as a share of a task's declared duration: progress is reported in whole percent, and a worker may run at a tenth of full speed. */
const stallTimeoutShare = 0.15;
/** Delay before a failed long-running task is restarted, in milliseconds. */
const restartDelayMs = 150;
/** Digits of probabilities in log lines. */
const shareDigits = 4;

/** Schedules the jobs of one pool while its entry holds the scheduler lease. */
export class PoolScheduler extends SessionOwner {
	static create(options: PoolSchedulerOptions): PoolScheduler {
		return new PoolScheduler(options);
	}

	readonly service: ServiceName;
	readonly fencingToken: number;
	readonly #options: PoolSchedulerOptions;
	readonly #progressWriter: ProgressWriter;
	readonly #starter: RunStarter;
	readonly #advice: AdviceCache;
	readonly #fillerThrottler: FillerThrottler;
	readonly #jobs = new Map<JobId, ActiveJob>();
	readonly #sessions = new Map<VmId, WorkerSession>();
	readonly #doubtfulRuns: DoubtfulRuns;
	readonly #crashes = CrashHistory.create();
	/** Ended worker incarnations and the time at which each end was detected; the registry may still list them for some seconds. */
	readonly #endedIncarnations = new Map<string, number>();
	readonly #planner: PoolPlanner;
	readonly #subscriber: JobSubscriber = changes => {
		this.#applyChanges(changes);
	};

	#isClosed = false;

	private constructor(options: PoolSchedulerOptions) {
		super();
		this.#options = options;
		this.service = options.service;
		this.fencingToken = options.epoch;
		this.#doubtfulRuns = DoubtfulRuns.create(options.timings.orderTimeoutMs);
		this.#progressWriter = ProgressWriter.create({
			...options,
			onLost() {
				options.onLost();
			},
			onRejected: active => {
				this.#endUnrecordableJob(active);
			},
		});
		this.#starter = RunStarter.create({
			clock: options.clock, control: options.control, log: options.log, epoch: options.epoch, canOrder: options.canOrder,
			onTicketRefused: (task, session) => {
				this.#advice.clearTicket(task, session.record.id);
			},
			onSettled: task => {
				this.#stopPartialGang(task);
				this.#planner.wake();
			},
		});
		this.#advice = AdviceCache.create({
			clock: options.clock, advisor: options.advisor, log: options.log, onResponse: () => {
				this.#planner.wake();
			},
		});
		this.#fillerThrottler = FillerThrottler.create({
			clock: options.clock, control: options.control, log: options.log, epoch: options.epoch,
		});
		this.#planner = PoolPlanner.create({
			...options,
			advice: this.#advice,
			crashes: this.#crashes,
			jobs: this.#jobs,
			sessions: this.#sessions,
			handleTimeouts: () => {
				this.#handleTimeouts();
			},
			record: async jobs => this.#tryRecord(jobs),
			start: (task, run) => {
				this.#startRun(task, run);
			},
		});
	}

	override get isRenewalAllowed(): boolean {
		return !this.#isClosed && this.#options.isRenewalAllowed();
	}

	/** Observes the tasks that wait. */
	get waits(): WaitMonitor {
		return this.#planner.waits;
	}

	/** Observes the workers that get no new work. */
	get availability(): AvailabilityMonitor {
		return this.#planner.availability;
	}

	/** What the accounts are charged for. */
	get charges(): ChargeMonitor {
		return this.#planner.charges;
	}

	/** Demand and order of the pool's jobs. */
	get backlog(): PoolBacklog {
		return this.#planner.backlog;
	}

	get jobs(): Iterable<ActiveJob> {
		return this.#jobs.values();
	}

	get sessions(): Iterable<WorkerSession> {
		return this.#sessions.values();
	}

	/** Finds the session with a worker of the pool. */
	findWorkerSession(worker: VmId): WorkerSession | undefined {
		return this.#sessions.get(worker);
	}

	/** Lists the tasks that may run on a worker without a session. */
	listDoubtfulTasks(worker: VmId): readonly Task[] {
		return this.#doubtfulRuns.listTasks(worker);
	}

	/** Counts, by queue, the submitted jobs of which no task is known to have started. */
	countWaitingJobs(): Map<string, number> {
		return this.#planner.countWaitingJobs();
	}

	/** Computes the demand of the pool's jobs and the available CPU. */
	computeLoad(): PoolLoad {
		return this.#planner.computeLoad();
	}

	/** Takes over the service: fences off earlier holders, loads the stored jobs and starts scheduling. */
	async open(): Promise<void> {
		await this.#progressWriter.open();
		const {feed, service, clock, earlierRunsEndBy} = this.#options;
		const saved = await readProgress(this.#options);
		await feed.load();
		const submissions = feed.subscribe(service, this.#subscriber);
		const jobs = restoreJobs(submissions, saved, {monotonic: clock.readMonotonic(), wall: clock.readWall()}, this.#options.tables.limits);
		for (const active of jobs) {
			this.#addJob(active);
			for (const task of active.touchedTasks.filter(({incarnation}) => incarnation !== undefined)) {
				this.#doubtfulRuns.add({task, endBy: earlierRunsEndBy});
			}
		}

		this.#removeUnusedProgress(submissions, saved);
		this.#options.log.info('service loaded', {
			service, jobs: jobs.length, running: jobs.filter(active => !active.isTerminal).length, orphans: this.#doubtfulRuns.count,
		});
		this.#planner.start();
		this.#record(new Set(jobs.filter(active => this.#setEndTime(active))));
	}

	/** Schedules the progress of jobs for deletion whose submission an earlier holder has deleted. */
	#removeUnusedProgress(submissions: readonly JobChange[], {keys}: SavedProgress): void {
		const submitted = new Set(submissions.map(({id}) => id));
		for (const [id, rows] of keys) {
			if (!submitted.has(id)) {
				this.#options.feed.scheduleProgressRemoval(id, rows);
			}
		}
	}

	/** Sets the end time of a job that was cancelled before its holder recorded it; returns whether the job changed. */
	#setEndTime(active: ActiveJob): boolean {
		const isNew = active.isTerminal && active.endedAt === undefined;
		if (isNew) {
			active.endedAt = this.#options.clock.readWall();
		}

		return isNew;
	}

	/** Applies the registry's list of workers for this pool. */
	updateWorkers(records: readonly WorkerRecord[]): void {
		const listed = new Set<VmId>();
		let isChanged = false;
		for (const record of records.filter(({id, startedAt}) => !this.#isOutdated({id, startedAt}))) {
			listed.add(record.id);
			const known = this.#sessions.get(record.id);
			if (known?.record.startedAt === record.startedAt) {
				isChanged ||= known.record !== record || !known.isRegistered;
				known.record = record;
				known.isRegistered = true;
			} else {
				isChanged = true;
				if (known !== undefined) {
					this.endIncarnation(known, 'registry lists a later incarnation');
				}

				this.#addSession(record);
			}
		}

		for (const session of this.#sessions.values()) {
			session.isRegistered = listed.has(session.record.id);
			if (!session.isRegistered && session.tasks.size === 0) {
				this.#closeSession(session);
			}
		}

		if (isChanged) {
			this.#planner.wake();
		}
	}

	/** Reports whether the registry still lists an incarnation that has ended. */
	#isOutdated({id, startedAt}: WorkerIncarnation): boolean {
		const known = this.#sessions.get(id)?.record;
		return this.#endedIncarnations.has(formatIncarnation({id, startedAt})) || (known !== undefined && startedAt < known.startedAt);
	}

	/** Lists the unreachable workers with tasks, and the workers without a session on which runs may be active. */
	listLostWorkers(): VmId[] {
		const unreachable = [...this.#sessions.values()].filter(session => !session.isReachable && session.tasks.size > 0).map(session => session.record.id);
		return [...new Set([...unreachable, ...this.#doubtfulRuns.listWorkers()])];
	}

	/** Ends the incarnations of unreachable workers whose VMs were asked for at `downAt` and found down. */
	endIncarnations(deadWorkers: ReadonlySet<VmId>, downAt: number): void {
		for (const session of this.#sessions.values()) {
			if (deadWorkers.has(session.record.id) && !session.isReachable) {
				this.endIncarnation(session, 'VM is down', {downAt});
			}
		}

		this.#releaseDoubtful(this.#doubtfulRuns.takeDown(deadWorkers, downAt));
	}

	override async applyListing(session: WorkerSession, listing: WorkerListing, sentAt: number): Promise<boolean> {
		const changed = new Set<ActiveJob>();
		this.#options.meter.track('apply listing', () => {
			for (const end of listing.ends) {
				this.#applyRunEnd(session, end, changed);
			}

			this.#applyRuns(session, listing, sentAt, changed);
			this.#updateStates(changed);
			this.#fillerThrottler.update(session);
		});
		this.#planner.wake();
		return this.#tryRecord(changed);
	}

	override endIncarnation(session: WorkerSession, reason: string, end: IncarnationEnd = {}): void {
		const {log} = this.#options;
		log.info('worker life ended', {worker: session.name, reason, tasks: session.tasks.size});
		this.#endedIncarnations.set(session.name, this.#options.clock.readMonotonic());
		this.#advice.clearWorker(session.record.id);
		const changed = new Set<ActiveJob>();
		const evidence = (end.isOrdered ?? session.record.isDraining) ? new Map<Task, CrashEvidence>() : this.#computeLossEvidence(session);
		for (const [task, crash] of evidence) {
			if (!this.#doubtfulRuns.isDoubtful(task, end)) {
				this.#recordCrash(task, session.name, crash);
			}
		}

		for (const task of session.tasks) {
			if (task.isConfirmed && !isUnproven(task, session.seenAt)) {
				task.hiddenRuns = 0;
			}

			if (this.#doubtfulRuns.isDoubtful(task, end)) {
				task.pendingCrash ??= evidence.get(task);
				this.#holdTask(task, session);
			} else {
				this.#releaseTask(task, changed);
			}
		}

		this.#closeSession(session);
		if (end.successorStartedAt !== undefined) {
			this.#addSuccessor(session, end.successorStartedAt);
		}

		this.#updateStates(new Set([...changed, ...[...evidence.keys()].map(task => task.job)]), changed);

		this.#record(changed);
	}

	/** Unassigns a task from a session without making it eligible for a new start, until a later incarnation of the worker shows whether its run is active. */
	#holdTask(task: Task, session: WorkerSession): void {
		session.removeTask(task);
		if (task.orderedAt > 0) {
			task.phase = 'stopping';
		}

		this.#doubtfulRuns.add({task, endBy: Math.max(session.runsEndBy, session.unlistedRunsEndBy)});
		this.#options.log.info('run in doubt', {
			job: task.job.job.id, task: task.name, run: task.run, worker: session.name, isConfirmed: task.isConfirmed,
		});
	}

	/** Adds the session of an incarnation that the registry does not list yet, to settle the runs that it may have begun. It gets no new work until it is registered. */
	#addSuccessor({record}: WorkerSession, startedAt: number): void {
		if (this.#doubtfulRuns.listWorkers().includes(record.id)) {
			this.#addSession({...record, startedAt}).isRegistered = false;
		}
	}

	/** Weighs the loss of a worker as a crash, and adds it to the history. */
	#computeLossEvidence(session: WorkerSession): Map<Task, CrashEvidence> {
		const lostAt = session.lostAt ?? this.#options.clock.readMonotonic();
		const {record, tasks, seenAt} = session;
		const lost = this.#describeLoss(session, lostAt);
		const unobserved = [...tasks].flatMap(task => {
			const crash = computeUnobservedEvidence(task, lostAt);
			return crash === undefined ? [] : [[task, crash] as const];
		});
		const evidence = new Map([...session.crashAtExpiry, ...unobserved, ...computeEvidence(lost, this.#crashes, this.#sessions.size)]);
		this.#crashes.record({
			worker: record.id, seenAt, at: lostAt, tasks: new Set(tasks), isExplained: [...evidence.keys()].some(task => isSuspect(task)),
		});
		return evidence;
	}

	#describeLoss(session: WorkerSession, lostAt: number): LostWorker {
		const {tasks, seenAt} = session;
		return {
			tasks, seenAt, lostAt, computeCommonLoss: task => this.#computeCommonLoss(session, lostAt, task),
		};
	}

	/** Computes the share of the other workers that were lost at the same time without running a task; some of them may only be unreachable yet. */
	#computeCommonLoss({record, seenAt}: WorkerSession, lostAt: number, task: Task): number {
		const others = [...this.#sessions.values()].filter(other => other.record.id !== record.id);
		const unreachable = others.flatMap(({record: {id: worker}, seenAt: otherSeenAt, lostAt: otherLostAt, tasks}) => otherLostAt === undefined
			? []
			: [{
				worker, seenAt: otherSeenAt, lostAt: otherLostAt, tasks,
			}]);
		const losses = this.#crashes.listCommonLosses({worker: record.id, seenAt, lostAt}, unreachable);
		const otherWorkers = new Set([...others.map(other => other.record.id), ...losses.map(({worker}) => worker)]);
		return losses.filter(loss => !loss.tasks.has(task)).length / Math.max(1, otherWorkers.size);
	}

	/** Counts the crash of a worker against a task that may have caused it. */
	#recordCrash(task: Task, worker: string, evidence: CrashEvidence): void {
		const {log} = this.#options;
		const wasGivenUp = task.isGivenUp;
		recordCrash(task, evidence);
		if (evidence.isHidden ?? false) {
			return;
		}

		const {crashes, guilt, hiddenRuns, isGivenUp} = task;
		const {coincidence, isEarly, isAlone, details} = evidence;
		const fields = {
			job: task.job.job.id, task: task.name, run: task.run, worker, crashes, hiddenRuns, coincidence: formatShare(coincidence), guilt: formatShare(guilt), isGivenUp,
			isEarly, isAlone, isConfirmed: details !== undefined, ...details, observedCrashes: this.#crashes.countCrashes(task),
		};
		log.info('run lost with its worker', fields);
		if (isGivenUp && !wasGivenUp) {
			// A message of its own: of one message only some lines a second are written.
			log.warn('task given up; workers crash under it', fields);
		}
	}

	override handleFenced(session: WorkerSession): void {
		this.#options.log.warn('worker rejected the fencing token; a later holder is active', {worker: session.name, epoch: this.fencingToken});
	}

	/** Stops scheduling; active runs continue under their leases. */
	close(): void {
		this.#isClosed = true;
		this.#planner.close();
		this.#progressWriter.close();
		this.#options.feed.endSubscription(this.service, this.#subscriber);
		for (const session of this.#sessions.values()) {
			session.close();
		}
	}

	#addSession(record: WorkerRecord): WorkerSession {
		const {clock, control, log, earlierRunsEndBy, timings} = this.#options;
		const doubtful = this.#doubtfulRuns.takeWorker(record.id);
		const session = WorkerSession.create({
			clock, control, log, owner: this, record, earlierRunsEndBy: findMaximum(doubtful.map(({endBy}) => endBy), earlierRunsEndBy), timings,
		});
		this.#sessions.set(record.id, session);
		for (const {task} of doubtful) {
			this.#resumeTask(session, task);
		}

		return session;
	}

	/** Assigns a task to the session of a worker that may run it. The start of an earlier holder is void once the worker lists its runs; one of this holder has to be stopped. */
	#resumeTask(session: WorkerSession, task: Task): void {
		const {id, startedAt} = session.record;
		task.incarnation = {id, startedAt};
		task.isListed = false;
		session.addTask(task);
		if (task.orderedAt > 0) {
			session.stopTask(task);
		}
	}

	#closeSession(session: WorkerSession): void {
		session.close();
		if (this.#sessions.get(session.record.id) === session) {
			this.#sessions.delete(session.record.id);
		}
	}

	/** Makes tasks eligible for a new start whose last run is known to have ended. */
	#releaseDoubtful(runs: readonly DoubtfulRun[]): void {
		const changed = new Set<ActiveJob>();
		const now = this.#options.clock.readMonotonic();
		for (const {task} of runs) {
			task.pendingCrash ??= computeUnobservedEvidence(task, now);
			this.#releaseTask(task, changed);
			this.#planner.wake();
		}

		this.#updateStates(changed);
		this.#record(new Set([...changed].filter(({isTerminal}) => isTerminal)));
	}

	#applyChanges(changes: readonly JobChange[]): void {
		const {clock, log, tables} = this.#options;
		for (const change of changes) {
			const active = this.#jobs.get(change.id);
			if (change.kind === 'cancelled') {
				this.#cancelJob(active);
			} else if (active === undefined) {
				const created = ActiveJob.create(change.job, {monotonic: clock.readMonotonic(), wall: clock.readWall()}, tables.limits);
				this.#addJob(created);
				log.info('job taken up', {job: change.id, queue: change.job.queue, version: change.version});
			}
		}

		this.#planner.wake();
	}

	#addJob(active: ActiveJob): void {
		this.#jobs.set(active.job.id, active);
		this.#planner.add(active);
	}

	#cancelJob(active: ActiveJob | undefined): void {
		if (active !== undefined && !active.isTerminal) {
			active.isCancelled = true;
			const changed = new Set<ActiveJob>();
			this.#updateState(active, changed);
			this.#record(changed);
		}
	}

	/** Ends a job whose progress the table service rejects, so that it holds up no other job. */
	#endUnrecordableJob(active: ActiveJob): void {
		this.#options.log.warn('job given up; its progress is rejected', {job: active.job.id, queue: active.job.queue, tasks: active.tasks.length});
		active.isUnrecordable = true;
		const changed = new Set<ActiveJob>();
		this.#updateState(active, changed);
	}

	/** Recomputes the states of jobs after changes, and adds the jobs to `changed`. */
	#updateStates(jobs: ReadonlySet<ActiveJob>, changed = new Set<ActiveJob>()): void {
		for (const active of jobs) {
			this.#updateState(active, changed);
		}
	}

	/** Recomputes a job's state after a change; stops its remaining runs once it has ended. */
	#updateState(active: ActiveJob, changed: Set<ActiveJob>): void {
		changed.add(active);
		const before = active.state;
		active.updateState();
		if (active.isTerminal && active.state !== before) {
			const {clock, log} = this.#options;
			active.endedAt = clock.readWall();
			this.#planner.remove(active);
			log.info('job ended', {
				job: active.job.id, queue: active.job.queue, state: active.state, ageMs: Math.round(clock.readMonotonic() - active.submittedAt),
			});
			for (const task of active.touchedTasks) {
				this.#endTask(task);
			}
		}
	}

	/** Stops or withdraws the current run of a task whose job has ended. */
	#endTask(task: Task): void {
		const session = this.#findSession(task);
		if (task.phase === 'recorded') {
			session?.removeTask(task);
			task.phase = 'waiting';
			task.incarnation = undefined;
		} else if (task.isInFlight) {
			session?.stopTask(task);
		}
	}

	#findSession(task: Task): WorkerSession | undefined {
		const session = task.incarnation === undefined ? undefined : this.#sessions.get(task.incarnation.id);
		return session?.tasks.has(task) ? session : undefined;
	}

	#findTask(key: RunKey): Task | undefined {
		return this.#jobs.get(key.job)?.findTask(key);
	}

	#applyRunEnd(session: WorkerSession, {key, ending, checkpoint}: ListedEnd, changed: Set<ActiveJob>): void {
		session.unknownRuns.delete(formatRun(key));
		const task = this.#findTask(key);
		const isAssigned = task !== undefined && task.isInFlight && task.run === key.run && session.tasks.has(task);
		if (task === undefined || !(isAssigned || (ending === 'done' && isUnstarted(task)))) {
			return;
		}

		const {clock, log} = this.#options;
		const now = clock.readMonotonic();
		log.info('run ended', {
			job: key.job, task: task.name, run: key.run, worker: session.name, ending, afterMs: Math.round(now - task.orderedAt),
		});
		if (checkpoint !== '') {
			saveCheckpoint(task, checkpoint);
		}

		task.job.hasBegun = true;
		task.hiddenRuns = 0;
		task.pendingCrash = undefined;
		this.#releaseTask(task, changed);
		if (ending === 'done' && !task.spec.isLongRunning) {
			session.health.recordEnding(key.job, false, now);
			for (const member of task.spec.isGang ? task.stepState.tasks : [task]) {
				this.#findSession(member)?.removeTask(member);
				member.phase = 'done';
				member.incarnation = undefined;
			}
		} else if (ending === 'failed') {
			session.health.recordEnding(key.job, true, now);
			task.failures++;
			task.notBefore = task.spec.isLongRunning ? now + restartDelayMs : 0;
		}

		changed.add(task.job);
	}

	/** Stops the other runs of a gang after the start of one member failed, since no member works without the others. */
	#stopPartialGang(task: Task): void {
		for (const member of task.spec.isGang ? task.stepState.tasks : []) {
			if (member.phase === 'starting' || member.phase === 'running') {
				this.#findSession(member)?.stopTask(member);
			}
		}
	}

	#applyRuns(session: WorkerSession, {running, areEndsComplete}: WorkerListing, sentAt: number, changed: Set<ActiveJob>): void {
		const now = this.#options.clock.readMonotonic();
		const listedTasks = new Set<Task>();
		const listedUnknownRuns = new Set<string>();
		for (const run of running) {
			const task = this.#findTask(run.key);
			if (task !== undefined && task.isInFlight && task.run === run.key.run && session.tasks.has(task)) {
				listedTasks.add(task);
				observeRun(task, run, now);
				if (task.job.isTerminal && task.phase !== 'stopping') {
					session.stopTask(task);
				}
			} else {
				const name = formatRun(run.key);
				listedUnknownRuns.add(name);
				session.unknownRuns.set(name, run.key);
				void session.stopUnknownRun(name, run.key);
			}
		}

		for (const name of session.unknownRuns.keys()) {
			if (!listedUnknownRuns.has(name)) {
				session.unknownRuns.delete(name);
			}
		}

		// A run that is not listed may have ended as one of the ends that are not listed yet.
		for (const task of areEndsComplete ? session.tasks : []) {
			if (!listedTasks.has(task) && this.#isKnownEnded(session, task, sentAt)) {
				this.#options.log.info('run not found on worker', {
					job: task.job.job.id, task: task.name, run: task.run, worker: session.name, phase: task.phase,
				});
				this.#releaseTask(task, changed);
			}
		}
	}

	/** Reports whether a task that is missing from the listing requested at `sentAt` is certain not to be running. */
	#isKnownEnded(session: WorkerSession, task: Task, sentAt: number): boolean {
		if (task.phase === 'running') {
			return task.orderedAt < sentAt;
		}

		if (task.phase === 'stopping') {
			return session.isStopSettled(task, sentAt);
		}

		// An earlier holder ordered the run and it is not listed. The worker has accepted this holder's token, so it rejects a delayed start of the run.
		return task.phase === 'starting' && task.orderedAt === 0;
	}

	/** Unassigns a task from its worker and makes it eligible for a new start. */
	#releaseTask(task: Task, changed: Set<ActiveJob>): void {
		if (task.pendingCrash !== undefined) {
			this.#recordCrash(task, task.incarnation?.id ?? '', task.pendingCrash);
			task.pendingCrash = undefined;
		}

		this.#findSession(task)?.removeTask(task);
		if (task.phase !== 'done') {
			task.phase = 'waiting';
			task.releasedAt = this.#options.clock.readMonotonic();
			task.incarnation = undefined;
			task.percent = 0;
			task.speedPercent = 100;
			changed.add(task.job);
		}
	}

	#record(changed: ReadonlySet<ActiveJob>): void {
		if (changed.size > 0 && !this.#isClosed) {
			void this.#tryRecord(changed);
		}

		this.#planner.wake();
	}

	/** Resolves to whether the progress of these jobs, and everything recorded before, is durable. */
	async #tryRecord(changed: ReadonlySet<ActiveJob>): Promise<boolean> {
		try {
			await (changed.size > 0 ? this.#progressWriter.record(changed) : this.#progressWriter.flush());
			return true;
		} catch (error) {
			this.#options.log.warn('progress not recorded; the fence is lost', {service: this.service, error: readErrorMessage(error)});
			return false;
		}
	}

	/** Handles time-driven changes: expired leases, stalled runs and removal of ended jobs. */
	#handleTimeouts(): void {
		const now = this.#options.clock.readMonotonic();
		const changed = new Set<ActiveJob>();
		for (const session of this.#sessions.values()) {
			if (!session.isReachable && now > session.runsEndBy) {
				this.#expireLease(session, now, changed);
			} else if (session.isReachable && session.isListed) {
				this.#stopStalledOrDraining(session, now);
			}
		}

		this.#releaseDoubtful(this.#doubtfulRuns.takeExpired(now));

		for (const [incarnation, endedAt] of this.#endedIncarnations) {
			if (now - endedAt > this.#options.timings.endedIncarnationRetentionMs) {
				this.#endedIncarnations.delete(incarnation);
			}
		}

		for (const [id, active] of this.#jobs) {
			if (active.isTerminal && !active.hasRunsInFlight) {
				this.#options.feed.scheduleRemoval(active);
				this.#jobs.delete(id);
			}
		}

		this.#record(changed);
	}

	#expireLease(session: WorkerSession, now: number, changed: Set<ActiveJob>): void {
		const expired = [...session.tasks].filter(task => now > session.computeRunEnd(task));
		if (expired.length > 0) {
			this.#options.log.info('lease lapsed', {worker: session.name, tasks: expired.length, unlisted: session.tasks.size - expired.length});
			// The worker may be cut off rather than crashed; that shows once it answers again or its VM is found down.
			const evidence = computeEvidence(this.#describeLoss(session, session.lostAt ?? now), this.#crashes, this.#sessions.size);
			for (const [task, crash] of [...evidence].filter(([task]) => expired.includes(task))) {
				session.crashAtExpiry.set(task, crash);
			}
		}

		for (const task of expired) {
			this.#releaseTask(task, changed);
		}

		this.#updateStates(changed);

		if (!session.isRegistered && session.tasks.size === 0) {
			this.#closeSession(session);
		}
	}

	/** Stops stalled runs, and long-running tasks on draining workers. */
	#stopStalledOrDraining(session: WorkerSession, now: number): void {
		const {log} = this.#options;
		for (const task of session.tasks) {
			const stallMs = Math.max(stallTimeoutMs, task.spec.estimatedMs * stallTimeoutShare);
			const isStalled = task.phase === 'running' && task.speedPercent === 100 && session.listedAt - Math.max(task.orderedAt, task.progressedAt) > stallMs
				&& !(task.spec.isLongRunning && task.percent >= 100);
			const isDraining = task.phase === 'running' && session.record.isDraining && task.spec.isLongRunning;
			if (isStalled) {
				session.health.recordEnding(task.job.job.id, true, now);
			}

			if (isStalled || isDraining) {
				log.info('run stopped', {
					job: task.job.job.id, task: task.name, run: task.run, worker: session.name, reason: isStalled ? 'no progress' : 'worker is draining', percent: task.percent,
				});
				session.stopTask(task);
			}
		}
	}

	/** Starts the run of a task unless its job has ended or the task was unassigned meanwhile. */
	#startRun(task: Task, run: number): void {
		const session = this.#findSession(task);
		if (task.phase === 'recorded' && task.run === run && session !== undefined) {
			void this.#starter.start(task, session, () => this.#advice.getTicket(task, session.record.id));
		}
	}
}

/** Reports whether no run of a task is on its way or active, nor one of its gang, so that the end of an earlier run counts, such as one whose lease has lapsed. */
function isUnstarted({spec, stepState, phase}: Task): boolean {
	const members = spec.isGang ? stepState.tasks.map(member => member.phase) : [phase];
	return !spec.isLongRunning && members.every(memberPhase => memberPhase === 'waiting' || memberPhase === 'recorded');
}

/** Rounds a probability for a log line. */
function formatShare(share: number): string {
	return share.toFixed(shareDigits);
}

function formatRun({job, occurrence, step, index, run}: RunKey): string {
	return `${job}.${occurrence}.${step}.${index}#${run}`;
}

