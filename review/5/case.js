/**
 * The only worker of one kind is lost for good. The tasks that need that kind wait, and so do all others of the pool.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {isTroubled, runCase} from '../stand-in-deployment.js';

const lastingPrefix = '/season/';
const batchPrefix = '/redraw/';
const usualWorkers = 7;
const lastingJobs = 26;
const batchJobs = 6;
const taskMs = 800;
/** `finish_s`, in milliseconds. */
const finishMs = 14_000;
const services = [{name: 'league-north'}];

await runCase({folder: import.meta.dirname}, async deployment => {
	for (let machine = 0; machine < usualWorkers; machine++) {
		await deployment.addMachine('league-north', {labels: ['a', 'r1-1']});
	}

	const special = await deployment.addMachine('league-north', {labels: ['b', 'r1-2']});
	deployment.putConfiguration(1, [
		{
			name: 'r-season', pathPrefix: lastingPrefix, service: 'league-north', targetLatencyMs: 2500,
		},
		{
			name: 'r-redraw', pathPrefix: batchPrefix, service: 'league-north', priority: 1,
		},
	], services);
	await deployment.start();
	for (let index = 0; index < lastingJobs; index++) {
		await deployment.submit({
			prefix: lastingPrefix, id: `5c0e7a21d94b00${String(index).padStart(2, '0')}`, body: {
				spec: JSON.stringify({steps: [{ms: 0, cpu: 2000, lasts: true}]}), steps: [{
					count: 1, cpu: 2000, memMb: 1000, estimatedMs: 500, longRunning: true, requirements: 'b',
				}],
			},
		});
	}

	await sleep(2000);
	if (isTroubled) {
		deployment.cloud.removeMachine(special);
	}

	await sleep(6000);
	const jobs = Array.from({length: batchJobs}, (_, index) => ({
		prefix: batchPrefix, id: `5c0e7a21d94bff0${index}`, body: {
			spec: JSON.stringify({steps: [{ms: taskMs, cpu: 3500}]}), steps: [{
				count: 2, cpu: 3500, memMb: 5100, estimatedMs: taskMs,
			}],
		},
	}));
	for (const job of jobs) {
		await deployment.submit({...job, entry: 1});
		await sleep(200);
	}

	await sleep(finishMs);
	const breaks = [];
	for (const {prefix, id} of jobs) {
		const state = await deployment.readState({entry: 2, prefix, id});
		const runs = deployment.ledger.listRuns(id).length;
		if (state !== 'succeeded' && runs === 0) {
			breaks.push(`LOST: ${finishMs / 1000} s after the last job was accepted, job ${id} is ${state} and has never started, though the ${usualWorkers} workers of kind "a" are idle`);
		}
	}

	return breaks;
});
