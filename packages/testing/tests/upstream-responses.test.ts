import {Agent} from 'node:http';
import test from 'ava';
import {
	Cluster, callHttp, readMetric, readText, type HttpCallResult, type RawResponseName,
} from '../src/index.js';

let cluster: Cluster;

test.before(async () => {
	cluster = await Cluster.create({
		tree: {
			deployments: {
				fixture: {
					pools: {north: {services: {echo: {maxAttempts: 1}, strict: {maxAttempts: 1, requestIdEcho: 'required'}, again: {maxAttempts: 3}}}},
				},
			},
		},
		workers: {north: 1},
		entries: 1,
	});
});

test.after.always(async () => {
	await cluster.close();
});

const body = 'redraw of round 7';

async function send(service: string, path: string, headers: Record<string, string> = {}): Promise<HttpCallResult> {
	return callHttp(`${cluster.entries[0]!.getUrl('caller')}/${service}/${path}`, {method: 'POST', headers, body});
}

type Expected = 'complete' | 'refused' | 'truncated-or-refused';

const cases: Array<{rawResponse: RawResponseName; expected: Expected; service?: string}> = [
	{rawResponse: 'short', expected: 'truncated-or-refused'},
	{rawResponse: 'short-close', expected: 'truncated-or-refused'},
	{rawResponse: 'short-reset', expected: 'truncated-or-refused'},
	{rawResponse: 'short-close-reset', expected: 'truncated-or-refused'},
	{rawResponse: 'cut', expected: 'truncated-or-refused'},
	{rawResponse: 'cut-close', expected: 'truncated-or-refused'},
	{rawResponse: 'cut-reset', expected: 'truncated-or-refused'},
	{rawResponse: 'cut-close-reset', expected: 'truncated-or-refused'},
	{rawResponse: 'until-close', expected: 'refused'},
	{rawResponse: 'both-lengths', expected: 'refused'},
	{rawResponse: 'two-lengths', expected: 'refused'},
	{rawResponse: 'no-answer', expected: 'refused'},
	{rawResponse: 'reset', expected: 'refused'},
	{rawResponse: 'half-head', expected: 'refused'},
	{rawResponse: 'crossed', expected: 'refused'},
	{rawResponse: 'unmarked', expected: 'complete'},
	{rawResponse: 'unmarked', expected: 'refused', service: 'strict'},
	{rawResponse: 'cut-at-head', expected: 'truncated-or-refused'},
	{rawResponse: 'cut-in-size', expected: 'truncated-or-refused'},
	{rawResponse: 'cut-in-chunk', expected: 'truncated-or-refused'},
	{rawResponse: 'cut-in-end', expected: 'truncated-or-refused'},
	{rawResponse: 'whole-close', expected: 'complete'},
	{rawResponse: 'whole-close-late', expected: 'complete'},
	{rawResponse: 'whole-trailers', expected: 'complete'},
];

function isRefused({status, headers}: HttpCallResult): boolean {
	return status === 502 && headers['tamarackwind-verdict'] === 'may-have-run' && headers['content-type'] === 'application/problem+json';
}

function isOwnResponse({status, isComplete, ...rest}: HttpCallResult): boolean {
	return status === 200 && isComplete && readText({status, isComplete, ...rest}) === body;
}

for (const {rawResponse, expected, service = 'echo'} of cases) {
	test.serial(`the raw response "${rawResponse}" of service "${service}" is ${expected} at the caller`, async t => {
		const response = await send(service, `raw/${rawResponse}`);
		if (expected === 'complete') {
			t.true(isOwnResponse(response), `${response.status} complete: ${response.isComplete} ${readText(response)}`);
		} else {
			t.true(isRefused(response) || (expected === 'truncated-or-refused' && !response.isComplete), `${response.status} complete: ${response.isComplete} ${readText(response)}`);
		}

		const nextResponse = await send(service, 'echo');
		t.true(isOwnResponse(nextResponse), `the next request gets its own response: ${nextResponse.status} ${readText(nextResponse)}`);
	});
}

// The connection fails after these responses, possibly with the next request already sent. That request is refused and never gets a wrong response.
for (const rawResponse of ['duplicate', 'late-duplicate', 'whole-then-close'] as const) {
	test.serial(`the raw response "${rawResponse}" is never delivered to another request`, async t => {
		for (let round = 0; round < 20; round++) {
			for (const path of [`raw/${rawResponse}`, 'echo']) {
				const response = await send('echo', path);
				t.true(isOwnResponse(response) || isRefused(response), `${path}: ${response.status} ${readText(response)}`);
			}
		}
	});
}

test.serial('only idempotent requests are retried after they may have run', async t => {
	const worker = cluster.workers[0]!;
	const countDispatches = async (): Promise<number> => readMetric(cluster.entries[0]!, 'tamarackwind_dispatches_total', {service: 'again'});
	for (const [isIdempotent, dispatches] of [[true, 3], [false, 1]] as const) {
		const before = await countDispatches();
		const runsBefore = worker.runs.length;
		t.true(isRefused(await send('again', 'raw/reset', {'tamarackwind-idempotent': String(isIdempotent)})));
		t.is(await countDispatches() - before, dispatches);
		t.true(worker.runs.length - runsBefore <= dispatches);
	}
});

test.serial('a connection that the upstream closes while the next request is sent never causes a second run', async t => {
	const agent = new Agent({keepAlive: true});
	const worker = cluster.workers[0]!;
	const url = `${cluster.entries[0]!.getUrl('caller')}/again`;
	for (let round = 0; round < 40; round++) {
		await callHttp(`${url}/raw/whole-then-close`, {method: 'POST', body, agent});
		await new Promise(resolve => {
			setTimeout(resolve, round % 9);
		});
		const attemptTag = `race-${round}`;
		const response = await callHttp(`${url}/echo`, {
			method: 'POST', body, agent, headers: {'x-attempt-tag': attemptTag},
		});
		const runs = worker.runs.filter(run => run.attemptTag === attemptTag).length;
		t.true(response.status === 200 ? runs === 1 : runs <= 1);
		t.true(response.status === 200 || response.headers['tamarackwind-verdict'] === 'may-have-run' || runs === 0);
	}

	agent.destroy();
});
