import {
	Log, ManualClock, type JobId, type ServiceName,
} from '@tamarackwind/core';
import {MemoryTableService} from '@tamarackwind/clients';
import test from 'ava';
import {
	ActiveJob, encodeJob, getJobKey, JobFeed, RateLimitedLog, computeTimings, defaultBounds, type Job, type JobChange,
} from '../src/index.js';

const limits = {valueBytes: 49_152, transactionBytes: 690_000, transactionEntries: 100};
const retentionMs = 120_000;
/** Time in which all rows of a job are deleted after its retention, in milliseconds. */
const deletionMs = 75_000;
const id = '5c0e7a21d94b36f8' as JobId;

function createJob(count: number): Job {
	return {
		id,
		service: 'north' as ServiceName,
		queue: 'redraw',
		payload: '',
		submittedAt: 0,
		policy: {
			priority: 0, maxAttempts: 3, slackFactor: 2, targetLatencyMs: 600,
		},
		steps: [{
			count, resources: {cpu: 1, memory: 1, gpu: 0}, estimatedMs: 1, after: [], isCheckpointing: false, isGang: false, isSameRack: false, isSpeculative: false,
			isLongRunning: false, isFiller: false,
		}],
	};
}

/** Stores a job that has ended, and schedules its removal. */
async function endJob(count: number): Promise<{readonly clock: ManualClock; readonly tables: MemoryTableService; readonly active: ActiveJob; readonly feed: JobFeed; readonly changes: JobChange[]}> {
	const clock = ManualClock.create();
	const tables = MemoryTableService.create(clock, limits);
	const active = ActiveJob.create(createJob(count), {monotonic: 0, wall: 0}, limits);
	await tables.commit({checks: [], writes: [{...getJobKey(id), value: encodeJob(active.job)}]});
	for (const key of active.progressKeys) {
		await tables.commit({checks: [], writes: [{...key, value: {state: 'succeeded', steps: []}}]});
	}

	const feed = JobFeed.create({
		clock, tables, log: RateLimitedLog.create(Log.createSilent(), clock), retentionMs, timings: computeTimings(defaultBounds),
	});
	await feed.load();
	const changes: JobChange[] = [];
	feed.subscribe(active.job.service, received => {
		changes.push(...received);
	});
	feed.scheduleRemoval(active);
	return {
		clock, tables, active, feed, changes,
	};
}

for (const count of [1, 20_000]) {
	test(`the rows of an ended job of ${count} tasks are deleted after its retention, the submission first`, async t => {
		const {clock, tables, active, feed} = await endJob(count);
		await clock.advance(retentionMs - 6000);
		t.not(await tables.getRow(getJobKey(id)), undefined);
		await clock.advance(12_000);
		t.is(await tables.getRow(getJobKey(id)), undefined);
		t.not(await tables.getRow(active.progressKeys[0]!), undefined);
		await clock.advance(deletionMs);
		for (const key of active.progressKeys) {
			t.is(await tables.getRow(key), undefined);
		}

		t.is(tables.rejections, 0);
		feed.close();
	});
}

// Guards against a job that runs again because a new holder finds its submission, or a repeat of it, and no progress.
test('a submission that is repeated while only its progress is left does not run again', async t => {
	const {clock, tables, active, feed, changes} = await endJob(1);
	await clock.advance(retentionMs + 6000);
	t.is(await tables.getRow(getJobKey(id)), undefined);
	await tables.commit({checks: [], writes: [{...getJobKey(id), value: encodeJob(active.job)}]});
	await clock.advance(deletionMs);
	t.deepEqual(changes, []);
	t.not(await tables.getRow(active.progressKeys[0]!), undefined);
	await clock.advance(retentionMs + deletionMs);
	t.is(await tables.getRow(active.progressKeys[0]!), undefined);
	feed.close();
});
