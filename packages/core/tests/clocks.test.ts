import test from 'ava';
import {ManualClock, SeededRandom} from '../src/index.js';

test('a manual clock fires timers in order of time', async t => {
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

test('a jump of the wall clock does not change the monotonic clock', t => {
	const clock = ManualClock.create();
	clock.jumpWall(-500);
	t.is(clock.readWall(), -500);
	t.is(clock.readMonotonic(), 0);
});

test('a seeded random source yields the same sequence for the same seed', t => {
	const drawSequence = (): number[] => {
		const random = SeededRandom.create(42);
		return Array.from({length: 5}, () => random.readFraction());
	};

	t.deepEqual(drawSequence(), drawSequence());
	t.true(drawSequence().every(x => x >= 0 && x < 1));
});
