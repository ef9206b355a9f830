/**
 * `npm run bench -- refusals [--requests N]`: CPU time that an entry process spends on a served and on a refused request.
 */
import {readFile} from 'node:fs/promises';
import {parseArgs} from 'node:util';
import {request} from 'undici';
import {printTable} from './slot-simulations.js';
import {Cluster, type EntryProcess} from './index.js';

const concurrency = 16;
const bodyBytes = 1024;
/** Clock tick in which the kernel reports CPU time, in milliseconds. */
const tickMs = 10;

const tree = {deployments: {fixture: {pools: {north: {services: {echo: {}}}, empty: {services: {nowhere: {}}}}}}};

/** Returns the user and system CPU time of a process so far, in milliseconds. */
async function readCpuMs(pid: number): Promise<number> {
	const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	return (Number(fields[11]) + Number(fields[12])) * tickMs;
}

async function sendRequests(entry: EntryProcess, path: string, count: number): Promise<Set<number>> {
	const body = 'x'.repeat(bodyBytes);
	const codes = new Set<number>();
	const sendShare = async (): Promise<void> => {
		for (let index = 0; index < count / concurrency; index++) {
			const response = await request(`${entry.getUrl('caller')}${path}`, {method: 'POST', body});
			codes.add(response.statusCode);
			await response.body.dump();
		}
	};

	await Promise.all(Array.from({length: concurrency}, sendShare));
	return codes;
}

export async function runBench(args: readonly string[]): Promise<void> {
	const {values} = parseArgs({args: [...args], options: {requests: {type: 'string', default: '8000'}}});
	const count = Number(values.requests);
	const cluster = await Cluster.create({tree, workers: {north: 2}, entries: 1});
	const entry = cluster.entries[0]!;
	const rows: Array<Record<string, string | number>> = [];
	for (const [kind, path] of [['served', '/echo/echo'], ['refused', '/nowhere/echo']] as const) {
		await sendRequests(entry, path, count / 2);
		const before = await readCpuMs(entry.pid);
		const codes = await sendRequests(entry, path, count);
		const after = await readCpuMs(entry.pid);
		rows.push({kind, status: [...codes].join(' '), 'processor time a request': `${((after - before) * 1000 / count).toFixed(0)} µs`});
	}

	await cluster.close();
	printTable(rows);
}
