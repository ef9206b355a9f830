/**
 * In-process fake of the workers' task control: simulates tasks under leases on a given clock and records their history.
 */
import {VerdictError, type Clock} from '@tamarackwind/core';
import {
	TaskControl, type ObjectStore, type TaskResources, type TaskRun, type TaskStart, type TaskStatus,
} from '@tamarackwind/clients';
import {Hono} from 'hono';
import {buildSeason, type SeasonRequest} from './league-services.js';

/** Simulated behavior of a task on a worker. */
export type TaskScript = {
	/** Run time without throttling, in milliseconds. */
	readonly runMs: number;
	readonly usage: TaskResources;
	/** Whether the task fails on every worker. */
	readonly fails?: boolean;
	/** Request for the season that the task builds as its result. */
	readonly season?: SeasonRequest;
};

/** One event in the history of the tasks. */
export type TaskEvent = {
	readonly type: 'started' | 'ended' | 'checkpointed';
	readonly vmId: string;
	readonly taskId: string;
	readonly epoch: number;
	/** Monotonic time of the task runner's clock, in milliseconds. */
	readonly at: number;
	readonly state?: TaskStatus['state'];
	readonly kind?: string;
	/** Checkpoint that was created, or from which a start resumed. */
	readonly checkpoint?: string;
};

/** Faults to inject into one worker. */
export type WorkerTaskFaults = {
	/** Whether every task fails shortly after its start. */
	readonly failsAll?: boolean;
	/** Whether every call to the worker fails before it takes effect. */
	readonly isUnreachable?: boolean;
	/** Number of further calls whose responses are lost after the calls took effect. */
	readonly lostAnswers?: number;
};

export type FakeTaskRunnerOptions = {
	readonly clock: Clock;
	readonly objects: ObjectStore;
	/** Returns the behavior of a task; by default, reads the task's payload as JSON of a `TaskScript`. */
	readonly readScript?: (start: TaskStart) => Promise<TaskScript>;
	/** Interval between the periodic checkpoints of a task, in milliseconds. */
	readonly checkpointIntervalMs?: number;
	/** Time from a task's start until its usage is reported, in milliseconds. */
	readonly usageLagMs?: number;
};

type Task = {
	readonly start: TaskStart;
	readonly script: TaskScript;
	readonly startedAt: number;
	state: TaskStatus['state'];
	progressMs: number;
	updatedAt: number;
	leaseExpiresAt: number;
	checkpointedAt: number;
	checkpoint?: string;
	result?: string;
	reason?: string;
	throttledCores?: number;
};

type Worker = {readonly tasks: Map<string, Task>; readonly latestEpochs: Map<string, number>; faults: WorkerTaskFaults; lostAnswers: number};

const defaultCheckpointIntervalMs = 5000;
const defaultUsageLagMs = 2000;
const failureDelayMs = 50;

/** Simulates the tasks of all workers. */
export class FakeTaskRunner {
	static create(options: FakeTaskRunnerOptions): FakeTaskRunner {
		return new FakeTaskRunner(options);
	}

	readonly history: TaskEvent[] = [];
	readonly #options: FakeTaskRunnerOptions;
	readonly #workers = new Map<string, Worker>();
	readonly #progressByCheckpoint = new Map<string, number>();

	private constructor(options: FakeTaskRunnerOptions) {
		this.#options = options;
	}

	setFaults(vmId: string, faults: WorkerTaskFaults): void {
		const worker = this.#getWorker(vmId);
		worker.faults = faults;
		worker.lostAnswers = faults.lostAnswers ?? 0;
	}

	/** Stops all tasks of a worker and discards their state, as a reboot does. */
	async restartWorker(vmId: string): Promise<void> {
		const worker = this.#getWorker(vmId);
		await this.#advanceTasks(worker);
		for (const task of worker.tasks.values()) {
			this.#endTask(task, 'stopped', this.#now);
		}

		this.#workers.delete(vmId);
	}

	async start(start: TaskStart): Promise<boolean> {
		const script = await this.#readScript(start);
		return this.#callWorker(start.vmId, async worker => this.#acceptStart(worker, start, script));
	}

