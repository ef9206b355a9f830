import test from 'ava';
import {explainJob, parseLogLines} from '../src/index.js';

const id = '0123456789abcdef';

function write(second: number, message: string, fields: Record<string, unknown> = {}): string {
	return JSON.stringify({
		time: new Date(Date.UTC(2030, 0, 1, 0, 0, second)).toISOString(), level: 'info', message, entry: 'entry-1', ...fields,
	});
}

type Case = {
	readonly name: string;
	readonly lines: readonly string[];
	readonly summary: string;
	readonly messages: readonly string[];
	readonly repeats?: readonly string[];
};

const cases: readonly Case[] = [
	{
		name: 'a job without log lines', lines: [write(1, 'duty taken')], messages: [],
		summary: 'no line names it: it never reached an entry, or its lines were left out',
	},
	{
		name: 'a job refused during a store outage',
		lines: [write(9, 'store lost'), write(10, 'request not served', {
			method: 'POST', path: `/redraw/${id}`, status: 503, reason: 'configuration is outdated',
		}), write(20, 'store regained')],
		messages: ['store lost', 'request not served'],
		summary: 'refused with 503: configuration is outdated',
	},
	{
		name: 'a job whose cancellation overtook its submission',
		lines: [
			write(10, 'job cancelled before it was stored', {job: id}),
			write(11, 'submission of a cancelled job refused', {job: id}),
			write(11, 'request not served', {
				method: 'POST', path: `/redraw/${id}`, status: 503, reason: 'cancelled before',
			}),
		],
		messages: ['job cancelled before it was stored', 'submission of a cancelled job refused', 'request not served'],
		summary: 'cancelled before it was stored, and never run',
	},
	{
		name: 'a late job with unordered lines',
		lines: [
			write(15, 'job ended', {job: id, state: 'succeeded', ageMs: 5000}),
			write(10, 'job accepted', {job: id}),
			write(14, 'run ordered', {job: id, task: `${id}.0.0.0`, run: 1}),
			write(11, 'job taken up', {job: id}),
			write(11, 'job taken up', {job: 'fedcba9876543210'}),
		],
		messages: ['job accepted', 'job taken up', 'run ordered', 'job ended'],
		summary: 'ended as succeeded after 5000 ms; longest part: waited for room, 3000 ms',
	},
	{
		name: 'a repeated run, from lines with a prefix',
		lines: [
			write(10, 'job accepted', {job: id}),
			write(10, 'run ordered', {job: id, task: `${id}.0.0.0`, run: 1}),
			write(12, 'run ended', {
				job: id, task: `${id}.0.0.0`, run: 1, ending: 'failed',
			}),
			write(13, 'run ordered', {job: id, task: `${id}.0.0.0`, run: 2}),
		].map(line => `  12.5 entry-1 ${line}`),
		messages: ['job accepted', 'run ordered', 'run ended', 'run ordered'],
		repeats: [`task ${id}.0.0.0 run 2: run ended (failed)`],
		summary: 'not ended; last line "run ordered"; longest part: waited for a holder of the duty, 0 ms; 1 runs had to be repeated',
	},
	{
		name: 'a job that was refused first and then deferred',
		lines: [
			write(10, 'request not served', {
				method: 'POST', path: `/redraw/${id}`, status: 429, reason: 'no capacity in time',
			}),
			write(14, 'job accepted', {job: id}),
			write(15, 'jobs deferred', {jobs: [id, 'fedcba9876543210']}),
			write(16, 'tasks wait', {reason: 'deferred', jobs: [id]}),
			write(17, 'tasks wait', {reason: 'deferred', jobs: [id]}),
			write(18, 'jobs deferred', {jobs: ['fedcba9876543210']}),
		],
		messages: ['request not served', 'job accepted', 'jobs deferred', 'tasks wait', 'tasks wait'],
		summary: 'not ended; last line "tasks wait"; refused 1 times with 429 before; deferred 1 times; tasks waited 2000 ms: deferred',
	},
	{
		name: 'a job refused for lack of capacity',
		lines: [write(10, 'request not served', {
			method: 'POST', path: `/redraw/${id}`, status: 429, reason: 'no capacity in time: estimated end after 9000 ms, limit 6600 ms',
		})],
		messages: ['request not served'],
		summary: 'refused with 429: no capacity in time: estimated end after 9000 ms, limit 6600 ms',
	},
	{
		name: 'a job that stands after a crash',
		lines: [
			write(10, 'job accepted', {job: id}),
			write(12, 'tasks wait', {reason: 'suspect', jobs: ['fedcba9876543210', id]}),
			write(13, 'tasks wait', {reason: 'suspect', jobs: [id]}),
			write(14, 'tasks wait although the pool has room', {reason: 'suspect', jobs: [id]}),
			write(15, 'tasks wait', {reason: 'no-room', jobs: ['fedcba9876543210']}),
			write(18, 'tasks wait', {reason: 'suspect', jobs: [id]}),
			write(19, 'tasks wait', {reason: 'unconfirmed', jobs: [id]}),
		],
		messages: ['job accepted', 'tasks wait', 'tasks wait', 'tasks wait although the pool has room', 'tasks wait', 'tasks wait'],
		summary: 'not ended; last line "tasks wait"; tasks waited 3000 ms: suspect; tasks waited 1000 ms: suspect; tasks waited 1000 ms: unconfirmed',
	},
];

for (const {name, lines, summary, messages, repeats = []} of cases) {
	test(`explanation of ${name}`, t => {
		const explanation = explainJob(id, parseLogLines([...lines, 'no object', '{"cut'].join('\n')));
		t.is(explanation.summary, summary);
		t.deepEqual(explanation.timeline.map(({message}) => message), messages);
		t.deepEqual(explanation.repeats, repeats);
	});
}
