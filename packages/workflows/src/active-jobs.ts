/**
 * In-memory state of the jobs that the scheduler's holder runs: their steps and states, and the encoding of progress rows.
 */
import {type RowKey, type TableLimits, type Write} from '@tamarackwind/clients';
import {priorGuilt} from './crash-evidence.js';
import {
	isTerminal, type Job, type JobState, type TaskKey,
} from './jobs.js';
import {JobHooks} from './job-hooks.js';
import {JobRank} from './job-ranks.js';
import {headRow, maxCheckpointBytes, ProgressLayout} from './progress-layouts.js';
import {type Progress, type ProgressPartRow, type ProgressRow} from './records.js';
import {PhaseCounts} from './task-phases.js';
import {StepState, type Task} from './tasks.js';

/** A job that the holder schedules. */
export class ActiveJob {
	/** `limits` are those of the table service that keeps the job's progress. */
	static create(job: Job, now: {readonly monotonic: number; readonly wall: number}, limits: TableLimits): ActiveJob {
		return new ActiveJob(job, now, limits);
	}

	state: JobState = 'queued';
	endedAt: number | undefined;
	readonly isLongRunning: boolean;
	readonly hooks = JobHooks.create();
	/** Whether a cancellation of the job has been read. */
	isCancelled = false;
	/** Whether the table service rejects the progress of the job, so that only its state is kept. */
	isUnrecordable = false;
	/** Whether a worker has confirmed a run or an earlier holder recorded the end of one. */
	hasBegun = false;
	/** Submission time on the monotonic clock, from which the latency objective is measured. */
	readonly submittedAt: number;
	/** Place among the jobs of the pool. */
	readonly ranking = JobRank.create(this);
	/** Progress rows that have changed since they were taken for writing. */
	readonly #changedRows = new Set<number>([headRow]);
	/** Number of tasks of all opened occurrences in each phase. */
	readonly counts = PhaseCounts.create(0);
	/** Tasks that were given up or have used up their attempts. */
	readonly #exhaustedTasks = new Set<Task>();
	/** Whether a run of some task was ordered. */
	#hasOrderedRuns = false;
	/** State in the head row that was taken last. */
	#takenState: JobState | undefined;
	#layout: ProgressLayout;
	/** Steps of all opened occurrences that are not done; `undefined` while it has to be listed anew. */
	#unfinishedSteps: readonly StepState[] | undefined;
	/** Those whose preceding steps are all done. */
	#openSteps: readonly StepState[] | undefined;
	readonly #occurrences = new Map<number, readonly StepState[]>();
	/** Occurrences of which some step may not be done. */
	readonly #openOccurrences = new Map<number, readonly StepState[]>();

