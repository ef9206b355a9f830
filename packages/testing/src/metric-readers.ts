/**
 * Reads metrics of an entry as a monitoring system does.
 */
import {request} from 'undici';
import {type EntryProcess} from './processes.js';

/**
 * Sums the series of a metric whose labels include all of `labels`.
 *
 * @example
 * await readMetric(entry, 'tamarackwind_dispatches_total', {service: 'redraw'});
 */
export async function readMetric(entry: EntryProcess, name: string, labels: Readonly<Record<string, string>> = {}): Promise<number> {
	const answer = await request(`${entry.getUrl('metrics')}/metrics`);
	const wanted = Object.entries(labels).map(([label, value]) => `${label}="${value}"`);
	let sum = 0;
	for (const line of (await answer.body.text()).split('\n')) {
		const found = /^(?<series>\w+)(?:\{(?<labels>.*)\})? (?<value>\S+)$/v.exec(line)?.groups;
		if (found?.series === name && wanted.every(pair => found.labels?.includes(pair))) {
			sum += Number(found.value);
		}
	}

	return sum;
}
