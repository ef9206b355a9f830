import test from 'ava';
import {
	faultKinds, furtherFaultKinds, playHistory, type FaultKind,
} from '../src/index.js';

const allKinds = [...faultKinds, ...furtherFaultKinds];

/** Seeds that failed once, each with the cause, and seeds that cover particular faults. */
const cases: ReadonlyArray<[number, string, readonly FaultKind[] | undefined]> = [
	[7, 'a gang during a wave and an outage of the store', undefined],
	[8, 'a cancellation whose response was lost', undefined],
	[72, 'a gang waited forever after one of its starts was executed late', undefined],
	[105, 'an upkeep treated a task that had just started as free to evict', undefined],
	[110, 'two upkeeps within one listing period ended two tasks of a step', undefined],
	[133, 'a cancelled job has no disruption budget', undefined],
	[150, 'a lost fence terminated the process with an unhandled rejection', undefined],
	[1001, 'takeovers of the leader lease', ['kill holder', 'stop holder', 'kill entry']],
	[1002, 'takeovers of the leader lease during waves', ['kill holder', 'wave', 'cut holder from tables']],
	[1003, 'orders executed late while workers are cut off', ['orders late', 'worker cut', 'kill holder']],
	[1004, 'writes executed late', ['writes late', 'answers lost']],
	[2000, 'a completed upkeep was mistaken for a new one (fixture site, trouble-1 seed 958153134371)', ['wave', 'wave', 'kill holder', 'answers lost', 'tables silent', 'cut holder from tables']],
	[2012, 'the same mistake after two takeovers', ['wave', 'wave', 'kill holder', 'answers lost', 'tables silent', 'cut holder from tables']],
	[2006, 'detects ends of runs that are acknowledged before they are durable', undefined],
	[2015, 'detects a start without a response that is not stopped', undefined],
	[2100, 'a worker that is cut off continues until its lease has expired', ['worker cut']],
	[5001, 'workers that restart under their ids beside takeovers and lost orders', ['worker restart', 'worker restart', 'kill holder', 'orders lost']],
	[5002, 'workers that restart under their ids while the store is away', ['worker restart', 'worker restart', 'tables down', 'orders late']],
	[5003, 'orders to VMs without an answer during waves and takeovers', ['VM orders lost', 'VM orders unanswered', 'VM list down', 'wave', 'kill holder']],
	[5004, 'orders to VMs executed late during waves', ['VM orders late', 'wave', 'worker restart']],
	[5005, 'queues that move to another service beside lost answers, late writes and takeovers', ['queue moved', 'queue moved', 'answers lost', 'writes late', 'kill holder']],
	[10_166, 'a restart counted as a crash under the run that began after it', allKinds],
	[10_276, 'the same beside a takeover', allKinds],
	[10_141, 'a lasting job is given up after two crashes of workers under one of its tasks', allKinds],
	[1005, 'outages of the tables', ['tables down', 'tables silent', 'tables slow', 'history gone']],
];

for (const [seed, title, kinds] of cases) {
	test(`history ${seed}: ${title}`, async t => {
		const {violations, accepted} = await playHistory({seed, kinds});
		t.deepEqual(violations, []);
		t.true(accepted > 0);
	});
}
