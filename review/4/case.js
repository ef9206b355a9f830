/**
 * Workers crash and start again at once under the ids that they had, while jobs go on.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {listDoubleRuns} from '../stand-in-checks.js';
import {isTroubled, runCase} from '../stand-in-deployment.js';

const prefix = '/redraw/';
const taskMs = 1000;
const tasksPerJob = 2;
const jobIntervalMs = 20;
const workerCount = 8;
const playMs = 40_000;
/** Time between two crashes, and from a crash until the worker is back, in milliseconds. */
const crashIntervalMs = 2000;
const downMs = 60;
const services = [{name: 'league-north'}];

await runCase({folder: import.meta.dirname}, async deployment => {
	const machines = [];
	for (let machine = 0; machine < workerCount; machine++) {
		machines.push(await deployment.addMachine('league-north'));
	}

	deployment.putConfiguration(1, [{name: 'r-redraw', pathPrefix: prefix, service: 'league-north'}], services);
	await deployment.start();
	const endAt = deployment.record.nowMs + playMs;
	let nextCrashAt = deployment.record.nowMs + crashIntervalMs;
	for (let index = 0; deployment.record.nowMs < endAt; index++) {
		deployment.submit({
			entry: index, prefix, id: `5c0e7a21d94b${String(index).padStart(4, '0')}`, body: {
				spec: JSON.stringify({steps: [{ms: taskMs, cpu: 250}]}), steps: [{
					count: tasksPerJob, cpu: 250, memMb: 500, estimatedMs: taskMs,
				}],
			},
		}).catch(error => {
			deployment.record.add(String(error));
		});
		if (isTroubled && deployment.record.nowMs >= nextCrashAt) {
			nextCrashAt += crashIntervalMs;
			const latest = deployment.ledger.runs.at(-1).worker;
			deployment.cloud.restartWorker(machines.find(machine => deployment.cloud.getMachine(machine).worker.id === latest), downMs);
		}

		await sleep(jobIntervalMs);
	}

	await sleep(4000);
	return listDoubleRuns(deployment.ledger);
});
