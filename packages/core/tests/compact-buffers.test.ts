import test from 'ava';
import fc from 'fast-check';
import {CompactBuffer} from '../src/index.js';
import {readFuzzParameters} from '../src/fuzz.js';

test('the content of a compact buffer is that of its pieces in order', t => {
	fc.assert(fc.property(fc.array(fc.uint8Array({maxLength: 3000})), fc.option(fc.nat(5000), {nil: undefined}), (pieces, expectedBytes) => {
		const buffer = CompactBuffer.create(expectedBytes);
		for (const piece of pieces) {
			buffer.append(piece);
		}

		t.deepEqual(Buffer.from(buffer.toBytes()), Buffer.concat(pieces));
		t.is(buffer.length, Buffer.concat(pieces).length);
	}), readFuzzParameters(51));
});

type Case = {readonly name: string; readonly expectedBytes?: number; readonly pieces: readonly number[]; readonly maxCapacity: number};

// Guards against memory for what a sender only announces, and against more than twice the memory of the content.
const cases: readonly Case[] = [
	{
		name: 'nothing', expectedBytes: 1_000_000, pieces: [], maxCapacity: 0,
	},
	{
		name: 'one byte of an announced megabyte', expectedBytes: 1_000_000, pieces: [1], maxCapacity: 1024,
	},
	{
		name: 'a content of the expected length', expectedBytes: 300, pieces: [100, 100, 100], maxCapacity: 300,
	},
	{
		name: 'more than the expected length', expectedBytes: 3, pieces: [2000, 2000], maxCapacity: 4000,
	},
	{name: 'many pieces of one byte', pieces: Array.from({length: 5000}, () => 1), maxCapacity: 8192},
];

for (const {name, expectedBytes, pieces, maxCapacity} of cases) {
	test(`capacity of a compact buffer: ${name}`, t => {
		const buffer = CompactBuffer.create(expectedBytes);
		for (const bytes of pieces) {
			buffer.append(new Uint8Array(bytes));
		}

		t.true(buffer.capacity <= maxCapacity, `${buffer.capacity}`);
	});
}

test('the text of a compact buffer may have characters across two pieces', t => {
	const bytes = Buffer.from('grün', 'utf8');
	const buffer = CompactBuffer.create();
	for (const byte of bytes) {
		buffer.append(Uint8Array.of(byte));
	}

	t.is(buffer.toText(), 'grün');
	buffer.clear();
	t.is(buffer.toText(), '');
	t.is(buffer.capacity, 0);
});
