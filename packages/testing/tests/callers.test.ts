import {createHash} from 'node:crypto';
import {connect, createServer, type AddressInfo} from 'node:net';
import {type VmRecord} from '@tamarackwind/clients';
import test from 'ava';
import {
	Cluster, callHttp, createWorkerRecord, readText, waitUntil, type HttpCallResult, type HttpCall,
} from '../src/index.js';

let cluster: Cluster;
let openCluster: Cluster;

const mebibyte = 1024 * 1024;
const token = 'token-of-the-association';

function hashToken(text: string): string {
	return `sha256:${createHash('sha256').update(text).digest('hex')}`;
}

test.before(async () => {
	cluster = await Cluster.create({
		tree: {
			deployments: {
				fixture: {
					pools: {
						north: {services: {echo: {maxDeadlineMs: 20_000, maxBodyBytes: 32 * mebibyte}, small: {maxBodyBytes: 100_000}, private: {}}},
						empty: {services: {nobody: {}}},
					},
					callers: {association: {tokenHashes: [hashToken('old'), hashToken(token)], services: ['echo', 'small', 'nobody']}, office: {tokenHashes: [hashToken('office-token')]}},
				},
			},
		},
		workers: {north: 2},
		entries: 1,
	});
	openCluster = await Cluster.create({tree: {deployments: {fixture: {pools: {north: {services: {echo: {}}}}}}}, workers: {north: 1}, entries: 1});
});

test.after.always(async () => {
	await cluster.close();
	await openCluster.close();
});

async function send(path: string, call: HttpCall = {}): Promise<HttpCallResult> {
	return callHttp(`${cluster.entries[0]!.getUrl('caller')}${path}`, {...call, headers: {authorization: `Bearer ${token}`, ...call.headers}});
}

function countRuns(): number {
	return cluster.workers.reduce((sum, worker) => sum + worker.runs.length, 0);
}

const refusals: Array<{title: string; path?: string; call: HttpCall; status: number; code: string}> = [
	{
		title: 'no service', path: '/', call: {}, status: 404, code: 'unknown_service',
	},
	{
		title: 'an unknown service', path: '/nothing/echo', call: {}, status: 404, code: 'unknown_service',
	},
	{
		title: 'no token', call: {headers: {authorization: ''}}, status: 401, code: 'unauthenticated',
	},
	{
		title: 'another authentication scheme', call: {headers: {authorization: `Basic ${token}`}}, status: 401, code: 'unauthenticated',
	},
	{
		title: 'an unknown token', call: {headers: {authorization: 'Bearer guess'}}, status: 401, code: 'unauthenticated',
	},
	{
		title: 'the path of a service that its caller may not use', path: '/private/echo', call: {}, status: 403, code: 'forbidden',
	},
	{
		title: 'an unknown class', call: {headers: {'tamarackwind-class': 'express'}}, status: 400, code: 'invalid_class',
	},
	{
		title: 'a deadline of 0', call: {headers: {'tamarackwind-deadline-ms': '0'}}, status: 400, code: 'invalid_deadline',
	},
	{
		title: 'a deadline that is not a number', call: {headers: {'tamarackwind-deadline-ms': 'soon'}}, status: 400, code: 'invalid_deadline',
	},
	{
		title: 'a deadline above the limit', call: {headers: {'tamarackwind-deadline-ms': '20001'}}, status: 400, code: 'invalid_deadline',
	},
	{
		title: 'an invalid idempotency marker', call: {headers: {'tamarackwind-idempotent': 'maybe'}}, status: 400, code: 'invalid_idempotent',
	},
	{
		title: 'an empty idempotency key', call: {headers: {'idempotency-key': ''}}, status: 400, code: 'invalid_key',
	},
	{
		title: 'an idempotency key with spaces', call: {headers: {'idempotency-key': 'a b'}}, status: 400, code: 'invalid_key',
	},
	{
		title: 'an idempotency key that is too long', call: {headers: {'idempotency-key': 'k'.repeat(256)}}, status: 400, code: 'invalid_key',
	},
	{
		title: 'attempt number 0', call: {headers: {'tamarackwind-attempt': '0'}}, status: 400, code: 'invalid_attempt',
	},
	{
		title: 'a body above the limit', path: '/small/echo', call: {method: 'POST', body: Buffer.alloc(100_001)}, status: 413, code: 'body_too_large',
	},
	{
		title: 'header fields above the limit', call: {headers: {'x-large': 'x'.repeat(20_000)}}, status: 431, code: 'headers_too_large',
	},
	{
		title: 'no worker in its pool', path: '/nobody/echo', call: {}, status: 503, code: 'no_worker',
	},
];

