/**
 * A new version of the configuration sends a queue to another service. The usual repeat of an accepted submission arrives after it.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {listDoubleRuns} from '../stand-in-checks.js';
import {isTroubled, runCase} from '../stand-in-deployment.js';

const prefix = '/redraw/';
const taskMs = 6000;
const jobCount = 4;
/** Time after the acknowledgement of a version, in milliseconds: above `configApplyMs`. */
const applyMs = 2500;

const services = [{name: 'league-north'}, {name: 'league-south'}];

await runCase({folder: import.meta.dirname}, async deployment => {
	for (const {name} of services) {
		await deployment.addMachine(name);
		await deployment.addMachine(name);
	}

	deployment.putConfiguration(1, [{name: 'r-north', pathPrefix: prefix, service: 'league-north'}], services);
	await deployment.start();
	const jobs = Array.from({length: jobCount}, (_, index) => ({
		prefix,
		id: `5c0e7a21d94b36f${index}`,
		body: {
			spec: JSON.stringify({steps: [{ms: taskMs, cpu: 500}]}), steps: [{
				count: 3, cpu: 500, memMb: 256, estimatedMs: taskMs,
			}],
		},
	}));
	for (const job of jobs) {
		await deployment.submit(job);
	}

	await sleep(1000);
	if (isTroubled) {
		deployment.putConfiguration(2, [{name: 'r-south', pathPrefix: prefix, service: 'league-south'}], services);
	}

	await sleep(applyMs);
	// The same requests once more, at another entry, seconds after their 2xx responses.
	for (const job of jobs) {
		await deployment.submit({...job, entry: 1});
	}

	await sleep(taskMs + 4000);
	for (const job of jobs) {
		await deployment.readState(job);
	}

	return listDoubleRuns(deployment.ledger);
});
