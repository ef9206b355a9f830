/**
 * Reads Prometheus metrics from an entry's metrics port.
 */
import {request} from 'undici';
import {type EntryProcess} from './entry-processes.js';

/**
 * Sums the series of a metric whose labels include all of `labels`.
 *
 * @example
 * await readMetric(entry, 'tamarackwind_dispatches_total', {service: 'redraw'});
 */
export async function readMetric(entry: EntryProcess, name: string, labels: Readonly<Record<string, string>> = {}): Promise<number> {
	const response = await request(`${entry.getUrl('metrics')}/metrics`);
	const labelPairs = Object.entries(labels).map(([label, value]) => `${label}="${value}"`);
	let sum = 0;
	for (const line of (await response.body.text()).split('\n')) {
		const match = /^(?<series>\w+)(?:\{(?<labels>.*)\})? (?<value>\S+)$/v.exec(line)?.groups;
		if (match?.series === name && labelPairs.every(pair => match.labels?.includes(pair))) {
			sum += Number(match.value);
		}
	}

	return sum;
}
