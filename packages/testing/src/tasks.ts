/**
 * Stand-in of the workers' task control: runs tasks under leases on a clock, and keeps a history of what ran.
 */
import {VerdictError, type Clock} from '@tamarackwind/core';
import {
	TaskControl, type ObjectStore, type TaskResources, type TaskRun, type TaskStart, type TaskStatus,
} from '@tamarackwind/clients';
import {Hono} from 'hono';
import {buildSeason, type SeasonRequest} from './leagues.js';

/** What a task does on a worker. */
export type TaskScript = {
	/** Run time at full speed, in milliseconds. */
	readonly runMs: number;
	readonly usage: TaskResources;
	/** Whether it fails on every worker. */
	readonly fails?: boolean;
	/** Season that the task builds as its result. */
	readonly season?: SeasonRequest;
};

/** One event of the history. */
export type TaskEvent = {
	readonly type: 'started' | 'ended' | 'checkpointed';
	readonly vmId: string;
	readonly taskId: string;
	readonly epoch: number;
	/** Monotonic time of the stand-in's clock, in milliseconds. */
	readonly at: number;
	readonly state?: TaskStatus['state'];
	readonly kind?: string;
	/** Checkpoint that was made, or that a start went on from. */
	readonly checkpoint?: string;
};

/** Switches of one worker. */
export type WorkerTaskFaults = {
	/** Every task fails soon after its start. */
	readonly failsAll?: boolean;
	/** No call reaches the worker. */
	readonly isUnreachable?: boolean;
	/** Number of further calls whose answers are lost after they took effect. */
	readonly lostAnswers?: number;
};

export type WorkerTasksOptions = {
	readonly clock: Clock;
	readonly objects: ObjectStore;
	/** Says what a task does; by default its payload does, as JSON of a `TaskScript`. */
	readonly readScript?: (start: TaskStart) => Promise<TaskScript>;
	/** Time between two checkpoints that a task makes by itself, in milliseconds. */
	readonly checkpointIntervalMs?: number;
	/** Time by which reported usage lags, in milliseconds. */
	readonly usageLagMs?: number;
};

type Task = {
	readonly start: TaskStart;
	readonly script: TaskScript;
	readonly startedAt: number;
	state: TaskStatus['state'];
	progressMs: number;
	updatedAt: number;
	leaseUntil: number;
	checkpointedAt: number;
	checkpoint?: string;
	result?: string;
	reason?: string;
	throttledTo?: number;
};

type Worker = {readonly tasks: Map<string, Task>; readonly epochs: Map<string, number>; faults: WorkerTaskFaults; lostAnswers: number};

const defaultCheckpointIntervalMs = 5000;
const defaultUsageLagMs = 2000;
const failureDelayMs = 50;

/** Every worker's tasks. */
export class WorkerTasks {
	static create(options: WorkerTasksOptions): WorkerTasks {
		return new WorkerTasks(options);
	}

	readonly history: TaskEvent[] = [];
	readonly #options: WorkerTasksOptions;
	readonly #workers = new Map<string, Worker>();
	readonly #checkpoints = new Map<string, number>();

	private constructor(options: WorkerTasksOptions) {
		this.#options = options;
	}

	setFaults(vmId: string, faults: WorkerTaskFaults): void {
		const worker = this.#getWorker(vmId);
		worker.faults = faults;
		worker.lostAnswers = faults.lostAnswers ?? 0;
	}

	/** Ends every task of a worker at once and makes it forget all of them, as a reboot does. */
	async restartWorker(vmId: string): Promise<void> {
		const worker = this.#getWorker(vmId);
		await this.#update(worker);
		for (const task of worker.tasks.values()) {
			this.#end(task, 'stopped', this.#now);
		}

		this.#workers.delete(vmId);
	}

	async start(start: TaskStart): Promise<boolean> {
		const script = await this.#readScript(start);
		return this.#call(start.vmId, async worker => this.#accept(worker, start, script));
	}

