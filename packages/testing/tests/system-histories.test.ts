import test from 'ava';
import {playHistory, type FaultKind} from '../src/index.js';

/** Seeds that failed once, with their causes, and some more. */
const cases: ReadonlyArray<[number, string, readonly FaultKind[] | undefined]> = [
	[7, 'a gang beside a wave and a store that is down', undefined],
	[8, 'a cancellation whose answer was lost', undefined],
	[72, 'a gang of which one start was carried out late waited for ever', undefined],
	[105, 'an upkeep took a task that had just started for free', undefined],
	[110, 'two upkeeps within one listing ended two tasks of a step', undefined],
	[133, 'a cancelled job has no disruption budget', undefined],
	[150, 'a lost fence ended the process by an unhandled rejection', undefined],
	[1001, 'takeovers', ['kill holder', 'stop holder', 'kill entry']],
	[1002, 'takeovers beside waves', ['kill holder', 'wave', 'cut holder from tables']],
	[1003, 'orders carried out late beside cut workers', ['orders late', 'worker cut', 'kill holder']],
	[1004, 'writes carried out late', ['writes late', 'answers lost']],
	[2000, 'an upkeep that was done before was taken for a new one (fixture site, trouble-1 seed 958153134371)', ['wave', 'wave', 'kill holder', 'answers lost', 'tables silent', 'cut holder from tables']],
	[2012, 'the same after two takeovers', ['wave', 'wave', 'kill holder', 'answers lost', 'tables silent', 'cut holder from tables']],
	[2006, 'ends acknowledged before they are durable would be caught', undefined],
	[2015, 'an unanswered start that is not stopped would be caught', undefined],
	[2100, 'a worker that is cut off runs on until its lease has lapsed', ['worker cut']],
	[1005, 'outages of the tables', ['tables down', 'tables silent', 'tables slow', 'history gone']],
];

for (const [seed, name, kinds] of cases) {
	test(`history ${seed}: ${name}`, async t => {
		const {violations, accepted} = await playHistory({seed, kinds});
		t.deepEqual(violations, []);
		t.true(accepted > 0);
	});
}
