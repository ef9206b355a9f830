/**
 * A client hands in one job with a wide step. Its progress no longer fits into one row of the store.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {isTroubled, runCase} from '../stand-in-deployment.js';

const prefix = '/redraw/';
const taskMs = 800;
const taskCpu = 100;
/** Tasks of the wide job; without the disruption the same work comes in several jobs. */
const wideCount = 2000;
const splitJobs = 20;
const bystanders = 6;
/** `finish_s`, in milliseconds. */
const finishMs = 14_000;
const services = [{name: 'league-north'}];

function createJob(id, count) {
	return {
		prefix, id, body: {
			spec: JSON.stringify({steps: [{ms: taskMs, cpu: taskCpu}]}), steps: [{
				count, cpu: taskCpu, memMb: 8, estimatedMs: taskMs,
			}],
		},
	};
}

await runCase({folder: import.meta.dirname}, async deployment => {
	for (let machine = 0; machine < 6; machine++) {
		await deployment.addMachine('league-north');
	}

	deployment.putConfiguration(1, [{name: 'r-north', pathPrefix: prefix, service: 'league-north'}], services);
	await deployment.start();
	const wide = isTroubled
		? [createJob('5c0e7a21d94b0000', wideCount)]
		: Array.from({length: splitJobs}, (_, index) => createJob(`5c0e7a21d94b00${String(index).padStart(2, '0')}`, wideCount / splitJobs));
	for (const job of wide) {
		await deployment.submit(job);
	}

	await sleep(5000);
	const others = Array.from({length: bystanders}, (_, index) => createJob(`5c0e7a21d94bff0${index}`, 2));
	for (const job of others) {
		await deployment.submit({...job, entry: 1});
		await sleep(300);
	}

	await sleep(finishMs);
	const breaks = [];
	for (const {id} of [...wide, ...others]) {
		const state = await deployment.readState({entry: 2, prefix, id});
		const runs = deployment.ledger.listRuns(id).length;
		if (state !== 'succeeded') {
			breaks.push(`LOST: ${finishMs / 1000} s after the last job was accepted, job ${id} is ${state}; ${runs} runs of it have ever started, and the service's six workers are idle`);
		}
	}

	const running = deployment.ledger.runs.filter(({endedMs}) => endedMs === undefined).length;
	deployment.record.add(`${deployment.ledger.runs.length} runs in all, ${running} of them running at the end`);
	return running === 0 ? breaks : [];
});
