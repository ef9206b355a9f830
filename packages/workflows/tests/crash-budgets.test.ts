import test from 'ava';
import {listSuspects, recordCrash, type Task} from '../src/index.js';

const listedAt = 10_000;

type Case = {
	readonly name: string;
	/** Tasks on the lost worker. */
	readonly tasks: ReadonlyArray<{readonly orderedAt: number; readonly crashes?: number; readonly isConfirmed?: boolean; readonly isLongRunning?: boolean}>;
	readonly suspects: readonly number[];
	readonly givenUp: readonly number[];
};

const cases: readonly Case[] = [
	{
		name: 'a run that was just started is the suspect, not those that the worker survived', tasks: [{orderedAt: 9900}, {orderedAt: 5000}], suspects: [0], givenUp: [],
	},
	{
		name: 'a start that the worker has not confirmed may never have reached it', tasks: [{orderedAt: 9900, crashes: 1, isConfirmed: false}], suspects: [], givenUp: [],
	},
	{
		name: 'without a recent start, all batch runs are suspects', tasks: [{orderedAt: 5000}, {orderedAt: 5000, isLongRunning: true}], suspects: [0], givenUp: [],
	},
	{
		name: 'the single suspect of a second crash is given up', tasks: [{orderedAt: 9900, crashes: 1}, {orderedAt: 5000, crashes: 1}], suspects: [0], givenUp: [0],
	},
	{
		name: 'one of two suspects of a second crash is not given up', tasks: [{orderedAt: 9900, crashes: 1}, {orderedAt: 9900}], suspects: [0, 1], givenUp: [],
	},
	{
		name: 'any suspect of a third crash is given up', tasks: [{orderedAt: 9900, crashes: 2}, {orderedAt: 9900}], suspects: [0, 1], givenUp: [0],
	},
];

for (const {name, tasks, suspects, givenUp} of cases) {
	test(`crash of a worker: ${name}`, t => {
		const all = tasks.map(({orderedAt, crashes = 0, isConfirmed = true, isLongRunning = false}) => ({
			orderedAt, crashes, isConfirmed, isInFlight: true, isGivenUp: false, spec: {isLongRunning},
		} as unknown as Task));
		const found = listSuspects(all, listedAt);
		recordCrash(found);
		t.deepEqual(found.map(task => all.indexOf(task)), suspects);
		t.deepEqual(all.flatMap((task, index) => task.isGivenUp ? [index] : []), givenUp);
	});
}
