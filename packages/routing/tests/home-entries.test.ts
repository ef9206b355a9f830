import {type EntryId, type PoolName} from '@tamarackwind/core';
import test from 'ava';
import {chooseHomeEntry} from '../src/index.js';

const entries = Array.from({length: 9}, (_, index) => `entry-${index + 1}` as EntryId);
const pools = Array.from({length: 185}, (_, index) => `pool-${index + 1}` as PoolName);

test('the home entry of a pool does not depend on the order of the entries', t => {
	for (const pool of pools) {
		t.is(chooseHomeEntry(pool, entries), chooseHomeEntry(pool, entries.toReversed()));
	}

	t.is(chooseHomeEntry(pools[0]!, []), undefined);
});

test('removing an entry changes only the homes of its own pools', t => {
	const [removed, ...remaining] = entries;
	for (const pool of pools) {
		const before = chooseHomeEntry(pool, entries)!;
		const after = chooseHomeEntry(pool, remaining)!;
		t.true(before === removed ? after !== removed : after === before);
	}
});

test('no entry is home of more than three times its fair share of pools', t => {
	const counts = new Map(entries.map(entry => [entry, pools.filter(pool => chooseHomeEntry(pool, entries) === entry)]));
	for (const entry of entries) {
		t.true((counts.get(entry)?.length ?? 0) <= 3 * pools.length / entries.length);
	}
});
