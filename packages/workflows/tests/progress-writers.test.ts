import {
	Log, ManualClock, VerdictError, type JobId, type ServiceName,
} from '@tamarackwind/core';
import {MemoryTableService, type CommitOutcome, type Transaction} from '@tamarackwind/clients';
import test from 'ava';
import {
	ActiveJob, RateLimitedLog, decodeProgress, FenceLostError, getProgressKey, ProgressWriter,
} from '../src/index.js';

const service = 'north' as ServiceName;

function createActiveJob(): ActiveJob {
	return ActiveJob.create({
		id: 'job-1' as JobId,
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
	}, {monotonic: 0, wall: 0});
}

function createWriter(tables: MemoryTableService, clock: ManualClock, epoch: number, onLost: () => void = () => {}): ProgressWriter {
	return ProgressWriter.create({
		clock, tables, service, epoch, holder: `entry-${epoch}`, log: RateLimitedLog.create(Log.createSilent(), clock), onLost,
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
	const first = createWriter(tables, clock, 1, () => {
		isLost = true;
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