	async renew(run: TaskRun, leaseMs: number, renewBy = Infinity): Promise<boolean> {
		return this.#call(run.vmId, async worker => {
			const task = this.#findRunning(worker, run);
			if (task === undefined || this.#options.clock.readWall() > renewBy) {
				return false;
			}

			task.leaseUntil = this.#now + leaseMs;
			return true;
		});
	}

	async checkpoint(run: TaskRun): Promise<string | undefined> {
		return this.#call(run.vmId, async worker => {
			const task = this.#findRunning(worker, run);
			return task === undefined || task.start.kind === 'refresh' ? undefined : this.#checkpointTask(task, this.#now);
		});
	}

	async throttle(run: TaskRun, cores: number): Promise<void> {
		await this.#call(run.vmId, async worker => {
			const task = this.#findRunning(worker, run);
			if (task !== undefined) {
				task.throttledTo = cores;
			}
		});
	}

	async stop(run: TaskRun): Promise<void> {
		await this.#call(run.vmId, async worker => {
			const task = this.#findRunning(worker, run);
			if (task !== undefined) {
				this.#end(task, 'stopped', this.#now);
			}

			worker.epochs.set(run.taskId, Math.max(run.epoch, worker.epochs.get(run.taskId) ?? 0));
		});
	}

	async list(vmId: string): Promise<TaskStatus[]> {
		return this.#call(vmId, async worker => [...worker.tasks.values()].map(task => this.#describe(task)));
	}

	get #now(): number {
		return this.#options.clock.readMonotonic();
	}

	#getWorker(vmId: string): Worker {
		const worker = this.#workers.get(vmId) ?? {
			tasks: new Map(), epochs: new Map(), faults: {}, lostAnswers: 0,
		};
		this.#workers.set(vmId, worker);
		return worker;
	}

	async #readScript(start: TaskStart): Promise<TaskScript> {
		if (this.#options.readScript !== undefined) {
			return this.#options.readScript(start);
		}

		const bytes = await this.#options.objects.getObject(start.payload);
		return JSON.parse(Buffer.from(bytes ?? []).toString('utf8')) as TaskScript;
	}

	async #call<T>(vmId: string, run: (worker: Worker) => Promise<T>): Promise<T> {
		const worker = this.#getWorker(vmId);
		if (worker.faults.isUnreachable) {
			throw new VerdictError(`worker ${vmId} does not answer`, {verdict: 'may-have-run', code: 'platform_unavailable'});
		}

		await this.#update(worker);
		const answer = await run(worker);
		if (worker.lostAnswers > 0) {
			worker.lostAnswers--;
			throw new VerdictError(`answer of worker ${vmId} was lost`, {verdict: 'may-have-run', code: 'platform_unavailable'});
		}

		return answer;
	}

	#accept(worker: Worker, start: TaskStart, script: TaskScript): boolean {
		const isLate = this.#options.clock.readWall() > (start.startBy ?? Infinity);
		if (isLate || start.epoch <= (worker.epochs.get(start.taskId) ?? 0)) {
			return false;
		}

		const previous = worker.tasks.get(start.taskId);
		if (previous !== undefined) {
			this.#end(previous, 'stopped', this.#now);
		}

		worker.epochs.set(start.taskId, start.epoch);
		worker.tasks.set(start.taskId, {
			start, script, startedAt: this.#now, state: 'running', progressMs: this.#checkpoints.get(start.checkpoint ?? '') ?? 0,
			updatedAt: this.#now, leaseUntil: this.#now + start.leaseMs, checkpointedAt: this.#now, checkpoint: start.checkpoint,
		});
		this.#record({start}, 'started', this.#now, {kind: start.kind, checkpoint: start.checkpoint});
		return true;
	}

	#findRunning(worker: Worker, {taskId, epoch}: TaskRun): Task | undefined {
		const task = worker.tasks.get(taskId);
		return task?.start.epoch === epoch && task.state === 'running' ? task : undefined;
	}

	async #update(worker: Worker): Promise<void> {
		for (const task of worker.tasks.values()) {
			if (task.state === 'running') {
				await this.#advanceTask(worker, task);
			}
		}
	}

	async #advanceTask(worker: Worker, task: Task): Promise<void> {
		const {script, start} = task;
		const until = Math.min(this.#now, task.leaseUntil);
		const speed = Math.min(1, (task.throttledTo ?? Infinity) / Math.max(script.usage.cores, Number.EPSILON));
		task.progressMs += Math.max(0, until - task.updatedAt) * speed;
		task.updatedAt = until;
		const isFailing = script.fails ?? worker.faults.failsAll ?? false;
		if (isFailing && until - task.startedAt >= failureDelayMs) {
			task.reason = 'exit status 1';
			this.#end(task, 'failed', task.startedAt + failureDelayMs);
		} else if (task.progressMs >= script.runMs) {
			await this.#finish(task, until);
		} else if (this.#now > task.leaseUntil) {
			this.#end(task, 'lapsed', task.leaseUntil);
		} else if (start.kind !== 'refresh' && until - task.checkpointedAt >= (this.#options.checkpointIntervalMs ?? defaultCheckpointIntervalMs)) {
			this.#checkpointTask(task, until);
		}
	}

	/** Stores the result; a task whose result can't be stored goes on trying while its lease lasts. */
	async #finish(task: Task, at: number): Promise<void> {
		const {taskId, epoch} = task.start;
		const result = `results/${taskId}/${epoch}`;
		try {
			await this.#options.objects.putObject(result, Buffer.from(createResult(task)));
		} catch {
			return;
		}

		task.result = result;
		this.#end(task, 'finished', at);
	}

	#checkpointTask(task: Task, at: number): string {
		const name = `checkpoints/${task.start.taskId}/${task.start.epoch}-${Math.round(at)}`;
		this.#checkpoints.set(name, task.progressMs);
		task.checkpoint = name;
		task.checkpointedAt = at;
		this.#record(task, 'checkpointed', at, {checkpoint: name});
		return name;
	}

	#end(task: Task, state: TaskStatus['state'], at: number): void {
		if (task.state === 'running') {
			task.state = state;
			this.#record(task, 'ended', at, {state});
		}
	}

	#record({start: {vmId, taskId, epoch}}: Pick<Task, 'start'>, type: TaskEvent['type'], at: number, more: Partial<TaskEvent>): void {
		this.history.push({
			type, vmId, taskId, epoch, at, ...more,
		});
	}

	#describe(task: Task): TaskStatus {
		const isReported = this.#now - task.startedAt >= (this.#options.usageLagMs ?? defaultUsageLagMs);
		const {usage} = task.script;
		return {
			taskId: task.start.taskId,
			vmId: task.start.vmId,
			epoch: task.start.epoch,
			state: task.state,
			checkpoint: task.checkpoint,
			result: task.result,
			reason: task.reason,
			usage: isReported ? {...usage, cores: Math.min(usage.cores, task.throttledTo ?? usage.cores)} : undefined,
		};
	}
}

