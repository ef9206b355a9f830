/**
 * The holder's scheduler of one pool: its jobs, its workers and the runs between them.
 */
import {
	readErrorMessage, type Clock, type JobId, type ServiceName, type VmId,
} from '@tamarackwind/core';
import {type WatchedTableService} from '@tamarackwind/clients';
import {
	addResources, chooseWorker, compareRanks, getReservation, planGang, rankJob, type Candidate, type Rank, type Resources,
} from '@tamarackwind/scheduling';
import {ActiveJob, type StepState, type Task} from './active-jobs.js';
import {AdviceCache} from './advice-caches.js';
import {type DecisionLog} from './decision-logs.js';
import {JobFeed, type JobNews} from './job-feeds.js';
import {formatLife, type RunKey, type WorkerLife} from './jobs.js';
import {Ledger} from './ledgers.js';
import {PaceKeeper} from './pace-keepers.js';
import {RunStarter} from './start-orders.js';
import {Signal} from './signals.js';
import {
	type WorkerControl, type ListedEnd, type ListedRun, type PlacementAdvisor, type WorkerListing, type WorkerRecord,
} from './workers.js';
import {SessionOwner, WorkerSession} from './worker-sessions.js';

export type PoolSchedulerOptions = {
	readonly clock: Clock;
	readonly tables: WatchedTableService;
	readonly control: WorkerControl;
	readonly advisor: PlacementAdvisor;
	readonly log: DecisionLog;
	readonly service: ServiceName;
	readonly epoch: number;
	readonly holder: string;
	/** Tells whether orders may be given now. */
	readonly canOrder: () => boolean;
	/** Tells whether leases may be renewed now. */
	readonly isHoldAllowed: () => boolean;
	/** When whatever an earlier holder started has surely ended on a worker that can't be reached; on the monotonic clock. */
	readonly unknownUntil: number;
	/** Called when another holder has taken the service. */
	readonly onLost: () => void;
	/** Time for which ended jobs are kept, in milliseconds. */
	readonly retentionMs: number;
};

/** Longest pause between two plans, in milliseconds: bounds what depends on time alone, such as lapses and due times. */
const planIntervalMs = 100;
/** Least pause between two plans, in milliseconds: lets ends and submissions gather. */
const planGapMs = 15;
/** Time without progress after which a run counts as stalled, in milliseconds: several listings, at worker speeds down to a tenth. */
const stallMs = 3000;
/** Pause before a task that lasts is started again after it failed at once, in milliseconds. */
const restartPauseMs = 150;
/** Refusal of an unhealthy worker keeps work away for this long, in milliseconds. */
const refusalMs = 1000;
/** Time for which an ended life of a worker is known as such, in milliseconds: above the three heartbeats after which the registry forgets it. */
const endedLifeMs = 10_000;
/** Most steps that were planned in vain before a plan ends. */
const vainSteps = 24;

/** What a pool's jobs ask for; processors are in thousandths of a core. */
export type PoolLoad = {
	/** Work that is not done, in thousandths of a core times milliseconds. */
	readonly work: number;
	/** Processors in use or assigned. */
	readonly usedCpu: number;
	/** Processors that tasks wait for whose turn has come. */
	readonly waitingCpu: number;
	/** Processors of the workers that may get work. */
	readonly cpu: number;
	/** Workers that the widest lasting step needs which keeps its tasks apart. */
	readonly spreadVms: number;
};

type Ranked = {readonly job: ActiveJob; readonly rank: Rank};
type PlanCandidate = Candidate & {readonly session: WorkerSession};

/** Schedules the jobs of one pool while its process holds the duty. */
export class PoolScheduler extends SessionOwner {
	static create(options: PoolSchedulerOptions): PoolScheduler {
		return new PoolScheduler(options);
	}

	readonly service: ServiceName;
	readonly fencingToken: number;
	readonly #options: PoolSchedulerOptions;
	readonly #ledger: Ledger;
	readonly #feed: JobFeed;
	readonly #starter: RunStarter;
	readonly #advice: AdviceCache;
	readonly #pace: PaceKeeper;
	readonly #jobs = new Map<JobId, ActiveJob>();
	readonly #sessions = new Map<VmId, WorkerSession>();
	/** Tasks that an earlier holder assigned to a life of a worker that is not listed. */
	readonly #orphans = new Set<Task>();
	/** Lives of workers that have ended, by the time when that was learned; the registry may list them for some seconds more. */
	readonly #endedLives = new Map<string, number>();
	readonly #wake = Signal.create();
	#isClosed = false;

