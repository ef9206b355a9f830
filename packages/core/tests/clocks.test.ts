import test from 'ava';
import {ManualClock, SeededRandom} from '../src/index.js';

test('a manual clock wakes sleepers in order of time', async t => {
	const clock = ManualClock.create();
	const order: string[] = [];
	const tasks = [['b', 20], ['a', 10], ['c', 30]].map(async ([name, ms]) => {
		await clock.sleep(Number(ms));
		order.push(String(name));
	});
	await clock.advance(25);
	t.deepEqual(order, ['a', 'b']);
	await clock.advance(5);
	await Promise.all(tasks);
	t.deepEqual(order, ['a', 'b', 'c']);
});

test('a jump of the wall clock leaves the monotonic clock alone', t => {
	const clock = ManualClock.create();
	clock.jumpWall(-500);
	t.is(clock.readWall(), -500);
	t.is(clock.readMonotonic(), 0);
});

test('a seeded random source repeats itself', t => {
	const draw = (): number[] => {
		const random = SeededRandom.create(42);
		return Array.from({length: 5}, () => random.readFraction());
	};

	t.deepEqual(draw(), draw());
	t.true(draw().every(x => x >= 0 && x < 1));
});