for (const {title, path = '/echo/echo', call, status, code} of refusals) {
	test.serial(`a request with ${title} is refused with ${status} and the verdict not-run`, async t => {
		const before = countRuns();
		const response = await send(path, call);
		t.is(response.status, status);
		t.is(response.headers['tamarackwind-verdict'], 'not-run');
		t.is(response.headers['content-type'], 'application/problem+json');
		const problem = JSON.parse(readText(response)) as Record<string, unknown>;
		t.like(problem, {status, code, verdict: 'not-run'});
		t.false(readText(response).includes(token));
		t.is(response.headers['retry-after'] !== undefined, status === 503);
		t.is(countRuns(), before);
	});
}

test.serial('a malformed request is refused with 400 and the verdict not-run', async t => {
	const socket = connect(cluster.entries[0]!.ports.caller!, '127.0.0.1');
	socket.write('NONSENSE\r\n\r\n');
	let text = '';
	for await (const chunk of socket) {
		text += String(chunk);
	}

	t.regex(text, /^HTTP\/1\.1 400 .*tamarackwind-verdict: not-run.*"malformed_request"/sv);
});

test.serial('every token of a caller is accepted, and another caller reaches its own services', async t => {
	t.is((await send('/echo/echo', {headers: {authorization: 'bearer old'}})).status, 200);
	t.is((await send('/private/echo', {headers: {authorization: 'Bearer office-token'}})).status, 200);
});

test.serial('a deployment without client accounts serves requests without a token', async t => {
	t.is((await callHttp(`${openCluster.entries[0]!.getUrl('caller')}/echo/echo`)).status, 200);
});

for (const size of [0, 1, 65_536, 65_537, 16 * mebibyte]) {
	for (const isChunked of [false, true]) {
		test.serial(`a ${isChunked ? 'chunked ' : ''}body of ${size} bytes is echoed unchanged`, async t => {
			const body = Buffer.alloc(size, 'redraw ');
			const response = await send('/echo/echo', {method: 'POST', body, isChunked});
			t.deepEqual([response.status, response.isComplete, response.body.length], [200, true, size]);
			t.true(body.equals(response.body));
		});
	}
}

test.serial('a chunked body that exceeds the limit never gets a success response', async t => {
	for (const size of [100_001, mebibyte]) {
		const response = await send('/small/echo', {method: 'POST', body: Buffer.alloc(size), isChunked: true});
		t.true(response.status === 413 || response.status === 0);
	}
});

test.serial('the request head is forwarded without hop-by-hop fields and credentials', async t => {
	const response = await send('/echo/headers?day=sat&x=%2F', {
		method: 'PUT',
		body: 'x',
		headers: {
			connection: 'keep-alive, x-hop', 'x-hop': '1', te: 'trailers', 'x-kept': 'yes', 'tamarackwind-class': 'urgent', 'tamarackwind-deadline-ms': '5000', 'tamarackwind-caller': 'forged', expect: '100-continue',
		},
	});
	const forwarded = JSON.parse(readText(response)) as {method: string; url: string; headers: Record<string, string>};
	t.like(forwarded, {method: 'PUT', url: '/headers?day=sat&x=%2F'});
	t.like(forwarded.headers, {'x-kept': 'yes', 'tamarackwind-class': 'urgent', 'tamarackwind-caller': 'association'});
	const remaining = Number(forwarded.headers['tamarackwind-deadline-ms']);
	t.true(remaining > 0 && remaining <= 5000);
	for (const name of ['x-hop', 'te', 'authorization', 'expect']) {
		t.is(forwarded.headers[name], undefined, `field ${name} is forwarded`);
	}

	t.is(response.headers['x-per-hop'], undefined);
});