	private constructor(options: PoolSchedulerOptions) {
		super();
		this.#options = options;
		this.service = options.service;
		this.fencingToken = options.epoch;
		this.#ledger = Ledger.create({
			...options, onLost() {
				options.onLost();
			},
		});
		this.#feed = JobFeed.create({
			...options, onNews: news => {
				this.#takeNews(news);
			},
		});
		this.#starter = RunStarter.create({
			clock: options.clock, control: options.control, log: options.log, epoch: options.epoch, canOrder: options.canOrder,
			onSettled: task => {
				this.#stopPartialGang(task);
				this.#wake.set();
			},
		});
		this.#advice = AdviceCache.create({
			clock: options.clock, advisor: options.advisor, log: options.log, onAnswer: () => {
				this.#wake.set();
			},
		});
		this.#pace = PaceKeeper.create({
			clock: options.clock, control: options.control, log: options.log, epoch: options.epoch,
		});
	}

	override get isHoldAllowed(): boolean {
		return !this.#isClosed && this.#options.isHoldAllowed();
	}

	get jobs(): Iterable<ActiveJob> {
		return this.#jobs.values();
	}

	get sessions(): Iterable<WorkerSession> {
		return this.#sessions.values();
	}

	/** Submitted jobs of each queue of which no task is known to have begun. */
	countWaiting(): Map<string, number> {
		const counts = new Map<string, number>();
		for (const active of this.#jobs.values()) {
			if (!active.isTerminal && !active.hasBegun) {
				counts.set(active.job.queue, (counts.get(active.job.queue) ?? 0) + 1);
			}
		}

		return counts;
	}

	/** What the pool's jobs ask for, and the room for it. */
	describeLoad(): PoolLoad {
		let work = 0;
		let usedCpu = 0;
		let waitingCpu = 0;
		let spreadVms = 0;
		for (const active of this.#jobs.values()) {
			if (active.isTerminal) {
				continue;
			}

			for (const {spec, tasks} of active.steps) {
				const open = tasks.filter(task => task.phase !== 'done');
				const out = open.filter(task => task.phase !== 'waiting').length;
				const {cpu} = getReservation(spec);
				usedCpu += out * cpu;
				spreadVms = Math.max(spreadVms, spec.isLongRunning && spec.antiAffinity !== undefined ? Math.ceil(spec.count / spec.antiAffinity) : 0);
				work += spec.isLongRunning ? 0 : open.length * cpu * spec.estimatedMs;
			}

			for (const {spec, tasks} of active.listReadySteps()) {
				waitingCpu += tasks.filter(task => task.phase === 'waiting').length * getReservation(spec).cpu;
			}
		}

		const open = [...this.#sessions.values()].filter(session => session.isOpen);
		return {
			work, usedCpu, waitingCpu, spreadVms, cpu: open.reduce((sum, session) => sum + session.record.capacity.cpu, 0),
		};
	}

	/** Takes the service over: fences earlier holders off, reads what they left, and starts. */
	async open(): Promise<void> {
		await this.#ledger.open();
		const {jobs, orphans} = await this.#feed.load();
		for (const active of jobs) {
			this.#jobs.set(active.job.id, active);
		}

		for (const task of orphans) {
			this.#orphans.add(task);
		}

		this.#feed.start();
		void this.#run();
		this.#record(new Set(jobs.filter(active => this.#noteEnded(active))));
	}

	/** Completes a job that was cancelled before its holder could write so; tells whether there was something to complete. */
	#noteEnded(active: ActiveJob): boolean {
		const isNew = active.isTerminal && active.endedAt === undefined;
		if (isNew) {
			active.endedAt = this.#options.clock.readWall();
		}

		return isNew;
	}

	/** Takes in the workers that the registry lists for this pool. */
	updateWorkers(records: readonly WorkerRecord[]): void {
		const listed = new Set<VmId>();
		for (const record of records.filter(({id, bornAt}) => !this.#endedLives.has(formatLife({id, bornAt})))) {
			listed.add(record.id);
			const known = this.#sessions.get(record.id);
			if (known?.record.bornAt === record.bornAt) {
				known.record = record;
				known.isRegistered = true;
			} else {
				if (known !== undefined) {
					this.endLife(known, 'registry lists a later life');
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

		this.#wake.set();
	}

	/** Workers with tasks that can't be reached, or that an earlier holder recorded and the registry does not list. */
	listLostWorkers(): VmId[] {
		const unreachable = [...this.#sessions.values()].filter(session => !session.isReachable && session.tasks.size > 0).map(session => session.record.id);
		const recorded = [...this.#orphans].flatMap(task => task.life === undefined ? [] : [task.life.id]);
		return [...new Set([...unreachable, ...recorded])];
	}

	/** Takes in that lives are over although their workers can't be reached. */
	endLives(lives: ReadonlySet<VmId>): void {
		for (const session of this.#sessions.values()) {
			if (lives.has(session.record.id)) {
				this.endLife(session, 'VM is down');
			}
		}

		for (const task of this.#orphans) {
			if (task.life !== undefined && lives.has(task.life.id)) {
				this.#releaseOrphan(task);
			}
		}
	}

	override async applyListing(session: WorkerSession, listing: WorkerListing, sentAt: number): Promise<boolean> {
		const changed = new Set<ActiveJob>();
		for (const end of listing.ends) {
			this.#applyEnd(session, end, changed);
		}

		this.#applyRuns(session, listing.running, sentAt, changed);
		this.#pace.update(session);
		this.#wake.set();
		return this.#recordSafely(changed);
	}

	override endLife(session: WorkerSession, reason: string): void {
		const {log} = this.#options;
		log.info('worker life ended', {worker: session.name, reason, tasks: session.tasks.size});
		this.#endedLives.set(session.name, this.#options.clock.readMonotonic());
		const changed = new Set<ActiveJob>();
		for (const task of session.tasks) {
			this.#releaseTask(task, changed);
		}

		this.#closeSession(session);
		this.#record(changed);
	}

	override noteFenced(session: WorkerSession): void {
		this.#options.log.warn('worker obeys a later holder', {worker: session.name, epoch: this.fencingToken});
	}

	/** Stops scheduling; what runs goes on under its leases. */
	close(): void {
		this.#isClosed = true;
		this.#ledger.close();
		this.#feed.close();
		for (const session of this.#sessions.values()) {
			session.close();
		}

		this.#wake.set();
	}

	#addSession(record: WorkerRecord): void {
		const {clock, control, log, unknownUntil} = this.#options;
		const session = WorkerSession.create({
			clock, control, log, owner: this, record, unknownUntil,
		});
		this.#sessions.set(record.id, session);
		for (const task of this.#orphans) {
			if (isSameLife(task.life, record)) {
				this.#orphans.delete(task);
				session.addTask(task);
			} else if (task.life?.id === record.id) {
				this.#releaseOrphan(task);
			}
		}
	}

	#closeSession(session: WorkerSession): void {
		session.close();
		if (this.#sessions.get(session.record.id) === session) {
			this.#sessions.delete(session.record.id);
		}
	}

	#releaseOrphan(task: Task): void {
		this.#orphans.delete(task);
		this.#releaseTask(task, new Set());
		this.#wake.set();
	}

	#takeNews(news: readonly JobNews[]): void {
		const {clock, log} = this.#options;
		for (const item of news) {
			const active = this.#jobs.get(item.id);
			if (item.kind === 'cancelled') {
				this.#cancelJob(active);
			} else if (active === undefined) {
				this.#jobs.set(item.id, ActiveJob.create(item.job, {monotonic: clock.readMonotonic(), wall: clock.readWall()}));
				log.info('job taken up', {job: item.id, queue: item.job.queue, version: item.version});
			}
		}

		this.#wake.set();
	}

	#cancelJob(active: ActiveJob | undefined): void {
		if (active !== undefined && !active.isTerminal) {
			active.isCancelled = true;
			const changed = new Set<ActiveJob>();
			this.#updateState(active, changed);
			this.#record(changed);
		}
	}

	/** Works out a job's state after a change; ends its other runs when it has ended. */
	#updateState(active: ActiveJob, changed: Set<ActiveJob>): void {
		changed.add(active);
		const before = active.state;
		active.updateState();
		if (active.isTerminal && active.state !== before) {
			const {clock, log} = this.#options;
			active.endedAt = clock.readWall();
			log.info('job ended', {
				job: active.job.id, queue: active.job.queue, state: active.state, ageMs: Math.round(clock.readMonotonic() - active.submittedAt),
			});
			for (const task of active.tasks) {
				this.#endTask(task);
			}
		}
	}

	/** Ends whatever a task of an ended job still has out. */
	#endTask(task: Task): void {
		const session = this.#findSession(task);
		if (task.phase === 'recorded') {
			session?.removeTask(task);
			task.phase = 'waiting';
			task.life = undefined;
		} else if (task.isOut) {
			session?.stopTask(task);
		}
	}

	#findSession(task: Task): WorkerSession | undefined {
		const session = task.life === undefined ? undefined : this.#sessions.get(task.life.id);
		return session?.tasks.has(task) ? session : undefined;
	}

	#findTask(key: RunKey): Task | undefined {
		return this.#jobs.get(key.job)?.findTask(key);
	}

	#applyEnd(session: WorkerSession, {key, ending, checkpoint}: ListedEnd, changed: Set<ActiveJob>): void {
		session.strays.delete(formatRun(key));
		const task = this.#findTask(key);
		if (task === undefined || !task.isOut || task.run !== key.run || !session.tasks.has(task)) {
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
		this.#releaseTask(task, changed);
		if (ending === 'done' && !task.spec.isLongRunning) {
			session.health.recordEnding(key.job, false, now);
			for (const member of task.spec.isGang ? task.stepState.tasks : [task]) {
				this.#findSession(member)?.removeTask(member);
				member.phase = 'done';
				member.life = undefined;
			}
		} else if (ending === 'failed') {
			session.health.recordEnding(key.job, true, now);
			task.failures++;
			task.notBefore = task.spec.isLongRunning ? now + restartPauseMs : 0;
		}

		this.#updateState(task.job, changed);
	}

	/** A gang of which one start came to nothing waits in vain: its other runs are stopped. */
	#stopPartialGang(task: Task): void {
		for (const member of task.spec.isGang ? task.stepState.tasks : []) {
			if (member.phase === 'starting' || member.phase === 'running') {
				this.#findSession(member)?.stopTask(member);
			}
		}
	}

	#applyRuns(session: WorkerSession, running: readonly ListedRun[], sentAt: number, changed: Set<ActiveJob>): void {
		const now = this.#options.clock.readMonotonic();
		const seen = new Set<Task>();
		const strays = new Set<string>();
		for (const run of running) {
			const task = this.#findTask(run.key);
			if (task !== undefined && task.isOut && task.run === run.key.run && session.tasks.has(task)) {
				seen.add(task);
				observeRun(task, run, now);
				if (task.job.isTerminal && task.phase !== 'stopping') {
					session.stopTask(task);
				}
			} else {
				strays.add(formatRun(run.key));
				session.strays.set(formatRun(run.key), run.key);
				void session.stopStray(run.key);
			}
		}

		for (const name of session.strays.keys()) {
			if (!strays.has(name)) {
				session.strays.delete(name);
			}
		}

		for (const task of session.tasks) {
			if (!seen.has(task) && this.#isGone(session, task, sentAt)) {
				this.#options.log.info('run is not there', {
					job: task.job.job.id, task: task.name, run: task.run, worker: session.name, phase: task.phase,
				});
				this.#releaseTask(task, changed);
				this.#updateState(task.job, changed);
			}
		}
	}

	/** Tells whether a task that a listing asked for at `sentAt` does not show is surely not there. */
	#isGone(session: WorkerSession, task: Task, sentAt: number): boolean {
		if (task.phase === 'running') {
			return task.orderedAt < sentAt;
		}

		if (task.phase === 'stopping') {
			return session.isStopSettled(task, sentAt);
		}

		// What an earlier holder ordered and is not there now is fenced off.
		return task.phase === 'starting' && task.orderedAt === 0;
	}

	/** Takes a task off its worker; it may start again at once. */
	#releaseTask(task: Task, changed: Set<ActiveJob>): void {
		this.#findSession(task)?.removeTask(task);
		if (task.phase !== 'done') {
			task.phase = 'waiting';
			task.life = undefined;
			task.percent = 0;
			task.pace = 100;
			changed.add(task.job);
		}
	}

	#record(changed: ReadonlySet<ActiveJob>): void {
		if (changed.size > 0 && !this.#isClosed) {
			void this.#recordSafely(changed);
		}

		this.#wake.set();
	}

	/** Resolves to whether these jobs, and all that were recorded before, are durable. */
	async #recordSafely(changed: ReadonlySet<ActiveJob>): Promise<boolean> {
		try {
			await (changed.size > 0 ? this.#ledger.record(changed) : this.#ledger.settle());
			return true;
		} catch (error) {
			this.#options.log.warn('progress is not this holder\'s to write', {service: this.service, error: readErrorMessage(error)});
			return false;
		}
	}

	async #run(): Promise<void> {
		const {clock, log} = this.#options;
		while (!this.#isClosed) {
			await Promise.race([this.#wake.wait(), clock.sleep(planIntervalMs)]);
			await clock.sleep(planGapMs);
			try {
				this.#checkTime();
				if (this.#options.canOrder() && !this.#isClosed) {
					this.#plan();
				}
			} catch (error) {
				log.warn('plan failed', {service: this.service, error: readErrorMessage(error), stack: error instanceof Error ? error.stack : undefined});
			}
		}
	}

	/** Does what time alone brings about: lapsed leases, stalled runs, forgotten jobs. */
	#checkTime(): void {
		const now = this.#options.clock.readMonotonic();
		const changed = new Set<ActiveJob>();
		for (const session of this.#sessions.values()) {
			if (!session.isReachable && now > session.lapsesAt) {
				this.#applyLapse(session, changed);
			} else if (session.isReachable && session.isListed) {
				this.#stopMisplaced(session, now);
			}
		}

		for (const task of this.#orphans) {
			if (now > this.#options.unknownUntil) {
				this.#releaseOrphan(task);
			}
		}

		for (const [life, endedAt] of this.#endedLives) {
			if (now - endedAt > endedLifeMs) {
				this.#endedLives.delete(life);
			}
		}

		for (const [id, active] of this.#jobs) {
			if (active.isTerminal && !active.tasks.some(task => task.isOut)) {
				this.#feed.scheduleRemoval(active);
				this.#jobs.delete(id);
			}
		}

		this.#record(changed);
	}

	#applyLapse(session: WorkerSession, changed: Set<ActiveJob>): void {
		if (session.tasks.size > 0) {
			this.#options.log.info('lease lapsed', {worker: session.name, tasks: session.tasks.size});
		}

		for (const task of session.tasks) {
			this.#releaseTask(task, changed);
			this.#updateState(task.job, changed);
		}

		if (!session.isRegistered) {
			this.#closeSession(session);
		}
	}

	/** Stops runs that stand still, and tasks that last on a worker that is about to leave. */
	#stopMisplaced(session: WorkerSession, now: number): void {
		const {log} = this.#options;
		for (const task of session.tasks) {
			const isStalled = task.phase === 'running' && task.pace === 100 && now - Math.max(task.orderedAt, task.advancedAt) > stallMs
				&& !(task.spec.isLongRunning && task.percent >= 100);
			const isLeaving = task.phase === 'running' && session.record.isDraining && task.spec.isLongRunning;
			if (isStalled) {
				session.health.recordEnding(task.job.job.id, true, now);
			}

			if (isStalled || isLeaving) {
				log.info('run stopped', {
					job: task.job.job.id, task: task.name, run: task.run, worker: session.name, reason: isStalled ? 'no progress' : 'worker leaves', percent: task.percent,
				});
				session.stopTask(task);
			}
		}
	}

	#plan(): void {
		const {clock} = this.#options;
		const now = clock.readMonotonic();
		const ranked = this.#rankJobs(now, clock.readWall());
		const candidates = [...this.#sessions.values()].filter(session => session.isOpen).map(session => session.describe(now));
		if (ranked.length === 0 || candidates.length === 0) {
			return;
		}

		const placed: Task[] = [];
		let vain = 0;
		for (const {job} of ranked) {
			for (const step of job.listReadySteps()) {
				const tasks = this.#placeStep(step, candidates, now);
				placed.push(...tasks);
				vain += tasks.length === 0 ? 1 : 0;
			}

			if (vain > vainSteps) {
				break;
			}
		}

		if (placed.length > 0) {
			void this.#start(placed);
		}
	}

	#rankJobs(now: number, wall: number): Ranked[] {
		const ranked: Ranked[] = [];
		for (const job of this.#jobs.values()) {
			if (!job.isTerminal) {
				job.openOccurrences(wall);
				ranked.push({job, rank: rankJob(job.describeRank(), now)});
			}
		}

		return ranked.toSorted((a, b) => compareRanks(a.rank, b.rank));
	}

	#placeStep(step: StepState, candidates: PlanCandidate[], now: number): Task[] {
		const waiting = step.tasks.filter(task => task.phase === 'waiting' && task.notBefore <= now);
		const {advice} = waiting[0]?.job.job.policy ?? {};
		const allowed = advice === undefined || waiting.length === 0 ? candidates : this.#advice.filterAllowed(waiting[0]!, candidates);
		if (step.spec.isGang) {
			return waiting.length === step.tasks.length ? this.#placeGang(step, waiting, allowed, candidates) : [];
		}

		const placed: Task[] = [];
		for (const task of waiting) {
			const choice = chooseWorker({step: step.spec, candidates: allowed, occupancy: step.occupancy});
			if (choice === undefined) {
				break;
			}

			this.#assign(task, choice, candidates, task.run + 1);
			placed.push(task);
		}

		return placed;
	}

	#placeGang(step: StepState, waiting: readonly Task[], allowed: readonly PlanCandidate[], candidates: PlanCandidate[]): Task[] {
		const plan = planGang(step.spec, allowed);
		if (plan === undefined) {
			return [];
		}

		const run = Math.max(...waiting.map(task => task.run)) + 1;
		for (const [index, task] of waiting.entries()) {
			this.#assign(task, candidates.find(candidate => candidate.id === plan[index]!.id)!, candidates, run);
		}

		return [...waiting];
	}

	#assign(task: Task, choice: PlanCandidate, candidates: PlanCandidate[], run: number): void {
		const {session} = choice;
		task.run = run;
		task.phase = 'recorded';
		task.life = {id: session.record.id, bornAt: session.record.bornAt};
		session.addTask(task);
		const index = candidates.findIndex(candidate => candidate.id === choice.id);
		const free: Resources = addResources(candidates[index]!.free, getReservation(task.spec), -1);
		candidates[index] = {...candidates[index]!, free};
	}

	async #start(tasks: readonly Task[]): Promise<void> {
		const runs = tasks.map(task => ({task, run: task.run}));
		const jobs = new Set(tasks.map(task => task.job));
		for (const job of jobs) {
			job.updateState();
		}

		if (!await this.#recordSafely(jobs)) {
			return;
		}

		for (const {task, run} of runs) {
			const session = this.#findSession(task);
			if (task.phase === 'recorded' && task.run === run && session !== undefined) {
				void this.#starter.start(task, session, this.#advice.getTicket(task, session.record.id), refusalMs);
			}
		}
	}
}

function observeRun(task: Task, run: ListedRun, now: number): void {
	task.job.hasBegun = true;
	if (task.phase === 'starting') {
		task.phase = 'running';
	}

	if (task.orderedAt === 0) {
		task.orderedAt = now;
	}

	if (run.percent !== task.percent) {
		task.percent = run.percent;
		task.advancedAt = now;
	}

	task.load = run.load;
	if (run.checkpoint !== '') {
		saveCheckpoint(task, run.checkpoint);
	}
}

/** Notes a checkpoint; one of any member of a gang is valid for all, and all must carry the same. */
function saveCheckpoint(task: Task, checkpoint: string): void {
	for (const member of task.spec.isGang ? task.stepState.tasks : [task]) {
		member.checkpoint = checkpoint;
	}
}

function isSameLife(a: WorkerLife | undefined, b: WorkerLife): boolean {
	return a?.id === b.id && a.bornAt === b.bornAt;
}

function formatRun({job, occurrence, step, index, run}: RunKey): string {
	return `${job}.${occurrence}.${step}.${index}#${run}`;
}

