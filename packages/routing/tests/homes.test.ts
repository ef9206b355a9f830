import {type EntryId, type PoolName} from '@tamarackwind/core';
import test from 'ava';
import {chooseHome} from '../src/index.js';

const entries = Array.from({length: 9}, (_, index) => `entry-${index + 1}` as EntryId);
const pools = Array.from({length: 185}, (_, index) => `pool-${index + 1}` as PoolName);

test('every entry chooses the same home, whatever the order of its list', t => {
	for (const pool of pools) {
		t.is(chooseHome(pool, entries), chooseHome(pool, entries.toReversed()));
	}

	t.is(chooseHome(pools[0]!, []), undefined);
});

test('an entry that goes moves only the pools that it was home of', t => {
	const [gone, ...left] = entries;
	for (const pool of pools) {
		const before = chooseHome(pool, entries)!;
		const after = chooseHome(pool, left)!;
		t.true(before === gone ? after !== gone : after === before);
	}
});

test('no entry is home of more than three times its part', t => {
	const counts = new Map(entries.map(entry => [entry, pools.filter(pool => chooseHome(pool, entries) === entry)]));
	for (const entry of entries) {
		t.true((counts.get(entry)?.length ?? 0) <= 3 * pools.length / entries.length);
	}
});
