import {
	SystemClock, type JobId, type ServiceName, type VmId,
} from '@tamarackwind/core';
import {type StepSpec} from '@tamarackwind/scheduling';
import test from 'ava';
import {
	ActiveJob, OrderQueue, RunStarter, type RateLimitedLog, type StartOutcome, type Task, type WorkerControl, type WorkerSession,
} from '../src/index.js';

const maxOpen = 2;
const limits = {valueBytes: 49_152, transactionBytes: 690_000, transactionEntries: 100};
const step: StepSpec = {
	count: 50, resources: {cpu: 100, memory: 10, gpu: 0}, estimatedMs: 800, after: [], isCheckpointing: false, isGang: false, isSameRack: false, isSpeculative: false, isLongRunning: false, isFiller: false,
};

/** Orders to one worker that answers only when told to. */
type Worker = {
	readonly session: {-readonly [Key in keyof WorkerSession]: WorkerSession[Key]};
	readonly tasks: Task[];
	/** Orders that were sent and not answered. */
	readonly open: Array<{readonly name: string; readonly answer: () => void}>;
	readonly sent: string[];
	readonly settled: Task[];
	readonly sendStop: (name: string) => void;
};

function createWorker(): Worker {
	const job = ActiveJob.create({
		id: 'job-1' as JobId, service: 'north' as ServiceName, queue: 'north', payload: '', steps: [step], submittedAt: 0, policy: {
			priority: 0, maxAttempts: 3, slackFactor: 2, targetLatencyMs: 600,
		},
	}, {monotonic: 0, wall: 0}, limits);
	job.openOccurrences(0);
	const open: Worker['open'] = [];
	const sent: string[] = [];
	const settled: Task[] = [];
	const send = async (name: string): Promise<StartOutcome> => new Promise(resolve => {
		sent.push(name);
		const order = {
			name, answer() {
				open.splice(open.indexOf(order), 1);
				resolve({status: 'started'});
			},
		};
		open.push(order);
	});
	const orders = OrderQueue.create({clock: SystemClock.create(), maxOpen});
	const assigned = new Set(job.tasks);
	const session = {
		orders, tasks: assigned, name: 'worker-1', record: {id: 'worker-1' as VmId}, isReachable: true, isOverCapacity: false, health: {computeSuspicion: () => 0}, wake() {}, markSent() {}, renewLease: () => 0, async checkSuspects() {}, removeTask(task: Task) {
			assigned.delete(task);
		},
	} as unknown as Worker['session'];
	const starter = RunStarter.create({
		clock: SystemClock.create(), control: {startRun: async (_worker: unknown, {key: {index}}: {key: {index: number}}) => send(`start ${index}`)} as unknown as WorkerControl, log: {info() {}, warn() {}} as unknown as RateLimitedLog, epoch: 1, canOrder: () => true, onTicketRefused() {}, onSettled(task) {
			settled.push(task);
		},
	});
	for (const task of job.tasks) {
		task.run = 1;
		task.phase = 'recorded';
		void starter.start(task, session as WorkerSession, () => undefined);
	}

	return {
		session, tasks: [...job.tasks], open, sent, settled, sendStop(name) {
			void orders.send('stop', async () => send(name));
		},
	};
}

async function settle(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

type Case = {
	readonly name: string;
	/** Applied once the first starts are open. */
	readonly change: (worker: Worker) => void;
	/** Orders sent after one open start is answered. */
	readonly sent: readonly string[];
	/** Number of tasks that were released without a start. */
	readonly released: number;
};

const cases: readonly Case[] = [
	{
		name: 'are open two at a time', change() {}, sent: ['start 0', 'start 1', 'start 2'], released: 0,
	},
	{
		name: 'wait for a stop that was made after them', change(worker) {
			worker.sendStop('stop');
		}, sent: ['start 0', 'start 1', 'stop'], released: 0,
	},
	{
		name: 'are not sent for a task that was released meanwhile', change({tasks, session}) {
			tasks[2]!.phase = 'waiting';
			session.removeTask(tasks[2]!);
		}, sent: ['start 0', 'start 1', 'start 3'], released: 0,
	},
	{
		name: 'are given back unsent once the worker is unreachable', change({session}) {
			session.isReachable = false;
		}, sent: ['start 0', 'start 1'], released: step.count - maxOpen,
	},
];

// Guards against hundreds of starts to a worker at once, of which most time out before they are sent: they were stopped, awaited and sent again.
for (const {name, change, sent, released} of cases) {
	test(`starts to one worker ${name}`, async t => {
		const worker = createWorker();
		await settle();
		t.deepEqual(worker.open.map(order => order.name), ['start 0', 'start 1']);
		t.is(worker.tasks[0]!.phase, 'starting');
		t.is(worker.tasks[2]!.phase, 'recorded');
		change(worker);
		worker.open[0]!.answer();
		await settle();
		t.is(worker.tasks[0]!.phase, 'running');
		t.deepEqual(worker.sent, [...sent]);
		t.is(worker.settled.length, released);
		t.true(worker.open.length <= maxOpen);
	});
}
