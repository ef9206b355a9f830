/**
 * The worker of one lasting task crashes twice, soon after the task's start each time. Its job is given up and the other tasks are stopped.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {isTroubled, runCase} from '../stand-ins/deployment.js';

const prefix = '/season/';
const id = '5c0e7a21d94b36f1';
const taskCount = 5;
const mayMiss = 1;
const crashes = isTroubled ? 2 : 0;
/** Time from the start of the run to the crash of its worker, and until the machine is back, in milliseconds. */
const crashAfterMs = 200;
const downMs = 2000;
/** Time after which a lasting task is at work, and after which one that is not counts as away (`noticeMs`), in milliseconds. */
const startupMs = 100;
const noticeMs = 4500;
const services = [{name: 'league-north'}];

await runCase({folder: import.meta.dirname}, async deployment => {
	const machines = [];
	for (let machine = 0; machine < 8; machine++) {
		machines.push(await deployment.addMachine('league-north'));
	}

	deployment.putConfiguration(1, [{
		name: 'r-season', pathPrefix: prefix, service: 'league-north', maxAttempts: 3, targetLatencyMs: 2500,
	}], services);
	await deployment.start();
	await deployment.submit({
		prefix, id, body: {
			spec: JSON.stringify({steps: [{ms: 0, cpu: 5200, lasts: true}]}), steps: [{
				count: taskCount, cpu: 5200, memMb: 9700, estimatedMs: 500, longRunning: true, antiAffinity: 1, mayMiss,
			}],
		},
	});
	for (let crash = 0; crash < crashes; crash++) {
		await killWorkerOf(deployment, `${id}.0.0.0`, machines);
	}

	await sleep(8000);
	const state = await deployment.readState({entry: 1, prefix, id});
	deployment.record.add(`job ${id} is shown as ${state}; its runs: ${deployment.ledger.listRuns(id).map(({task, run, how}) => `${task}#${run} ${how ?? 'running'}`).join(', ')}`);
	return listForbiddenStops(deployment.ledger);
});

/** Crashes the worker of a task's run soon after the run began. */
async function killWorkerOf(deployment, task, machines) {
	const deadline = deployment.record.nowMs + 10_000;
	while (deployment.record.nowMs < deadline) {
		const run = deployment.ledger.runs.find(other => other.task === task && other.endedMs === undefined);
		const machine = run === undefined ? undefined : machines.find(name => deployment.cloud.getMachine(name).worker.id === run.worker);
		if (machine !== undefined && deployment.record.nowMs - run.startedMs > crashAfterMs) {
			deployment.cloud.killMachine(machine, downMs);
			return;
		}

		await sleep(10);
	}
}

/** Lists the breaks of AVAIL: stops of tasks at work while `mayMiss` others of the step were ended by a stop, or not at work for `noticeMs`. */
function listForbiddenStops(ledger) {
	const runs = ledger.listRuns(id);
	const tasks = [...new Set(runs.map(({task}) => task))];
	const breaks = [];
	for (const stopped of runs.filter(({how, startedMs, endedMs}) => how === 'stopped' && endedMs - startedMs > startupMs)) {
		const away = tasks.filter(task => task !== stopped.task && isAway(runs.filter(run => run.task === task), stopped.endedMs));
		if (away.length >= mayMiss) {
			breaks.push(`AVAIL: ${stopped.task}#${stopped.run} is stopped at ${(stopped.endedMs / 1000).toFixed(3)} s; ${away.length} others of its step are away, and ${mayMiss} may be`);
		}
	}

	return breaks;
}

function isAway(runs, atMs) {
	if (runs.some(({startedMs, endedMs}) => startedMs <= atMs && (endedMs === undefined || endedMs > atMs))) {
		return false;
	}

	const last = runs.findLast(({endedMs}) => endedMs !== undefined && endedMs <= atMs);
	return last !== undefined && (last.how === 'stopped' || atMs - last.endedMs > noticeMs);
}
