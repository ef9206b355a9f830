/**
 * Explains a job from the log lines of the entries: what happened to it in order, where its time went, and why it ended as it did.
 */
import {z} from 'zod';

const lineSchema = z.looseObject({
	time: z.iso.datetime(),
	message: z.string(),
	entry: z.string().default(''),
});

export type LogLine = z.infer<typeof lineSchema>;

/** Part of a job's way from its submission to its end. */
export type Stage = {readonly name: string; readonly from: string; readonly ms: number};

/** What the lines tell of one job. */
export type Explanation = {
	readonly id: string;
	/** Lines that name the job, and those on the store and the duty meanwhile, by time. */
	readonly timeline: readonly LogLine[];
	/** Stages of the job's way, in order. */
	readonly stages: readonly Stage[];
	/** Runs beyond a task's first, with the reason that the lines give. */
	readonly repeats: readonly string[];
	/** The answer in a sentence. */
	readonly summary: string;
};

/** Messages that concern every job while they hold. */
const sharedMessages = new Set(['store lost', 'store regained', 'duty taken', 'duty lost', 'duty released', 'service loaded', 'started', 'stopping']);
/** Time before the first line of a job in which shared messages still matter, in milliseconds: a takeover. */
const leadMs = 4000;
/** Messages that say why a task needed another run. */
const repeatMessages = new Set(['run ended', 'run stopped', 'run is not there', 'start refused', 'start not answered', 'task moved off', 'task preempted']);

/**
 * Parses log lines; what stands before a line's object is skipped, and so are lines that hold none.
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

/** Explains what became of a job; `lines` may come from any number of entries, in any order. */
export function explainJob(id: string, lines: readonly LogLine[]): Explanation {
	const sorted = lines.toSorted((a, b) => readTime(a) - readTime(b));
	const own = sorted.filter(line => isAbout(line, id));
	const stages = listStages(own);
	const repeats = listRepeats(own);
	return {
		id, timeline: addShared(own, sorted), stages, repeats, summary: formatSummary(own, stages, repeats),
	};
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		// A line of another program, or one that was cut off: the schema refuses it.
		return undefined;
	}
}

function readTime(line: LogLine): number {
	return Date.parse(line.time);
}

function isAbout(line: LogLine, id: string): boolean {
	const {job, jobs, path} = line;
	return job === id || (Array.isArray(jobs) && jobs.includes(id)) || (typeof path === 'string' && path.endsWith(`/${id}`));
}

function addShared(own: readonly LogLine[], sorted: readonly LogLine[]): LogLine[] {
	const first = own[0];
	const last = own.at(-1);
	if (first === undefined || last === undefined) {
		return [];
	}

	const [from, to] = [readTime(first) - leadMs, readTime(last)];
	return sorted.filter(line => own.includes(line) || (sharedMessages.has(line.message) && readTime(line) >= from && readTime(line) <= to));
}

function listStages(own: readonly LogLine[]): Stage[] {
	const find = (message: string): LogLine | undefined => own.find(line => line.message === message);
	const accepted = find('job accepted') ?? find('job accepted before');
	const points: Array<readonly [string, LogLine | undefined]> = [
		['waited for a holder of the duty', accepted],
		['waited for room', find('job taken up')],
		['ran', find('run ordered')],
		['', find('job ended')],
	];
	const known = points.filter((point): point is readonly [string, LogLine] => point[1] !== undefined);
	return known.slice(0, -1).map(([name, line], index) => ({name, from: line.time, ms: readTime(known[index + 1]![1]) - readTime(line)}));
}

function listRepeats(own: readonly LogLine[]): string[] {
	const repeats: string[] = [];
	for (const [index, line] of own.entries()) {
		if (line.message !== 'run ordered' || Number(line.run) <= 1) {
			continue;
		}

		const before = own.slice(0, index).findLast(other => other.task === line.task && repeatMessages.has(other.message));
		repeats.push(`task ${String(line.task)} run ${String(line.run)}: ${before === undefined ? 'no line says why' : describeCause(before)}`);
	}

	return repeats;
}

function describeCause(line: LogLine): string {
	const detail = line.ending ?? line.reason ?? line.error;
	return typeof detail === 'string' ? `${line.message} (${detail})` : line.message;
}

function formatSummary(own: readonly LogLine[], stages: readonly Stage[], repeats: readonly string[]): string {
	const refusal = own.findLast(line => line.message === 'request not served' && line.method === 'POST');
	const isAccepted = own.some(line => line.message.startsWith('job accepted') || line.message === 'job taken up');
	if (own.length === 0) {
		return 'no line names it: it never reached an entry, or its lines were left out';
	}

	if (!isAccepted) {
		return refusal === undefined ? 'it was asked for, but never submitted' : `refused with ${String(refusal.status)}: ${String(refusal.reason)}`;
	}

	const end = own.find(line => line.message === 'job ended');
	const longest = stages.toSorted((a, b) => b.ms - a.ms)[0];
	const state = end === undefined ? `not ended; last line "${own.at(-1)!.message}"` : `ended as ${String(end.state)} after ${String(end.ageMs)} ms`;
	return [
		state,
		...(longest === undefined ? [] : [`longest part: ${longest.name}, ${longest.ms} ms`]),
		...(repeats.length === 0 ? [] : [`${repeats.length} runs had to be repeated`]),
	].join('; ');
}
