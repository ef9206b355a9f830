import test from 'ava';
import {
	MemoryTableService, absentVersion, type CommitOutcome, type Transaction,
} from '../src/index.js';

const row = {table: 'vms', key: 'vm-1'};
const cases: Array<{title: string; before: Transaction[]; transaction: Transaction; expected: CommitOutcome['status']}> = [
	{
		title: 'an insert of an absent row commits', before: [], transaction: {checks: [{...row, version: absentVersion}], writes: [{...row, value: 1}]}, expected: 'committed',
	},
	{
		title: 'an insert of a present row conflicts', before: [{checks: [], writes: [{...row, value: 1}]}], transaction: {checks: [{...row, version: absentVersion}], writes: [{...row, value: 2}]}, expected: 'conflict',
	},
	{
		title: 'an update at the read version commits', before: [{checks: [], writes: [{...row, value: 1}]}], transaction: {checks: [{...row, version: 1}], writes: [{...row, value: 2}]}, expected: 'committed',
	},
	{
		title: 'an insert after a delete commits', before: [{checks: [], writes: [{...row, value: 1}]}, {checks: [], writes: [row]}], transaction: {checks: [{...row, version: absentVersion}], writes: [{...row, value: 2}]}, expected: 'committed',
	},
];

for (const {title, before, transaction, expected} of cases) {
	test(title, async t => {
		const tables = MemoryTableService.create();
		for (const earlier of before) {
			await tables.commit(earlier);
		}

		const outcome = await tables.commit(transaction);
		t.is(outcome.status, expected);
	});
}

test('a write whose response was lost takes effect', async t => {
	const tables = MemoryTableService.create();
	tables.faults.setFaults({lostAnswers: 1});
	await t.throwsAsync(tables.commit({checks: [], writes: [{...row, value: 'kept'}]}), {message: /was lost/v});
	t.is((await tables.getRow(row))?.value, 'kept');
});

test('a scan continues after a key', async t => {
	const tables = MemoryTableService.create();
	await tables.commit({checks: [], writes: ['a', 'b', 'c'].map(key => ({table: 'vms', key, value: key}))});
	const rows = await tables.scanRows('vms', {after: 'a', limit: 1});
	t.deepEqual(rows.map(x => x.key), ['b']);
});
