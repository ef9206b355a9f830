import {
	ManualClock, SeededRandom, type OperatorId,
} from '@tamarackwind/core';
import {ViewVersions} from '@tamarackwind/peer';
import {MemoryObjectStore, MemoryTableService} from '@tamarackwind/clients';
import test from 'ava';
import {AuditLog, Retention, SettingsStore} from '../src/index.js';

const keptRecords = 10;
const segmentSize = 5;
const recordCount = 23;
const hourMs = 3_600_000;

test('old audit records move to the object store, and the hash chain still verifies', async t => {
	const clock = ManualClock.create();
	const random = SeededRandom.create(5);
	const tables = MemoryTableService.create();
	const objects = MemoryObjectStore.create();
	const audit = AuditLog.create({
		clock, random, tables, objects, keptRecords, segmentSize,
	});
	for (let index = 0; index < recordCount; index++) {
		await audit.record({
			operator: 'anna' as OperatorId, address: '127.0.0.1', action: `change ${index}`, changes: [], outcome: 'accepted',
		});
	}

	const countRows = async (): Promise<number> => (await audit.listRecords()).length;
	const settingsStore = SettingsStore.create(tables, objects);
	const retention = Retention.create({
		clock, random, audit, settingsStore, versions: ViewVersions.create(),
	});
	await clock.advance(hourMs);
	await retention.close();
	t.is(retention.failedRuns, 0);
	t.is((await objects.listObjects('')).length, 2);
	t.deepEqual(await audit.verify(), {records: recordCount});
	t.is(await countRows(), recordCount);
});
