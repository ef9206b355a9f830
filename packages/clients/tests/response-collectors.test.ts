/**
 * Time limits of a response while it arrives, on a manual clock.
 */
import {ManualClock} from '@tamarackwind/core';
import test from 'ava';
import {type Dispatcher} from 'undici';
import {ResponseCollector} from '../src/response-collectors.js';

const timeoutMs = 950;
const chunk = Buffer.alloc(1000);

type Step = readonly [atMs: number, event: 'sent' | 'head' | 'chunk' | 'end'];

type Case = {readonly name: string; readonly steps: readonly Step[]; readonly outcome: string; /** Time at which the request settles, in milliseconds. */ readonly settledMs: number};

/** A response of one chunk each 200 ms from 100 ms on. */
const arrivingSteps: readonly Step[] = [[0, 'sent'], [100, 'head'], ...Array.from({length: 15}, (_, index): Step => [100 + (index * 200), 'chunk'])];

const cases: readonly Case[] = [
	{
		name: 'a response that does not begin ends at the timeout', steps: [[0, 'sent']], outcome: 'no response within 950 ms', settledMs: 950,
	},
	{
		name: 'a request that is not sent ends at the timeout', steps: [], outcome: 'no response within 950 ms', settledMs: 950,
	},
	{
		name: 'a response that arrives for three times the timeout is read whole', steps: [...arrivingSteps, [3000, 'end']], outcome: '15000 bytes', settledMs: 3000,
	},
	{
		name: 'a response that stalls after the timeout ends 700 ms after its last byte', steps: arrivingSteps.slice(0, 7), outcome: 'response is incomplete after 1600 ms: 5000 of 15000 bytes received', settledMs: 1600,
	},
	{
		name: 'a response that stalls early ends at the timeout', steps: arrivingSteps.slice(0, 3), outcome: 'response is incomplete after 950 ms: 1000 of 15000 bytes received', settledMs: 950,
	},
	{
		name: 'a response that goes on without an end is ended', steps: [[0, 'sent'], [100, 'head'], ...Array.from({length: 400}, (_, index): Step => [100 + (index * 100), 'chunk'])], outcome: 'response is incomplete after 30000 ms: 299000 of 15000 bytes received', settledMs: 30_000,
	},
];

for (const {name, steps, outcome, settledMs} of cases) {
	// Guards against transfers that are cut while bytes arrive and begin again at the first byte, and against stalled connections.
	test(`response: ${name}`, async t => {
		const clock = ManualClock.create();
		const collector = ResponseCollector.create(clock, {timeoutMs});
		const controller = {abort() {}} as unknown as Dispatcher.DispatchController;
		let settled: {readonly outcome: string; readonly atMs: number} | undefined;
		const settle = (text: string): void => {
			settled = {outcome: text, atMs: clock.readMonotonic()};
		};

		void (async () => {
			try {
				const {body} = await collector.response;
				settle(`${body.length} bytes`);
			} catch (error) {
				settle((error as Error).message);
			}
		})();

		const handlers = {
			sent() {
				collector.onRequestStart(controller);
			},
			head() {
				collector.onResponseStart(controller, 200, {'content-length': '15000'});
			},
			chunk() {
				collector.onResponseData(controller, chunk);
			},
			end() {
				collector.onResponseEnd();
			},
		};
		const startedAt = clock.readMonotonic();
		for (const [atMs, event] of steps) {
			await clock.advance(startedAt + atMs - clock.readMonotonic());
			if (settled === undefined) {
				handlers[event]();
			}
		}

		await clock.advance(60_000);
		collector.close();
		t.deepEqual(settled && {...settled, atMs: settled.atMs - startedAt}, {outcome, atMs: settledMs});
	});
}

// Guards against calls that go on after their caller has given them up.
for (const isAbortedBefore of [true, false]) {
	test(`response: a request whose signal aborts ${isAbortedBefore ? 'before' : 'after'} it begins is ended`, async t => {
		const clock = ManualClock.create();
		const ending = new AbortController();
		if (isAbortedBefore) {
			ending.abort();
		}

		const collector = ResponseCollector.create(clock, {timeoutMs, signal: ending.signal});
		ending.abort();
		await t.throwsAsync(collector.response, {message: 'request was aborted'});
		collector.close();
	});
}
