/**
 * Explains a job from the log lines of the entries: its timeline, the time spent in each stage, and the cause of its outcome.
 */
import * as z from 'zod';
import {loggedWaitMs} from './wait-monitors.js';

const lineSchema = z.looseObject({
	time: z.iso.datetime(),
	message: z.string(),
	entry: z.string().default(''),
});

export type LogLine = z.infer<typeof lineSchema>;

/** One stage of a job between its submission and its end. */
export type Stage = {readonly name: string; readonly from: string; readonly ms: number};

/** Time for which some task of a job could run and did not, for one reason. */
export type Wait = {readonly reason: string; readonly from: string; readonly ms: number};

/** Explanation of one job, derived from log lines. */
export type Explanation = {
	readonly id: string;
	/** Lines about the job, and lines about the store and the scheduler lease during that time, ordered by time. */
	readonly timeline: readonly LogLine[];
	/** Stages of the job, in order. */
	readonly stages: readonly Stage[];
	/** Time for which tasks of the job waited, by reason. */
	readonly waits: readonly Wait[];
	/** Runs after a task's first, each with the logged reason. */
	readonly repeats: readonly string[];
	/** One-sentence summary. */
	readonly summary: string;
};

/** Messages that affect every job. */
const sharedMessages = new Set(['store lost', 'store regained', 'duty taken', 'duty lost', 'duty released', 'service loaded', 'started', 'stopping']);
/** Time before the first line of a job from which shared messages are included, in milliseconds: the duration of a takeover of the scheduler lease. */
const sharedLeadMs = 4000;
/** Messages that name jobs whose tasks wait, and the reason. */
const waitMessages = new Set(['tasks wait', 'tasks wait although the pool has room']);
/** Message that names jobs which go behind all others that can be in time. */
const deferralMessage = 'jobs deferred';
/** Message of a cancellation that found no stored job. */
const preventionMessage = 'job cancelled before it was stored';
/** Time between two lines on the same wait, in milliseconds: they are written each second. */
const maxWaitGapMs = 2500;
/** Status of a submission that was refused by the limits of its account or the capacity of its pool. */
const tooManyRequests = 429;
/** Messages that explain why a task needed another run. */
const repeatMessages = new Set(['run ended', 'run stopped', 'run not found on worker', 'start refused', 'start not answered', 'task evicted', 'task preempted', 'run in doubt', 'run lost with its worker']);

/**
 * Parses log lines; ignores text before the JSON object of a line and lines without one.
 *
 * @example
 * const lines = parseLogLines(await readFile('entry-1.log', 'utf8'));
 */
export function parseLogLines(text: string): LogLine[] {
	return text.split('\n').flatMap(line => {
		const start = line.indexOf('{');
		const result = start === -1 ? undefined : lineSchema.safeParse(parseJson(line.slice(start)));
		return result?.success ? [result.data] : [];
	});
}

/** Explains the outcome of a job; `lines` may come from any number of entries, in any order. */
export function explainJob(id: string, lines: readonly LogLine[]): Explanation {
	const sorted = lines.toSorted((a, b) => readTime(a) - readTime(b));
	const jobLines = sorted.filter(line => isAboutJob(line, id));
	const stages = listStages(jobLines);
	const waits = listWaits(jobLines);
	const repeats = listRepeats(jobLines);
	return {
		id, timeline: collectTimeline(jobLines, sorted), stages, waits, repeats, summary: formatSummary(jobLines, {stages, waits, repeats}),
	};
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		// A line of another program or a truncated line; the schema rejects `undefined`.
		return undefined;
	}
}

function readTime(line: LogLine): number {
	return Date.parse(line.time);
}

function isAboutJob(line: LogLine, id: string): boolean {
	const {job, jobs, path} = line;
	return job === id || (Array.isArray(jobs) && jobs.includes(id)) || (typeof path === 'string' && path.endsWith(`/${id}`));
}

function collectTimeline(jobLines: readonly LogLine[], sorted: readonly LogLine[]): LogLine[] {
	const first = jobLines[0];
	const last = jobLines.at(-1);
	if (first === undefined || last === undefined) {
		return [];
	}

	const [from, to] = [readTime(first) - sharedLeadMs, readTime(last)];
	return sorted
		.filter(line => jobLines.includes(line) || (sharedMessages.has(line.message) && readTime(line) >= from && readTime(line) <= to))
		.map(line => waitMessages.has(line.message) || line.message === deferralMessage ? removeJobs(line) : line);
}

