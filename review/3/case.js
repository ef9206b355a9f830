/**
 * The control of machines stops answering for five seconds while idle machines are being switched off, and carries none of these moves out.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {isTroubled, runCase} from '../stand-in-deployment.js';

const prefix = '/redraw/';
const machineCount = 20;
/** Moves under way at the moment at which the control falls silent. */
const openMoves = 5;
const taskMs = 800;
const jobCount = 4;
/** Length of the outage, in milliseconds: the usual `for_s` of `cloud_down`. */
const outageMs = 5000;
/** `finish_s`, in milliseconds. */
const finishMs = 14_000;
const services = [{name: 'league-north'}, {name: 'reserve', spare: true}];

await runCase({folder: import.meta.dirname, poolsOff: ['reserve']}, async deployment => {
	for (let machine = 0; machine < machineCount; machine++) {
		await deployment.addMachine('league-north');
	}

	deployment.putConfiguration(1, [{name: 'r-redraw', pathPrefix: prefix, service: 'league-north'}], services);
	if (isTroubled) {
		deployment.cloud.startOutageAtMoves({moves: openMoves, ms: outageMs});
	}

	await deployment.start();
	await sleep(outageMs + 10_000);
	const jobs = Array.from({length: jobCount}, (_, index) => ({
		prefix, id: `5c0e7a21d94b36f${index}`, body: {
			spec: JSON.stringify({steps: [{ms: taskMs, cpu: 3500}]}), steps: [{
				count: 3, cpu: 3500, memMb: 5100, estimatedMs: taskMs,
			}],
		},
	}));
	for (const job of jobs) {
		await deployment.submit(job);
		await sleep(300);
	}

	await sleep(finishMs);
	const up = deployment.cloud.listMachines().filter(({pool, state}) => pool === 'league-north' && state === 'up').length;
	const breaks = [];
	for (const {id} of jobs) {
		const state = await deployment.readState({entry: 1, prefix, id});
		if (state !== 'succeeded' && deployment.ledger.listRuns(id).length === 0) {
			breaks.push(`LOST: ${finishMs / 1000} s after the last job was accepted, job ${id} is ${state} and has never started; ${up} workers of the service are up, ready and idle, and ${machineCount - up} machines are in reserve`);
		}
	}

	deployment.record.add(`${up} workers of the service are up at the end`);
	return up >= 2 ? breaks : [];
});