	private constructor(readonly job: Job, now: {readonly monotonic: number; readonly wall: number}, limits: TableLimits) {
		this.#layout = ProgressLayout.create(job, limits);
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

	/** Whether some task of an opened occurrence is assigned to no worker. */
	get hasWaitingTasks(): boolean {
		return this.counts.get('waiting') > 0;
	}

	/** Whether a run of some task may be active on a worker. */
	get hasRunsInFlight(): boolean {
		return this.counts.get('starting') + this.counts.get('running') + this.counts.get('stopping') > 0;
	}

	/** Tasks that may have been assigned to a worker. */
	get touchedTasks(): Task[] {
		return this.steps.filter(step => !step.isUntouched).flatMap(step => step.tasks);
	}

	/** Creates the steps of the occurrences that are due at `wall`. */
	openOccurrences(wall: number): void {
		const {schedule} = this.job;
		if (schedule === undefined && this.#occurrences.size > 0) {
			return;
		}

		const dueCount = schedule === undefined
			? 1
			: Math.min(schedule.repetitions, Math.floor((wall - schedule.firstAt) / Math.max(1, schedule.intervalMs)) + 1);
		for (let occurrence = this.#occurrences.size; occurrence < dueCount; occurrence++) {
			this.#openOccurrence(occurrence);
		}
	}

	/** Lists the steps with waiting tasks whose preceding steps are all done. */
	listReadySteps(): StepState[] {
		return this.listOpenSteps().filter(step => step.hasWaitingTasks);
	}

	/** Lists the steps that are not done and whose preceding steps all are. */
	listOpenSteps(): readonly StepState[] {
		this.#openSteps ??= this.listUnfinishedSteps().filter(step => this.#isOpen(step));
		return this.#openSteps;
	}

	/** Lists the steps of all opened occurrences that are not done. */
	listUnfinishedSteps(): readonly StepState[] {
		this.#unfinishedSteps ??= this.#findUnfinishedSteps();
		return this.#unfinishedSteps;
	}

	/** Finds a task; returns `undefined` when the job has no such task. */
	findTask({occurrence, step, index}: Pick<TaskKey, 'occurrence' | 'step' | 'index'>): Task | undefined {
		return this.#occurrences.get(occurrence)?.[step]?.tasks[index];
	}

	/** Steps of the occurrence that was opened last. */
	get newestSteps(): readonly StepState[] {
		return this.#occurrences.get(this.#occurrences.size - 1) ?? [];
	}

	/** Recomputes the state from the tasks; a terminal state is final. */
	updateState(): void {
		if (this.isTerminal) {
			return;
		}

		const {job, counts} = this;
		if (this.isCancelled) {
			this.state = 'cancelled';
		} else if (this.isUnrecordable) {
			this.state = 'failed';
		} else if ([...this.#exhaustedTasks].some(task => task.isGivenUp || task.phase !== 'done')) {
			this.state = 'failed';
		} else if (this.#occurrences.size === (job.schedule?.repetitions ?? 1) && counts.get('done') === counts.total) {
			this.state = 'succeeded';
		} else if (this.#hasOrderedRuns) {
			this.state = 'running';
		}
	}

	/** Keys of all progress rows that the job may have. */
	get progressKeys(): RowKey[] {
		return this.#layout.listKeys(this.job);
	}

	/** Notes a change of a task's progress. */
	markChanged(task: Task): void {
		const {stepState, index, run, failures, isGivenUp, spec} = task;
		const {occurrence, step} = stepState;
		stepState.changes++;
		this.hooks.onChanged?.();
		this.#hasOrderedRuns ||= run > 0;
		if (isGivenUp || (!spec.isLongRunning && failures >= this.job.policy.maxAttempts)) {
			this.#exhaustedTasks.add(task);
		}

		this.#changedRows.add(this.#layout.findRow({occurrence, step, index}));
	}

	/** Notes that a step is done or was opened, on which the open steps and the rank depend. */
	markStepsChanged(): void {
		this.#unfinishedSteps = undefined;
		this.#openSteps = undefined;
		this.ranking.reset();
		this.hooks.onChanged?.();
		this.hooks.onWaiting?.();
	}

	/** Takes the indices of the progress rows to write, the head row first; the rows are unchanged from then on until a task changes again. */
	takeChangedRows(): number[] {
		const isWhole = this.#layout.tasksPerRow === undefined;
		const hasHead = isWhole || this.#isOver || this.state !== this.#takenState;
		const parts = this.#isOver ? [] : [...this.#changedRows].filter(row => row !== headRow);
		this.#changedRows.clear();
		this.#takenState = this.state;
		return hasHead ? [headRow, ...parts] : parts;
	}

	/** Encodes a progress row for the next holder. */
	encodeProgressRow(row: number): Write {
		const {state, endedAt, job: {account}} = this;
		const {tasksPerRow} = this.#layout;
		const key = this.#layout.getKey(this.job, row);
		if (row !== headRow) {
			return {...key, value: {steps: this.#encodePart(row)} satisfies ProgressPartRow};
		}

		const steps = this.#isOver || tasksPerRow !== undefined ? [] : this.steps.filter(step => !step.isUntouched).flatMap(step => encodeStep(step, step.tasks));
		return {
			...key, value: {
				state, endedAt, ...(tasksPerRow === undefined ? {} : {tasksPerRow}), ...(account === undefined ? {} : {account}), steps,
			} satisfies ProgressRow,
		};
	}

	/** Whether the job has ended and no run of it may be active, so that its state is all that is left to keep. */
	get #isOver(): boolean {
		return this.isUnrecordable || (this.isTerminal && !this.hasRunsInFlight);
	}

	#encodePart(row: number): ProgressPartRow['steps'] {
		const tasks = this.#layout.listPositions(row).flatMap(position => this.findTask(position) ?? []);
		const steps = new Set(tasks.map(({stepState}) => stepState));
		return [...steps].flatMap(step => encodeStep(step, tasks.filter(({stepState}) => stepState === step)));
	}

	/** Restores progress that an earlier holder wrote; tasks that it had assigned are restored as `starting` until their workers' listings show whether they run. */
	restoreProgress(progress: Progress): void {
		this.#layout = ProgressLayout.restore(this.job, progress.tasksPerRow);
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

			for (const [index, hiddenRuns] of saved.hidden ?? []) {
				restoreHiddenRuns(tasks[index], hiddenRuns);
			}
		}

		this.#restoreGangs();
		this.#changedRows.clear();
	}

	/** Completes gangs of which only some rows show the end: the end of one member is that of all. */
	#restoreGangs(): void {
		for (const {tasks} of this.steps.filter(step => step.spec.isGang && step.tasks.some(task => task.phase === 'done'))) {
			for (const task of tasks) {
				restoreDoneTask(task);
			}
		}
	}

