/**
 * In-memory state of the jobs that the scheduler's holder runs: the phases of their tasks, and the encoding of progress rows.
 */
import {computeCriticalPathMs, type RankedJob, type StepSpec} from '@tamarackwind/scheduling';
import {
	formatTask, isTerminal, type Job, type JobState, type RunKey, type TaskKey, type WorkerIncarnation,
} from './jobs.js';
import {type Progress, type ProgressRow} from './records.js';

/**
 * - `waiting`: not assigned to a worker.
 * - `recorded`: assigned to a worker; the assignment is being written.
 * - `starting`: the start was sent; its outcome is not known yet.
 * - `running`: the worker has confirmed the run.
 * - `stopping`: a stop was requested, or the start's outcome is unknown and the run is being stopped.
 * - `done`: the task has succeeded; final.
 */
export type TaskPhase = 'waiting' | 'recorded' | 'starting' | 'running' | 'stopping' | 'done';

/** One task of an active job. */
export class Task {
	static create(job: ActiveJob, step: StepState, index: number): Task {
		return new Task(job, step, index);
	}

	phase: TaskPhase = 'waiting';
	/** Number of the last ordered run; 0 before the first. */
	run = 0;
	/** Number of failed runs. */
	failures = 0;
	/** Number of workers that crashed while a run of the task may have been the cause. */
	crashes = 0;
	/** Whether the task gets no further start because workers crash under it. */
	isGivenUp = false;
	checkpoint = '';
	/** Worker incarnation to which the last run was assigned; `undefined` once that run is known to have ended. */
	incarnation: WorkerIncarnation | undefined;
	/** Progress reported by the worker, in percent. */
	percent = 0;
	/** Time at which the start was sent, or its response received, on the monotonic clock; 0 for a start that an earlier holder sent until the run is listed. */
	orderedAt = 0;
	/** Time at which `percent` last changed, on the monotonic clock. */
	progressedAt = 0;
	/** Last reported load: tail latency in milliseconds for a serving task, CPU in use for any other. */
	load = 0;
	/** Speed to which the task was last throttled, in percent of full speed. */
	speedPercent = 100;
	/** Whether the worker has confirmed the current run, by its response or in a listing. */
	isConfirmed = false;
	/** Whether the worker incarnation to which the task is assigned has listed the current run. */
	isListed = false;
	/** Earliest time of the next start, on the monotonic clock. */
	notBefore = 0;

	private constructor(readonly job: ActiveJob, readonly stepState: StepState, readonly index: number) {}

	get spec(): StepSpec {
		return this.stepState.spec;
	}

	get key(): TaskKey {
		return {
			job: this.job.job.id, occurrence: this.stepState.occurrence, step: this.stepState.step, index: this.index,
		};
	}

	get runKey(): RunKey {
		return {...this.key, run: this.run};
	}

	/** Reports whether a run of the task may be active on a worker. */
	get isInFlight(): boolean {
		return this.phase === 'starting' || this.phase === 'running' || this.phase === 'stopping';
	}

	get name(): string {
		return formatTask(this.key);
	}
}

/** One step of one occurrence. */
export class StepState {
	static create(job: ActiveJob, occurrence: number, step: number): StepState {
		return new StepState(job, occurrence, step);
	}

	readonly spec: StepSpec;
	readonly tasks: readonly Task[];

	private constructor(job: ActiveJob, readonly occurrence: number, readonly step: number) {
		this.spec = job.job.steps[step]!;
		this.tasks = Array.from({length: this.spec.count}, (_, index) => Task.create(job, this, index));
	}

	get isDone(): boolean {
		return this.tasks.every(task => task.phase === 'done');
	}

	/** Number of the step's tasks on each worker. */
	get occupancy(): Map<string, number> {
		const counts = new Map<string, number>();
		for (const {incarnation, phase} of this.tasks) {
			if (incarnation !== undefined && phase !== 'done') {
				counts.set(incarnation.id, (counts.get(incarnation.id) ?? 0) + 1);
			}
		}

		return counts;
	}
}

/** A job that the holder schedules. */
export class ActiveJob {
	static create(job: Job, now: {readonly monotonic: number; readonly wall: number}): ActiveJob {
		return new ActiveJob(job, now);
	}

	state: JobState = 'queued';
	endedAt: number | undefined;
	readonly isLongRunning: boolean;
	/** Whether a cancellation of the job has been read. */
	isCancelled = false;
	/** Whether a worker has confirmed a run or an earlier holder recorded the end of one. */
	hasBegun = false;
	/** Submission time on the monotonic clock, from which the latency objective is measured. */
	readonly submittedAt: number;
	#cachedRank: {readonly doneSteps: number; readonly rankedJob: RankedJob} | undefined;
	readonly #occurrences = new Map<number, readonly StepState[]>();

	private constructor(readonly job: Job, now: {readonly monotonic: number; readonly wall: number}) {
		this.isLongRunning = job.steps.some(step => step.isLongRunning);
		// The wall clocks of entries differ slightly; a submission time in the future counts as now.
		this.submittedAt = now.monotonic - Math.max(0, now.wall - job.submittedAt);
	}

	get isTerminal(): boolean {
		return isTerminal(this.state);
	}

