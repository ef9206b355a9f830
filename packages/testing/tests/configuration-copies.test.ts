/**
 * Compressed copies of the configuration: what is written, and which copies are read.
 */
import {ManualClock} from '@tamarackwind/core';
import {MemoryTableService, type TableLimits} from '@tamarackwind/clients';
import {ConfigurationCopies, copyTable, type CopiedRow} from '@tamarackwind/workflows';
import test from 'ava';

/** Limits with which a copy of the value below takes several parts. */
const limits: TableLimits = {valueBytes: 1000, transactionBytes: 100_000, transactionEntries: 100};

function createRow(version: number, queues = 400): CopiedRow {
	return {key: 'config', version, value: {version, queues: Array.from({length: queues}, (_, index) => `${(index * 2_654_435_761 % 4_294_967_296).toString(36)}-${version}`)}};
}

type Case = {
	readonly name: string;
	/** Rows that are copied one after the other. */
	readonly rows: readonly CopiedRow[];
	readonly outcomes: readonly string[];
	/** Version of the copy that is read. */
	readonly read: number | undefined;
	readonly after?: number;
	readonly limits?: TableLimits;
	/** Changes the store after the writes. */
	readonly disturb?: (tables: MemoryTableService) => Promise<void> | void;
};

const cases: readonly Case[] = [
	{
		name: 'a copy of several parts is read whole', rows: [createRow(5)], outcomes: ['written'], read: 5,
	},
	{
		name: 'a copy is replaced by that of a newer row', rows: [createRow(5), createRow(9)], outcomes: ['written', 'written'], read: 9,
	},
	{
		name: 'a copy is replaced by a smaller one', rows: [createRow(5), createRow(9, 10)], outcomes: ['written', 'written'], read: 9,
	},
	{
		name: 'a copy is not replaced by that of an older row', rows: [createRow(9), createRow(5)], outcomes: ['written', 'already-written'], read: 9,
	},
	{
		name: 'a row is copied once', rows: [createRow(9), createRow(9)], outcomes: ['written', 'already-written'], read: 9,
	},
	{
		name: 'a copy of the row that the reader has is not read', rows: [createRow(9)], outcomes: ['written'], after: 9, read: undefined,
	},
	{
		name: 'a copy beyond the limits of the store is not written', rows: [createRow(5)], outcomes: ['too-large'], read: undefined, limits: {...limits, transactionEntries: 3},
	},
	{
		name: 'a copy of which a part is missing is not read', rows: [createRow(5)], outcomes: ['written'], read: undefined, async disturb(tables) {
			await tables.commit({checks: [], writes: [{table: copyTable, key: 'part/1'}]});
		},
	},
	{
		name: 'a copy whose parts do not match its digest is not read', rows: [createRow(5)], outcomes: ['written'], read: undefined, async disturb(tables) {
			const head = await tables.getRow({table: copyTable, key: 'head'});
			await tables.commit({checks: [], writes: [{table: copyTable, key: 'head', value: {...head!.value as Record<string, unknown>, digest: 'other'}}]});
		},
	},
	{
		name: 'a copy is read after the store has dropped its history', rows: [createRow(5)], outcomes: ['written'], read: 5, disturb(tables) {
			tables.clearHistory();
		},
	},
];

for (const {name, rows, outcomes, read, after = 1, limits: caseLimits = limits, disturb} of cases) {
	// Guards against a configuration that is put together from parts of several, or goes back.
	test(`copies: ${name}`, async t => {
		const clock = ManualClock.create();
		const tables = MemoryTableService.create(clock, caseLimits);
		const copies = ConfigurationCopies.create(tables);
		const written: string[] = [];
		for (const row of rows) {
			written.push(await copies.write(row));
		}

		t.deepEqual(written, outcomes);
		t.is(tables.rejections, 0);
		await disturb?.(tables);
		const ending = new AbortController();
		const reading = copies.waitForCopy(after, ending.signal);
		await clock.advance(2000);
		ending.abort();
		await clock.advance(1000);
		const copy = await reading;
		t.is(copy?.version, read);
		t.deepEqual(copy?.value, rows.find(({version}) => version === read)?.value);
	});
}

// Guards against an older copy that replaces a newer one, or a newer one that is given up, when two entries write at the same moment.
test('copies: of two rows that are copied at the same moment, the newer one is kept', async t => {
	const clock = ManualClock.create();
	const tables = MemoryTableService.create(clock, limits);
	const outcomes = await Promise.all([createRow(5), createRow(9), createRow(7)].map(async row => ConfigurationCopies.create(tables).write(row)));
	t.true(outcomes.includes('written'));
	const copy = await ConfigurationCopies.create(tables).waitForCopy(1, new AbortController().signal);
	t.is(copy?.version, 9);
});
