/**
 * Load generator: sends GET requests from worker threads, either as fast as the connections allow or at a fixed rate.
 */
import {once} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import {
	Worker, isMainThread, parentPort, workerData,
} from 'node:worker_threads';
import {
	build, decodeFromCompressedBase64, encodeIntoCompressedBase64, initWebAssemblySync, type Histogram,
} from 'hdr-histogram-js';
import {Pool} from 'undici';

export type LoadOptions = {
	readonly url: string;
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly connections: number;
	readonly durationMs: number;
	/** Requests per second over all threads; unlimited if absent. */
	readonly rate?: number;
	readonly threads: number;
};

export type LoadResult = {
	/** Latency in microseconds. */
	readonly latency: Histogram;
	readonly requests: number;
	readonly failures: number;
	readonly durationMs: number;
};

type ThreadResult = {readonly latency: string; readonly requests: number; readonly failures: number};

const maxLatencyUs = 60_000_000;

function createHistogram(): Histogram {
	return build({lowestDiscernibleValue: 1, highestTrackableValue: maxLatencyUs, numberOfSignificantValueDigits: 3});
}

/** Generates a load for its duration and returns the merged results of all threads. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
	initWebAssemblySync();
	const startedAt = performance.now();
	const results = await Promise.all(Array.from({length: options.threads}, async () => {
		const worker = new Worker(new URL(import.meta.url), {workerData: options});
		const [result] = await once(worker, 'message') as [ThreadResult];
		await worker.terminate();
		return result;
	}));
	const latency = createHistogram();
	let [requests, failures] = [0, 0];
	for (const result of results) {
		latency.add(decodeFromCompressedBase64(result.latency));
		requests += result.requests;
		failures += result.failures;
	}

	return {
		latency, requests, failures, durationMs: performance.now() - startedAt,
	};
}

async function runLoadThread({url, path, headers, connections, durationMs, rate, threads}: LoadOptions): Promise<ThreadResult> {
	const threadConnections = Math.max(1, Math.floor(connections / threads));
	const pool = new Pool(url, {connections: threadConnections, pipelining: 1});
	const latency = createHistogram();
	const counts = {requests: 0, failures: 0};
	const intervalMs = rate === undefined ? 0 : (1000 * threads * threadConnections) / rate;
	const startAt = performance.now();
	await Promise.all(Array.from({length: threadConnections}, async (_, index) => {
		let dueAt = startAt + ((intervalMs * index) / threadConnections);
		while (performance.now() - startAt < durationMs) {
			if (intervalMs > 0) {
				await delay(Math.max(0, dueAt - performance.now()));
			} else {
				dueAt = performance.now();
			}

			try {
				const response = await pool.request({method: 'GET', path, headers});
				await response.body.dump({limit: Number.MAX_SAFE_INTEGER});
				counts.failures += response.statusCode === 200 ? 0 : 1;
			} catch {
				counts.failures++;
			}

			counts.requests++;
			latency.recordValue(Math.min(maxLatencyUs, Math.max(1, (performance.now() - dueAt) * 1000)));
			dueAt += intervalMs;
		}
	}));
	await pool.destroy();
	return {latency: encodeIntoCompressedBase64(latency), ...counts};
}

if (!isMainThread && workerData !== null) {
	initWebAssemblySync();
	parentPort!.postMessage(await runLoadThread(workerData as LoadOptions));
}