/** Leaves out the ids of the other jobs that wait for the same reason or were deferred together. */
function removeJobs({jobs: _jobs, ...line}: LogLine): LogLine {
	return line;
}

function listStages(jobLines: readonly LogLine[]): Stage[] {
	const find = (message: string): LogLine | undefined => jobLines.find(line => line.message === message);
	const accepted = find('job accepted') ?? find('job accepted before');
	const milestones: Array<readonly [string, LogLine | undefined]> = [
		['waited for a holder of the duty', accepted],
		['waited for room', find('job taken up')],
		['ran', find('run ordered')],
		['', find('job ended')],
	];
	const known = milestones.filter((point): point is readonly [string, LogLine] => point[1] !== undefined);
	return known.slice(0, -1).map(([name, line], index) => ({name, from: line.time, ms: readTime(known[index + 1]![1]) - readTime(line)}));
}

/** Sums up consecutive lines on the waits of a job, each of which covers the time since the one before or, for the first, the shortest logged wait. */
function listWaits(jobLines: readonly LogLine[]): Wait[] {
	const waits: Wait[] = [];
	let last: {readonly reason: string; readonly until: number} | undefined;
	for (const line of jobLines.filter(({message}) => waitMessages.has(message))) {
		const reason = String(line.reason);
		const until = readTime(line);
		const continued = last?.reason === reason && until - last.until <= maxWaitGapMs ? waits.pop() : undefined;
		const from = continued?.from ?? new Date(until - loggedWaitMs).toISOString();
		waits.push({reason, from, ms: until - Date.parse(from)});
		last = {reason, until};
	}

	return waits;
}

function listRepeats(jobLines: readonly LogLine[]): string[] {
	const repeats: string[] = [];
	for (const [index, line] of jobLines.entries()) {
		if (line.message !== 'run ordered' || Number(line.run) <= 1) {
			continue;
		}

		const cause = jobLines.slice(0, index).findLast(other => other.task === line.task && repeatMessages.has(other.message));
		repeats.push(`task ${String(line.task)} run ${String(line.run)}: ${cause === undefined ? 'no line says why' : describeCause(cause)}`);
	}

	return repeats;
}

function describeCause(line: LogLine): string {
	const detail = line.ending ?? line.reason ?? line.error;
	return typeof detail === 'string' ? `${line.message} (${detail})` : line.message;
}

function formatSummary(jobLines: readonly LogLine[], {stages, waits, repeats}: Pick<Explanation, 'stages' | 'waits' | 'repeats'>): string {
	const refusals = jobLines.filter(line => line.message === 'request not served' && line.method === 'POST');
	const refusal = refusals.at(-1);
	const limitRefusals = refusals.filter(({status}) => status === tooManyRequests).length;
	const deferrals = jobLines.filter(({message}) => message === deferralMessage).length;
	const isAccepted = jobLines.some(line => line.message.startsWith('job accepted') || line.message === 'job taken up');
	if (jobLines.length === 0) {
		return 'no line names it: it never reached an entry, or its lines were left out';
	}

	if (!isAccepted) {
		if (jobLines.some(({message}) => message === preventionMessage)) {
			return 'cancelled before it was stored, and never run';
		}

		return refusal === undefined ? 'it was asked for, but never submitted' : `refused with ${String(refusal.status)}: ${String(refusal.reason)}`;
	}

	const end = jobLines.find(line => line.message === 'job ended');
	const longest = stages.toSorted((a, b) => b.ms - a.ms)[0];
	const state = end === undefined ? `not ended; last line "${jobLines.at(-1)!.message}"` : `ended as ${String(end.state)} after ${String(end.ageMs)} ms`;
	return [
		state,
		...(longest === undefined ? [] : [`longest part: ${longest.name}, ${longest.ms} ms`]),
		...(limitRefusals === 0 ? [] : [`refused ${limitRefusals} times with ${tooManyRequests} before`]),
		...(deferrals === 0 ? [] : [`deferred ${deferrals} times`]),
		...waits.map(({reason, ms}) => `tasks waited ${ms} ms: ${reason}`),
		...(repeats.length === 0 ? [] : [`${repeats.length} runs had to be repeated`]),
	].join('; ');
}
