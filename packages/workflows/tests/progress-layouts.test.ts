import {
	Log, ManualClock, type AccountName, type JobId, type ServiceName, type VmId,
} from '@tamarackwind/core';
import {MemoryTableService} from '@tamarackwind/clients';
import {type StepSpec} from '@tamarackwind/scheduling';
import test from 'ava';
import {
	ActiveJob, decodeProgress, decodeProgressPart, headRow, JobSubmitter, maxCheckpointBytes, maxHiddenRuns, ProgressLayout, RateLimitedLog, type Job, type Progress,
} from '../src/index.js';

const limits = {valueBytes: 49_152, transactionBytes: 690_000, transactionEntries: 100};
const now = {monotonic: 0, wall: 10_000_000};

function createStep(step: Partial<StepSpec>): StepSpec {
	return {
		count: 1, resources: {cpu: 1, memory: 1, gpu: 0}, estimatedMs: 1, after: [], isCheckpointing: false, isGang: false, isSameRack: false, isSpeculative: false, isLongRunning: false, isFiller: false, ...step,
	};
}

function createJob(steps: ReadonlyArray<Partial<StepSpec>>, repetitions?: number): Job {
	return {
		id: '5c0e7a21d94b36f8' as JobId,
		service: 'north' as ServiceName,
		queue: 'redraw',
		payload: '',
		submittedAt: 0,
		policy: {
			priority: 0, maxAttempts: 3, slackFactor: 2, targetLatencyMs: 600,
		},
		steps: steps.map(step => createStep(step)),
		...(repetitions === undefined ? {} : {schedule: {repetitions, firstAt: 0, intervalMs: 1}}),
	};
}

/** Assigns every task to a worker with the longest id and checkpoint that are kept. */
function startAll(active: ActiveJob): void {
	active.openOccurrences(now.wall);
	for (const task of active.tasks) {
		task.run = Number.MAX_SAFE_INTEGER;
		task.failures = Number.MAX_SAFE_INTEGER;
		task.crashes = Number.MAX_SAFE_INTEGER;
		task.hiddenRuns = Number.MAX_SAFE_INTEGER;
		task.guilt = 0.123_456_789;
		task.checkpoint = 'c'.repeat(maxCheckpointBytes - 2);
		task.incarnation = {id: '"'.repeat(200) as VmId, startedAt: Number.MAX_SAFE_INTEGER};
		task.phase = 'starting';
	}
}

/** Reads the rows that a job writes, as a new holder does; `keepRow` tells which of them were written. */
function restore(active: ActiveJob, keepRow: (row: number) => boolean): ActiveJob {
	let progress: Progress | undefined;
	for (const row of active.takeChangedRows().filter(index => keepRow(index))) {
		const {value} = active.encodeProgressRow(row);
		progress = row === headRow ? decodeProgress(value) : {...progress!, steps: [...progress!.steps, ...decodeProgressPart(value).steps]};
	}

	const restored = ActiveJob.create(active.job, now, limits);
	restored.restoreProgress(progress!);
	return restored;
}

type LayoutCase = {readonly name: string; readonly steps: ReadonlyArray<Partial<StepSpec>>; readonly repetitions?: number; readonly rows: number};

const cases: readonly LayoutCase[] = [
	{name: 'one task', steps: [{}], rows: 1},
	{name: 'as many tasks as fit into one row', steps: [{count: 61}], rows: 1},
	{name: 'one task more', steps: [{count: 62}], rows: 3},
	{name: 'many steps', steps: Array.from({length: 300}, () => ({})), rows: 11},
	{name: 'wide steps', steps: [{count: 1500}, {count: 1500, after: [0]}], rows: 95},
	{
		name: 'many repetitions', steps: [{count: 2}, {}], repetitions: 1000, rows: 95,
	},
	{name: 'the most tasks', steps: [{count: 20_000}], rows: 626},
];

for (const {name, steps, repetitions, rows} of cases) {
	test(`progress of a job with ${name} takes ${rows} rows within the limit, from which all tasks are restored`, t => {
		const active = ActiveJob.create(createJob(steps, repetitions), now, limits);
		startAll(active);
		t.is(active.progressKeys.length, rows);
		t.is(new Set(active.progressKeys.map(({key}) => key)).size, rows);
		for (let row = headRow; row < rows - 1; row++) {
			t.true(Buffer.byteLength(JSON.stringify(active.encodeProgressRow(row).value)) <= limits.valueBytes);
		}

		const restored = restore(active, () => true);
		t.is(restored.tasks.length, active.tasks.length);
		t.true(restored.tasks.every(task => task.run === Number.MAX_SAFE_INTEGER && task.hiddenRuns === maxHiddenRuns && task.phase === 'starting' && task.checkpoint.length === maxCheckpointBytes - 2));
		t.deepEqual(restored.takeChangedRows(), [headRow], 'restored progress is not written again');
	});
}

