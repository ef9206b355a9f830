import test from 'ava';
import {ManualClock, waitAtMost} from '../src/index.js';

type Case = readonly [name: string, promise: () => Promise<unknown>, advanceMs: number, isOver: boolean];

const cases: readonly Case[] = [
	['a promise that is fulfilled ends the wait', async () => {}, 0, true],
	['the limit ends the wait', async () => new Promise(() => {}), 100, true],
	['a pending promise is waited for', async () => new Promise(() => {}), 99, false],
];

for (const [name, createPromise, advanceMs, isOver] of cases) {
	test(`${name}, and no timer stays behind`, async t => {
		const clock = ManualClock.create();
		let isDone = false;
		const wait = async (): Promise<void> => {
			await waitAtMost(clock, createPromise(), 100);
			isDone = true;
		};

		void wait();
		await clock.advance(advanceMs);
		t.is(isDone, isOver);
		t.is(clock.pendingTimerCount, isOver ? 0 : 1);
	});
}

test('a rejected promise ends the wait with its error, and no timer stays behind', async t => {
	const clock = ManualClock.create();
	await t.throwsAsync(waitAtMost(clock, Promise.reject(new Error('lost')), 100), {message: 'lost'});
	t.is(clock.pendingTimerCount, 0);
});
