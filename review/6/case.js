/**
 * A client leaves while its submission is on its way, and cancels the job. The cancellation is acknowledged with 410, and the job runs.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {createJobId, formatJob} from '../stand-in-2-deployments.js';
import {hasTrouble, runCase} from '../stand-in-2-plays.js';

const slowness = 80;
const slowMs = 2000;
const leaveMs = 100;
/** Time after which the runs have to be gone: the end of the slowness, `contactMs`, `cancel_ms`, `stopMs`, and as much again. */
const watchedMs = 14_000;

await runCase(import.meta.dirname, {entries: 2}, async deployment => {
	const {record, ledger, store, entries: [first, second]} = deployment;
	await sleep(3000);
	const id = createJobId();
	const body = formatJob([{count: 2, longRunning: true}]);
	if (hasTrouble) {
		record.add(`the store is ${slowness} times slower for ${slowMs} ms`);
		store.slowness = slowness;
		setTimeout(() => {
			store.slowness = 1;
			record.add('the store is as fast as before');
		}, slowMs);
	}

	await deployment.send(first, 'POST', id, {body, leaveMs: hasTrouble ? leaveMs : undefined});
	const {status} = await deployment.send(second, 'DELETE', id);
	if (status !== 200 && status !== 410) {
		throw new Error(`the cancellation is not acknowledged: ${status}`);
	}

	const acknowledgedMs = record.nowMs;
	record.add(`the cancellation is acknowledged with ${status}`);
	await sleep(watchedMs);
	const {text} = await deployment.send(second, 'GET', id);
	return ledger.runs.filter(({task, how}) => task.startsWith(id) && how === undefined).map(({task, startedMs}) => `UNASKED: ${task} was started ${Math.round(startedMs - acknowledgedMs)} ms after the cancellation of its job was acknowledged with ${status}, and still runs ${Math.round(record.nowMs - acknowledgedMs)} ms after it; the job is shown as ${text}`);
});
