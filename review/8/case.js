/**
 * The store is down while the entries of the workers expire, and the holder is killed meanwhile. The next holder knows no worker whose entry is not back,
 * and orders the upkeep of the machines of these workers as if nothing ran on them.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {createJobId, formatJob} from '../stand-in-2-deployments.js';
import {BudgetCheck} from '../stand-in-2-checks.js';
import {hasTrouble, runCase} from '../stand-in-2-plays.js';
import {waitUntil} from '../stand-in-2-servers.js';

const tasks = 6;
const outageMs = 4500;
const killAfterMs = 1000;
const downMs = 500;
const waveAfterMs = 100;
const watchedMs = 20_000;

await runCase(import.meta.dirname, {entries: 2, services: {work: tasks}}, async deployment => {
	const {record, cloud, store} = deployment;
	const check = BudgetCheck.create(deployment);
	const id = createJobId();
	const step = {
		count: tasks, longRunning: true, antiAffinity: 1, mayMiss: 1,
	};
	check.addStep(`${id}.0.0`, step);
	await deployment.send(deployment.entries[0], 'POST', id, {body: formatJob([step])});
	if (!await waitUntil(() => check.isAtWork(`${id}.0.0`), 10_000)) {
		throw new Error('the tasks are not at work');
	}

	await sleep(3000);
	if (hasTrouble) {
		record.add('the store is down, and the entries of the workers expire');
		store.state = 'busy';
		for (const worker of deployment.workers) {
			store.removeRow('servers', worker.id);
		}

		await sleep(killAfterMs);
		await deployment.kill(deployment.holder, downMs);
		await sleep(outageMs - killAfterMs);
		store.state = 'up';
		record.add('the store is up');
	}

	await sleep(waveAfterMs);
	deployment.startWave(1, cloud.listMachines().map(({machine}) => machine), {cap: 3});
	await sleep(watchedMs);
	check.close();
	if (!cloud.orders.some(({order}) => order.startsWith('machine-upkeep'))) {
		throw new Error('no upkeep was ordered');
	}

	record.add(`status of the wave: ${JSON.stringify(store.readRow('status', 'wave/1'))}`);
	return check.violations;
});