/** Task control that calls the stand-in in the same process. */
export class MemoryTaskControl extends TaskControl {
	static create(tasks: WorkerTasks): MemoryTaskControl {
		return new MemoryTaskControl(tasks);
	}

	readonly #tasks: WorkerTasks;

	private constructor(tasks: WorkerTasks) {
		super();
		this.#tasks = tasks;
	}

	override async startTask(start: TaskStart): Promise<boolean> {
		return this.#tasks.start(start);
	}

	override async renewTask(run: TaskRun, leaseMs: number, renewBy?: number): Promise<boolean> {
		return this.#tasks.renew(run, leaseMs, renewBy);
	}

	override async checkpointTask(run: TaskRun): Promise<string | undefined> {
		return this.#tasks.checkpoint(run);
	}

	override async throttleTask(run: TaskRun, cores: number): Promise<void> {
		await this.#tasks.throttle(run, cores);
	}

	override async stopTask(run: TaskRun): Promise<void> {
		await this.#tasks.stop(run);
	}

	override async listTasks(vmId: string): Promise<TaskStatus[]> {
		return this.#tasks.list(vmId);
	}

	override async close(): Promise<void> {}
}

/** Routes of the task control below the platform's URL. */
export function createTaskApp(tasks: WorkerTasks): Hono {
	const app = new Hono();
	app.post('/vms/:id/tasks/start', async ctx => ctx.json({started: await tasks.start(await ctx.req.json<TaskStart>())}));
	app.post('/vms/:id/tasks/renew', async ctx => {
		const {leaseMs, renewBy, ...run} = await ctx.req.json<TaskRun & {leaseMs: number; renewBy?: number}>();
		return ctx.json({renewed: await tasks.renew(run, leaseMs, renewBy)});
	});
	app.post('/vms/:id/tasks/checkpoint', async ctx => ctx.json({checkpoint: await tasks.checkpoint(await ctx.req.json<TaskRun>())}));
	app.post('/vms/:id/tasks/throttle', async ctx => {
		const {cores, ...run} = await ctx.req.json<TaskRun & {cores: number}>();
		await tasks.throttle(run, cores);
		return ctx.json({});
	});
	app.post('/vms/:id/tasks/stop', async ctx => {
		await tasks.stop(await ctx.req.json<TaskRun>());
		return ctx.json({});
	});
	app.post('/vms/:id/tasks/list', async ctx => ctx.json({tasks: await tasks.list(ctx.req.param('id'))}));
	app.post('/stand-in/tasks/:id/faults', async ctx => {
		tasks.setFaults(ctx.req.param('id'), await ctx.req.json<WorkerTaskFaults>());
		return ctx.body(null, 204);
	});
	return app;
}

function createResult({start, script: {season}}: Task): string {
	return season === undefined ? `result of ${start.taskId}` : JSON.stringify(buildSeason(season));
}