	/** Steps of all occurrences that have been opened. */
	get steps(): StepState[] {
		return [...this.#occurrences.values()].flat();
	}

	/** Tasks of all occurrences that have been opened. */
	get tasks(): Task[] {
		return this.steps.flatMap(step => step.tasks);
	}

	/** Creates the steps of the occurrences that are due at `wall`. */
	openOccurrences(wall: number): void {
		const {schedule} = this.job;
		const dueCount = schedule === undefined
			? 1
			: Math.min(schedule.repetitions, Math.floor((wall - schedule.firstAt) / Math.max(1, schedule.intervalMs)) + 1);
		for (let occurrence = this.#occurrences.size; occurrence < dueCount; occurrence++) {
			this.#openOccurrence(occurrence);
		}
	}

	/** Lists the steps with waiting tasks whose preceding steps are all done. */
	listReadySteps(): StepState[] {
		const ready: StepState[] = [];
		for (const steps of this.#occurrences.values()) {
			for (const step of steps) {
				if (step.tasks.some(task => task.phase === 'waiting') && step.spec.after.every(earlier => steps[earlier]?.isDone ?? false)) {
					ready.push(step);
				}
			}
		}

		return ready;
	}

	/** Finds a task; returns `undefined` when the job has no such task. */
	findTask({occurrence, step, index}: Pick<TaskKey, 'occurrence' | 'step' | 'index'>): Task | undefined {
		return this.#occurrences.get(occurrence)?.[step]?.tasks[index];
	}

	/** Describes the job for ranking; the description is cached until another step is done. */
	describeRank(): RankedJob {
		const newest = this.#occurrences.get(this.#occurrences.size - 1) ?? [];
		const doneSteps = newest.filter(step => step.isDone).length;
		if (this.#cachedRank?.doneSteps !== doneSteps) {
			const {policy, steps, schedule, submittedAt} = this.job;
			const dueAt = schedule === undefined ? 0 : schedule.firstAt - submittedAt;
			this.#cachedRank = {
				doneSteps,
				rankedJob: {
					policy,
					isLongRunning: this.isLongRunning,
					submittedAt: this.submittedAt + Math.max(0, dueAt),
					criticalPathMs: computeCriticalPathMs(steps, step => step.estimatedMs),
					remainingMs: computeCriticalPathMs(steps, (step, index) => newest[index]?.isDone ? 0 : step.estimatedMs),
				},
			};
		}

		return this.#cachedRank.rankedJob;
	}

	/** Recomputes the state from the tasks; a terminal state is final. */
	updateState(): void {
		if (this.isTerminal) {
			return;
		}

		const {tasks, job} = this;
		const {maxAttempts} = job.policy;
		if (this.isCancelled) {
			this.state = 'cancelled';
		} else if (tasks.some(task => task.isGivenUp || (!task.spec.isLongRunning && task.phase !== 'done' && task.failures >= maxAttempts))) {
			this.state = 'failed';
		} else if (this.#occurrences.size === (job.schedule?.repetitions ?? 1) && tasks.every(task => task.phase === 'done')) {
			this.state = 'succeeded';
		} else if (tasks.some(task => task.run > 0)) {
			this.state = 'running';
		}
	}

	/** Encodes the progress that the next holder needs. */
	encodeProgress(): ProgressRow {
		const {state, endedAt} = this;
		if (this.isTerminal && !this.tasks.some(task => task.isInFlight)) {
			return {state, endedAt, steps: []};
		}

		const steps = this.steps.filter(step => step.tasks.some(task => task.run > 0)).map(step => ({
			occurrence: step.occurrence,
			step: step.step,
			done: step.tasks.filter(task => task.phase === 'done').map(task => task.index),
			open: step.tasks.filter(task => task.run > 0 && task.phase !== 'done').map(task => encodeOpenTask(task)),
		}));
		return {state, endedAt, steps};
	}

	/** Restores progress that an earlier holder wrote; tasks that it had assigned are restored as `starting` until their workers' listings show whether they run. */
	restoreProgress(progress: Progress): void {
		this.state = progress.state;
		this.endedAt = progress.endedAt;
		this.isCancelled ||= progress.state === 'cancelled';
		this.hasBegun ||= progress.steps.some(({done, open}) => done.length > 0 || open.some(({failures, checkpoint}) => failures > 0 || checkpoint !== ''));
		for (const saved of progress.steps) {
			for (let occurrence = this.#occurrences.size; occurrence <= saved.occurrence; occurrence++) {
				this.#openOccurrence(occurrence);
			}

			const tasks = this.#occurrences.get(saved.occurrence)?.[saved.step]?.tasks ?? [];
			for (const index of saved.done) {
				restoreDoneTask(tasks[index]);
			}

			for (const open of saved.open) {
				restoreOpenTask(tasks[open.index], open);
			}
		}
	}

	#openOccurrence(occurrence: number): void {
		this.#occurrences.set(occurrence, this.job.steps.map((_, step) => StepState.create(this, occurrence, step)));
	}
}

type OpenTask = Progress['steps'][number]['open'][number];

function encodeOpenTask(task: Task): ProgressRow['steps'][number]['open'][number] {
	const {incarnation} = task;
	return [task.index, task.run, task.failures, incarnation?.id ?? '', incarnation?.startedAt ?? 0, task.checkpoint, task.crashes];
}

function restoreDoneTask(task: Task | undefined): void {
	if (task !== undefined) {
		task.phase = 'done';
		task.run = Math.max(task.run, 1);
	}
}

function restoreOpenTask(task: Task | undefined, open: OpenTask): void {
	if (task !== undefined) {
		task.run = open.run;
		task.failures = open.failures;
		task.crashes = open.crashes;
		task.checkpoint = open.checkpoint;
		task.incarnation = open.incarnation;
		task.phase = open.incarnation === undefined ? 'waiting' : 'starting';
	}
}
