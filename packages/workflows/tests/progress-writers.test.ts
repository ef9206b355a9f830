import {
	Log, ManualClock, VerdictError, type JobId, type ServiceName,
} from '@tamarackwind/core';
import {
	MemoryTableService, platformRejectedCode, type CommitOutcome, type Transaction,
} from '@tamarackwind/clients';
import test from 'ava';
import {
	ActiveJob, RateLimitedLog, decodeProgress, FenceLostError, getProgressKey, ProgressWriter, type ProgressWriterOptions,
} from '../src/index.js';

const service = 'north' as ServiceName;
const limits = {valueBytes: 49_152, transactionBytes: 690_000, transactionEntries: 100};

function createActiveJob(id = 'job-1'): ActiveJob {
	return ActiveJob.create({
		id: id as JobId,
		service,
		queue: 'redraw',
		payload: '',
		submittedAt: 0,
		policy: {
			priority: 0, maxAttempts: 3, slackFactor: 2, targetLatencyMs: 600,
		},
		steps: [{
			count: 2, resources: {cpu: 1, memory: 1, gpu: 0}, estimatedMs: 1, after: [], isCheckpointing: false, isGang: false, isSameRack: false, isSpeculative: false,
			isLongRunning: false, isFiller: false,
		}],
	}, {monotonic: 0, wall: 0}, limits);
}

function createWriter(tables: MemoryTableService, clock: ManualClock, epoch: number, callbacks: Partial<Pick<ProgressWriterOptions, 'onLost' | 'onRejected'>> = {}): ProgressWriter {
	return ProgressWriter.create({
		clock, tables, service, epoch, holder: `entry-${epoch}`, log: RateLimitedLog.create(Log.createSilent(), clock), onLost() {}, onRejected() {}, ...callbacks,
	});
}

async function readDone(tables: MemoryTableService): Promise<number[]> {
	const row = await tables.getRow(getProgressKey(service, 'job-1' as JobId));
	return decodeProgress(row!.value).steps.flatMap(step => step.done);
}

test('a later holder fences off the earlier one', async t => {
	const clock = ManualClock.create();
	const tables = MemoryTableService.create(clock);
	let isLost = false;
	const first = createWriter(tables, clock, 1, {
		onLost() {
			isLost = true;
		},
	});
	await first.open();
	await createWriter(tables, clock, 2).open();
	const recorded = t.throwsAsync(first.record([createActiveJob()]), {instanceOf: FenceLostError});
	await clock.advance(1000);
	await recorded;
	t.true(isLost);
	await t.throwsAsync(createWriter(tables, clock, 1).open(), {instanceOf: FenceLostError});
});

const lateCases: ReadonlyArray<[string, boolean]> = [
	['a transaction whose response was lost', false],
	['a transaction that is committed late', true],
];

for (const [name, isLate] of lateCases) {
	test(`${name} does not overwrite later progress`, async t => {
		const clock = ManualClock.create();
		const tables = MemoryTableService.create(clock);
		const writer = createWriter(tables, clock, 1);
		await writer.open();
		const commit = tables.commit.bind(tables);
		const late: Transaction[] = [];
		let isFirst = true;
		tables.commit = async (transaction: Transaction): Promise<CommitOutcome> => {
			if (!isFirst) {
				return commit(transaction);
			}

			isFirst = false;
			if (isLate) {
				late.push(transaction);
			} else {
				await commit(transaction);
			}

			throw new VerdictError('no answer', {verdict: 'may-have-run', code: 'platform_unavailable'});
		};

		const active = createActiveJob();
		active.openOccurrences(0);
		active.tasks[0]!.run = 1;
		active.tasks[0]!.phase = 'done';
		const recorded = writer.record([active]);
		await clock.advance(20);
		active.tasks[1]!.run = 1;
		active.tasks[1]!.phase = 'done';
		await clock.advance(1000);
		await recorded;
		for (const transaction of late) {
			t.is((await commit(transaction)).status, 'conflict');
		}

		t.deepEqual(await readDone(tables), [0, 1]);
	});
}

/** Rejects each transaction that writes progress of the given job, unless it is its final state. */
function rejectJob(tables: MemoryTableService, id: string): void {
	const commit = tables.commit.bind(tables);
	tables.commit = async (transaction: Transaction): Promise<CommitOutcome> => {
		const isRejected = transaction.writes.some(({key, value}) => key === id && (value as {state: string}).state !== 'failed');
		if (isRejected) {
			throw new VerdictError('value is invalid', {verdict: 'not-run', code: platformRejectedCode});
		}

		return commit(transaction);
	};
}

// Guards against a row that the store never accepts, which would hold up the progress of all jobs of a service.
test('a job whose progress is rejected is given up, and the progress of the others is written', async t => {
	const clock = ManualClock.create();
	const tables = MemoryTableService.create(clock);
	rejectJob(tables, 'job-bad');
	const rejected: string[] = [];
	const writer = createWriter(tables, clock, 1, {
		onRejected(job) {
			rejected.push(job.job.id);
			job.isUnrecordable = true;
			job.updateState();
		},
	});
	await writer.open();
	const [bad, good] = [createActiveJob('job-bad'), createActiveJob('job-1')];
	const recorded = writer.record([bad, good]);
	await clock.advance(1000);
	await recorded;
	t.deepEqual(rejected, ['job-bad']);
	t.deepEqual(await readDone(tables), []);
	t.is(decodeProgress((await tables.getRow(getProgressKey(service, 'job-bad' as JobId)))!.value).state, 'failed');
});

test('rows beyond the size of a transaction are written in several', async t => {
	const clock = ManualClock.create();
	const tables = MemoryTableService.create(clock, {...limits, transactionBytes: 60_000});
	const writer = createWriter(tables, clock, 1);
	await writer.open();
	const jobs = Array.from({length: 200}, (_, index) => createActiveJob(`job-${index}`));
	for (const job of jobs) {
		job.openOccurrences(0);
		for (const task of job.tasks) {
			task.run = 1;
			task.checkpoint = 'c'.repeat(200);
		}
	}

	const recorded = writer.record(jobs);
	await clock.advance(1000);
	await recorded;
	t.is(tables.rejections, 0);
	t.true(writer.writes > 2);
});
