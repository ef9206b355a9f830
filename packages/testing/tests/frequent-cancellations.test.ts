import test from 'ava';
import {JobSimulation} from '../src/index.js';

const limitMs = 60_000;

/** Delays each call of the tables, as a store does that is busy. */
function delayTables({clock, tables}: JobSimulation, delayMs: number): void {
	const getRows = tables.getRows.bind(tables);
	const scanRows = tables.scanRows.bind(tables);
	const commit = tables.commit.bind(tables);
	tables.getRows = async keys => {
		await clock.sleep(delayMs);
		return getRows(keys);
	};

	tables.scanRows = async (table, options) => {
		await clock.sleep(delayMs);
		return scanRows(table, options);
	};

	tables.commit = async transaction => {
		await clock.sleep(delayMs);
		return commit(transaction);
	};
}

/** Cancels a job of another caller, which has ended, again and again. */
async function cancelOthers({client, clock}: JobSimulation, intervalMs: number, signal: AbortSignal): Promise<void> {
	while (!signal.aborted) {
		await client.cancelJobs({jobIds: ['ended']}, 'caller-2');
		await clock.sleep(intervalMs);
	}
}

type Case = {
	readonly name: string;
	readonly delayMs: number;
	/** Time between two cancellations; none without. */
	readonly intervalMs?: number;
};

const cases: readonly Case[] = [
	{name: 'nothing is cancelled', delayMs: 20},
	{name: 'another caller cancels a job each second', delayMs: 20, intervalMs: 1000},
	{name: 'another caller cancels ten jobs a second', delayMs: 20, intervalMs: 80},
	{name: 'another caller cancels four jobs a second and the store is slow', delayMs: 60, intervalMs: 190},
];

// Guards against starts that are never committed because each turn finds that something was cancelled since it read the cancellations.
for (const {name, delayMs, intervalMs} of cases) {
	test(`a job starts while ${name}`, async t => {
		const simulation = JobSimulation.create({seed: 1, workers: 2});
		const {jobId} = await simulation.submit({kind: 'build'});
		delayTables(simulation, delayMs);
		const end = new AbortController();
		const cancels = intervalMs === undefined ? undefined : cancelOthers(simulation, intervalMs, end.signal);
		await simulation.run(limitMs);
		t.is(simulation.tasks.history.filter(({type, taskId}) => type === 'started' && taskId === jobId).length, 1);
		end.abort();
		await simulation.run(2000);
		await cancels;
	});
}
