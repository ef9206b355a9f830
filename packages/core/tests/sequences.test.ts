import test from 'ava';
import {appendAll, findMaximum} from '../src/index.js';

/** More than a call takes as arguments. */
const longLength = 200_000;

const maxima: ReadonlyArray<{readonly name: string; readonly values: readonly number[]; readonly least: number; readonly maximum: number}> = [
	{
		name: 'no values', values: [], least: 3, maximum: 3,
	},
	{
		name: 'values below the least', values: [-1, 2], least: 3, maximum: 3,
	},
	{
		name: 'values above it', values: [4, 9, 5], least: 3, maximum: 9,
	},
	{
		name: 'more values than a call takes arguments', values: Array.from({length: longLength}, (_, index) => index), least: 0, maximum: longLength - 1,
	},
];

for (const {name, values, least, maximum} of maxima) {
	test(`maximum of ${name}`, t => {
		t.is(findMaximum(values, least), maximum);
	});
}

for (const count of [0, 3, longLength]) {
	test(`append ${count} items`, t => {
		const list = [7];
		appendAll(list, Array.from({length: count}, (_, index) => index));
		t.is(list.length, count + 1);
		t.is(list.at(-1), count === 0 ? 7 : count - 1);
	});
}