	#findUnfinishedSteps(): StepState[] {
		for (const [occurrence, steps] of this.#openOccurrences) {
			if (steps.every(step => step.isDone)) {
				this.#openOccurrences.delete(occurrence);
			}
		}

		return [...this.#openOccurrences.values()].flatMap(steps => steps.filter(step => !step.isDone));
	}

	#isOpen({spec, occurrence}: StepState): boolean {
		const steps = this.#openOccurrences.get(occurrence);
		return spec.after.every(earlier => steps?.[earlier]?.isDone ?? false);
	}

	#openOccurrence(occurrence: number): void {
		const steps = this.job.steps.map((_, step) => StepState.create(this, occurrence, step));
		this.#occurrences.set(occurrence, steps);
		this.#openOccurrences.set(occurrence, steps);
		this.markStepsChanged();
		for (const {counts} of steps) {
			this.counts.add('waiting', counts.total);
		}
	}
}

/** Digits of a probability in a row. */
const guiltDigits = 4;

type OpenTask = Progress['steps'][number]['open'][number];

/** Encodes the progress of tasks of one step; none while no run of them was ordered. */
function encodeStep({occurrence, step}: StepState, tasks: readonly Task[]): ProgressPartRow['steps'] {
	const started = tasks.filter(task => task.run > 0);
	return started.length === 0
		? []
		: [{
			occurrence,
			step,
			done: started.filter(task => task.phase === 'done').map(task => task.index),
			open: started.filter(task => task.phase !== 'done').map(task => encodeOpenTask(task)),
			...encodeHiddenRuns(started),
		}];
}

function encodeHiddenRuns(tasks: readonly Task[]): Pick<ProgressPartRow['steps'][number], 'hidden'> {
	const hidden = tasks.filter(task => task.phase !== 'done' && task.hiddenRuns > 0).map(task => [task.index, task.hiddenRuns] as [number, number]);
	return hidden.length === 0 ? {} : {hidden};
}

function encodeOpenTask(task: Task): ProgressPartRow['steps'][number]['open'][number] {
	const {incarnation, checkpoint} = task;
	const keptCheckpoint = Buffer.byteLength(JSON.stringify(checkpoint)) <= maxCheckpointBytes ? checkpoint : '';
	const guilt = task.guilt > priorGuilt ? Number(task.guilt.toFixed(guiltDigits)) : undefined;
	const row = [task.index, task.run, task.failures, incarnation?.id ?? '', incarnation?.startedAt ?? 0, keptCheckpoint, task.crashes] as const;
	return guilt === undefined ? [...row] : [...row, guilt];
}

function restoreDoneTask(task: Task | undefined): void {
	if (task !== undefined) {
		task.incarnation = undefined;
		task.phase = 'done';
		task.run = Math.max(task.run, 1);
	}
}

function restoreHiddenRuns(task: Task | undefined, hiddenRuns: number): void {
	if (task !== undefined) {
		task.hiddenRuns = hiddenRuns;
	}
}

function restoreOpenTask(task: Task | undefined, open: OpenTask): void {
	if (task !== undefined) {
		task.run = open.run;
		task.failures = open.failures;
		task.crashes = open.crashes;
		task.guilt = Math.max(priorGuilt, open.guilt);
		task.checkpoint = open.checkpoint;
		task.incarnation = open.incarnation;
		task.phase = open.incarnation === undefined ? 'waiting' : 'starting';
	}
}
