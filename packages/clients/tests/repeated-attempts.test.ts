import {ManualClock, VerdictError, type Verdict} from '@tamarackwind/core';
import test from 'ava';
import {runRepeatedAttempts} from '../src/index.js';

const delayMs = 100;

/** Outcome of one attempt: after a time in milliseconds it returns or fails; `silent` attempts time out after a second. */
type Attempt = {readonly afterMs: number; readonly outcome: 'answered' | Verdict};

const silent: Attempt = {afterMs: 1000, outcome: 'may-have-run'};

type Case = {readonly name: string; readonly attempts: readonly Attempt[]; readonly outcome: 'answered' | Verdict; readonly settledAtMs: number; readonly made: number};

const cases: readonly Case[] = [
	{
		name: 'an answer in time is not repeated', attempts: [{afterMs: 20, outcome: 'answered'}], outcome: 'answered', settledAtMs: 20, made: 1,
	},
	{
		name: 'a lost answer is made up for by the second attempt', attempts: [silent, {afterMs: 20, outcome: 'answered'}], outcome: 'answered', settledAtMs: 120, made: 2,
	},
	{
		name: 'two lost answers are made up for by the third attempt', attempts: [silent, silent, {afterMs: 20, outcome: 'answered'}], outcome: 'answered', settledAtMs: 320, made: 3,
	},
	{
		name: 'a late answer to the first attempt counts', attempts: [{afterMs: 150, outcome: 'answered'}, silent], outcome: 'answered', settledAtMs: 150, made: 2,
	},
	{
		name: 'a refusal is not repeated', attempts: [{afterMs: 20, outcome: 'not-run'}], outcome: 'not-run', settledAtMs: 20, made: 1,
	},
	{
		name: 'a refused repetition leaves the first attempt open', attempts: [{afterMs: 250, outcome: 'answered'}, {afterMs: 10, outcome: 'not-run'}], outcome: 'answered', settledAtMs: 250, made: 2,
	},
	{
		name: 'a lost answer stays in doubt although a repetition was refused', attempts: [silent, {afterMs: 10, outcome: 'not-run'}, {afterMs: 10, outcome: 'not-run'}], outcome: 'may-have-run', settledAtMs: 1000, made: 3,
	},
	{
		name: 'all answers lost', attempts: [silent, silent, silent], outcome: 'may-have-run', settledAtMs: 1300, made: 3,
	},
];

for (const {name, attempts, outcome, settledAtMs, made} of cases) {
	test(`repeated attempts: ${name}`, async t => {
		const clock = ManualClock.create();
		let count = 0;
		let settledAt: number | undefined;
		const run = async (): Promise<string> => {
			try {
				return await runRepeatedAttempts({
					clock, delayMs, maxAttempts: 3, async attempt() {
						const {afterMs, outcome: result} = attempts[count++]!;
						await clock.sleep(afterMs);
						if (result !== 'answered') {
							throw new VerdictError('no answer', {verdict: result, code: 'platform_unavailable'});
						}

						return result;
					},
				});
			} catch (error) {
				return (error as VerdictError).verdict;
			} finally {
				settledAt = clock.readMonotonic();
			}
		};

		const startedAt = clock.readMonotonic();
		const result = run();
		await clock.advance(5000);
		t.is(await result, outcome);
		t.is(settledAt! - startedAt, settledAtMs);
		t.is(count, made);
	});
}