test('a change of one task of a large job changes one row', t => {
	const active = ActiveJob.create(createJob([{count: 2000}]), now, limits);
	startAll(active);
	active.updateState();
	active.takeChangedRows();
	const {tasks} = active;
	tasks[1000]!.phase = 'done';
	t.deepEqual(active.takeChangedRows(), [Math.floor(1000 / 32)]);
	t.deepEqual(active.takeChangedRows(), []);
});

test('a job whose rows were written in part is restored: tasks in missing rows were never ordered', t => {
	const active = ActiveJob.create(createJob([{count: 100}]), now, limits);
	startAll(active);
	const restored = restore(active, row => row !== 1);
	t.deepEqual(restored.tasks.filter(task => task.phase === 'waiting').map(task => task.index), Array.from({length: 32}, (_, index) => index + 32));
});

test('a gang of which only some rows show the end is done', t => {
	const active = ActiveJob.create(createJob([{count: 100, isGang: true}]), now, limits);
	startAll(active);
	for (const task of active.tasks) {
		task.phase = 'done';
	}

	t.true(restore(active, row => row <= 1).tasks.every(task => task.phase === 'done'));
});

test('a checkpoint that is too long is not kept, and the row stays within the limit', t => {
	const active = ActiveJob.create(createJob([{count: 61}]), now, limits);
	startAll(active);
	for (const task of active.tasks) {
		task.checkpoint = '\u0000'.repeat(100_000);
	}

	t.true(Buffer.byteLength(JSON.stringify(active.encodeProgressRow(headRow).value)) <= limits.valueBytes);
	t.is(restore(active, () => true).tasks[0]!.checkpoint, '');
});

test('the layout of an earlier holder is kept when the limits change', t => {
	const job = createJob([{count: 100}]);
	const active = ActiveJob.create(job, now, {...limits, valueBytes: 8192});
	startAll(active);
	t.is(active.progressKeys.length, 11);
	t.is(restore(active, () => true).progressKeys.length, 11);
	t.is(ProgressLayout.create(job, limits).rowCount, 4);
});

const ownerCases: ReadonlyArray<readonly [name: string, count: number, account: string | undefined, rows: number]> = [
	['no owner', 61, undefined, 1],
	['a short name of its owner', 60, 'a', 1],
	['a long name of its owner', 61, '\u0000'.repeat(128), 3],
	['an owner and further rows', 100, 'a', 5],
];

// Guards against a head row that outgrows the limit by the name of the owner, and against queries that don't find the owner there.
for (const [name, count, account, rows] of ownerCases) {
	test(`the head row of a job with ${name} holds the owner within the limit`, t => {
		const active = ActiveJob.create({...createJob([{count}]), ...(account === undefined ? {} : {account: account as AccountName})}, now, limits);
		startAll(active);
		t.is(active.progressKeys.length, rows);
		for (const isOver of [false, true]) {
			active.isUnrecordable = isOver;
			const {value} = active.encodeProgressRow(headRow);
			t.true(Buffer.byteLength(JSON.stringify(value)) <= limits.valueBytes);
			t.is(decodeProgress(value).account, account as AccountName | undefined);
			t.is('account' in (value as Progress), account !== undefined);
		}
	});
}

type SizeCase = {readonly name: string; readonly steps: ReadonlyArray<Partial<StepSpec>>; readonly repetitions?: number};

const sizeCases: readonly SizeCase[] = [
	{name: 'one task', steps: [{}]},
	{name: 'two steps', steps: [{}, {}]},
	{name: '60 steps', steps: Array.from({length: 60}, () => ({}))},
	{name: '61 tasks', steps: [{count: 61}]},
	{name: '30 repetitions', steps: [{}, {}], repetitions: 30},
];

for (const {name, steps, repetitions} of sizeCases) {
	for (const account of [undefined, 'a', '\u0000'.repeat(128)]) {
		// Guards against sound jobs that end as failed because the store rejects their progress.
		test(`a job of ${name} with ${account === undefined ? 'no owner' : `an owner of ${account.length} characters`} is refused at its submission, or its progress fits whatever becomes of it`, t => {
			const job = {...createJob(steps, repetitions), ...(account === undefined ? {} : {account: account as AccountName})};
			let accepted = 0;
			for (const valueBytes of [300, 500, 800, 900, 1000, 1600, 1700, 2400, 4096, limits.valueBytes]) {
				const clock = ManualClock.create();
				const tables = MemoryTableService.create(clock, {...limits, valueBytes});
				if (JobSubmitter.create({clock, tables, log: RateLimitedLog.create(Log.createSilent(), clock)}).findSizeError(job) !== undefined) {
					continue;
				}

				accepted++;
				const active = ActiveJob.create(job, now, tables.limits);
				startAll(active);
				active.state = 'cancelled';
				active.endedAt = Number.MAX_SAFE_INTEGER;
				for (let row = headRow; row < active.progressKeys.length - 1; row++) {
					const bytes = Buffer.byteLength(JSON.stringify(active.encodeProgressRow(row).value));
					t.true(bytes <= valueBytes, `row ${row} takes ${bytes} of ${valueBytes} bytes`);
				}
			}

			t.true(accepted > 0);
		});
	}
}