test.serial('responses without a body are forwarded unchanged', async t => {
	const headResponse = await send('/echo/bytes/1000', {method: 'HEAD'});
	t.deepEqual([headResponse.status, headResponse.headers['content-length'], headResponse.body.length, headResponse.isComplete], [200, '1000', 0, true]);
	for (const status of [204, 304, 404, 500]) {
		const response = await send(`/echo/status/${status}`);
		t.deepEqual([response.status, response.body.length, response.isComplete], [status, 0, true]);
	}

	t.is((await send('/echo/early', {method: 'POST', body: 'x'})).status, 200);
});

test.serial('a streaming response that starts before the deadline may end after it', async t => {
	const response = await send('/echo/stream/12/100', {headers: {'tamarackwind-deadline-ms': '600'}});
	t.deepEqual([response.status, response.isComplete, readText(response).trim().split('\n').length], [200, true, 12]);
});

test.serial('a request without a response by its deadline gets the verdict may-have-run', async t => {
	const response = await send('/echo/sleep/5000', {method: 'POST', body: 'x', headers: {'tamarackwind-deadline-ms': '200'}});
	t.deepEqual([response.status, response.headers['tamarackwind-verdict']], [504, 'may-have-run']);
});

test.serial('a caller that reads slowly receives a large response completely', async t => {
	const socket = connect(cluster.entries[0]!.ports.caller!, '127.0.0.1');
	socket.write(`GET /echo/bytes/${8 * mebibyte} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${token}\r\nconnection: close\r\n\r\n`);
	let receivedBytes = 0;
	for await (const chunk of socket) {
		receivedBytes += (chunk as Uint8Array).length;
		await new Promise(resolve => {
			setTimeout(resolve, 1);
		});
	}

	t.true(receivedBytes > 8 * mebibyte);
});

test.serial('a worker that refuses connections is skipped, also for requests that are not idempotent', async t => {
	const unreachable = await createUnreachableWorker();
	cluster.platform.putVms([unreachable]);
	try {
		await waitUntil(async () => (await send('/echo/echo', {headers: {'x-attempt-tag': 'probe'}})).status === 200);
		for (let round = 0; round < 20; round++) {
			const response = await send('/echo/echo', {method: 'POST', body: `round ${round}`});
			t.deepEqual([response.status, readText(response)], [200, `round ${round}`]);
		}
	} finally {
		cluster.platform.removeVm(unreachable.vmId);
	}
});

/** Creates the record of a worker on a port that nothing listens on. */
async function createUnreachableWorker(): Promise<VmRecord> {
	const server = createServer();
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	await new Promise(resolve => {
		server.close(resolve);
	});
	return createWorkerRecord('north', 8, port);
}

test.serial('requests are counted by verdict and code', async t => {
	await send('/echo/echo');
	await send('/nothing/echo');
	const text = readText(await callHttp(`${cluster.entries[0]!.getUrl('metrics')}/metrics`));
	t.regex(text, /tamarackwind_requests_total\{service="echo",class="interactive",verdict="ran",code="2xx"\} [1-9]/v);
	t.regex(text, /tamarackwind_requests_total\{service="none",class="none",verdict="not-run",code="unknown_service"\} [1-9]/v);
	t.regex(text, /tamarackwind_request_duration_seconds_count\{service="echo",class="interactive"\} [1-9]/v);
	t.false(text.includes(token));
});