	async renew(run: TaskRun, leaseMs: number, renewBy = Infinity): Promise<boolean> {
		return this.#callWorker(run.vmId, async worker => {
			const task = this.#findRunningTask(worker, run);
			if (task === undefined || this.#options.clock.readWall() > renewBy) {
				return false;
			}

			task.leaseExpiresAt = this.#now + leaseMs;
			return true;
		});
	}

	async checkpoint(run: TaskRun): Promise<string | undefined> {
		return this.#callWorker(run.vmId, async worker => {
			const task = this.#findRunningTask(worker, run);
			return task === undefined || task.start.kind === 'refresh' ? undefined : this.#checkpointTask(task, this.#now);
		});
	}

	async throttle(run: TaskRun, cores: number): Promise<void> {
		await this.#callWorker(run.vmId, async worker => {
			const task = this.#findRunningTask(worker, run);
			if (task !== undefined) {
				task.throttledCores = cores;
			}
		});
	}

	async stop(run: TaskRun): Promise<void> {
		await this.#callWorker(run.vmId, async worker => {
			const task = this.#findRunningTask(worker, run);
			if (task !== undefined) {
				this.#endTask(task, 'stopped', this.#now);
			}

			worker.latestEpochs.set(run.taskId, Math.max(run.epoch, worker.latestEpochs.get(run.taskId) ?? 0));
		});
	}

	async list(vmId: string): Promise<TaskStatus[]> {
		return this.#callWorker(vmId, async worker => [...worker.tasks.values()].map(task => this.#describeTask(task)));
	}

	get #now(): number {
		return this.#options.clock.readMonotonic();
	}

	#getWorker(vmId: string): Worker {
		const worker = this.#workers.get(vmId) ?? {
			tasks: new Map(), latestEpochs: new Map(), faults: {}, lostAnswers: 0,
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

	async #callWorker<T>(vmId: string, run: (worker: Worker) => Promise<T>): Promise<T> {
		const worker = this.#getWorker(vmId);
		if (worker.faults.isUnreachable) {
			throw new VerdictError(`worker ${vmId} does not answer`, {verdict: 'may-have-run', code: 'platform_unavailable'});
		}

		await this.#advanceTasks(worker);
		const result = await run(worker);
		if (worker.lostAnswers > 0) {
			worker.lostAnswers--;
			throw new VerdictError(`answer of worker ${vmId} was lost`, {verdict: 'may-have-run', code: 'platform_unavailable'});
		}

		return result;
	}

	#acceptStart(worker: Worker, start: TaskStart, script: TaskScript): boolean {
		const isLate = this.#options.clock.readWall() > (start.startBy ?? Infinity);
		if (isLate || start.epoch <= (worker.latestEpochs.get(start.taskId) ?? 0)) {
			return false;
		}

		const previous = worker.tasks.get(start.taskId);
		if (previous !== undefined) {
			this.#endTask(previous, 'stopped', this.#now);
		}

		worker.latestEpochs.set(start.taskId, start.epoch);
		worker.tasks.set(start.taskId, {
			start, script, startedAt: this.#now, state: 'running', progressMs: this.#progressByCheckpoint.get(start.checkpoint ?? '') ?? 0,
			updatedAt: this.#now, leaseExpiresAt: this.#now + start.leaseMs, checkpointedAt: this.#now, checkpoint: start.checkpoint,
		});
		this.#recordEvent({start}, 'started', this.#now, {kind: start.kind, checkpoint: start.checkpoint});
		return true;
	}

	#findRunningTask(worker: Worker, {taskId, epoch}: TaskRun): Task | undefined {
		const task = worker.tasks.get(taskId);
		return task?.start.epoch === epoch && task.state === 'running' ? task : undefined;
	}

	async #advanceTasks(worker: Worker): Promise<void> {
		for (const task of worker.tasks.values()) {
			if (task.state === 'running') {
				await this.#advanceTask(worker, task);
			}
		}
	}

	async #advanceTask(worker: Worker, task: Task): Promise<void> {
		const {script, start} = task;
		const advanceTo = Math.min(this.#now, task.leaseExpiresAt);
		const speed = Math.min(1, (task.throttledCores ?? Infinity) / Math.max(script.usage.cores, Number.EPSILON));
		task.progressMs += Math.max(0, advanceTo - task.updatedAt) * speed;
		task.updatedAt = advanceTo;
		const isFailing = script.fails ?? worker.faults.failsAll ?? false;
		if (isFailing && advanceTo - task.startedAt >= failureDelayMs) {
			task.reason = 'exit status 1';
			this.#endTask(task, 'failed', task.startedAt + failureDelayMs);
		} else if (task.progressMs >= script.runMs) {
			await this.#finishTask(task, advanceTo);
		} else if (this.#now > task.leaseExpiresAt) {
			this.#endTask(task, 'lapsed', task.leaseExpiresAt);
		} else if (start.kind !== 'refresh' && advanceTo - task.checkpointedAt >= (this.#options.checkpointIntervalMs ?? defaultCheckpointIntervalMs)) {
			this.#checkpointTask(task, advanceTo);
		}
	}

	/** Stores the result and ends the task; a failed write is retried until the lease expires. */
	async #finishTask(task: Task, at: number): Promise<void> {
		const {taskId, epoch} = task.start;
		const result = `results/${taskId}/${epoch}`;
		try {
			await this.#options.objects.putObject(result, Buffer.from(createResult(task)));
		} catch {
			return;
		}

		task.result = result;
		this.#endTask(task, 'finished', at);
	}

	#checkpointTask(task: Task, at: number): string {
		const name = `checkpoints/${task.start.taskId}/${task.start.epoch}-${Math.round(at)}`;
		this.#progressByCheckpoint.set(name, task.progressMs);
		task.checkpoint = name;
		task.checkpointedAt = at;
		this.#recordEvent(task, 'checkpointed', at, {checkpoint: name});
		return name;
	}

	#endTask(task: Task, state: TaskStatus['state'], at: number): void {
		if (task.state === 'running') {
			task.state = state;
			this.#recordEvent(task, 'ended', at, {state});
		}
	}

	#recordEvent({start: {vmId, taskId, epoch}}: Pick<Task, 'start'>, type: TaskEvent['type'], at: number, details: Partial<TaskEvent>): void {
		this.history.push({
			type, vmId, taskId, epoch, at, ...details,
		});
	}

	#describeTask(task: Task): TaskStatus {
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
			usage: isReported ? {...usage, cores: Math.min(usage.cores, task.throttledCores ?? usage.cores)} : undefined,
		};
	}
}

/** Task control that calls a `FakeTaskRunner` in the same process. */
export class MemoryTaskControl extends TaskControl {
	static create(tasks: FakeTaskRunner): MemoryTaskControl {
		return new MemoryTaskControl(tasks);
	}

	readonly #tasks: FakeTaskRunner;

	private constructor(tasks: FakeTaskRunner) {
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

/** Creates the HTTP routes of the platform's task control. */
export function createTaskApp(tasks: FakeTaskRunner): Hono {
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
