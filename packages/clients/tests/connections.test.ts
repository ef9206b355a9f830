import {createHook} from 'node:async_hooks';
import {createServer, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type Verdict, type VerdictError} from '@tamarackwind/core';
import test from 'ava';
import {PlatformConnection} from '../src/index.js';

/** Long enough for a starved machine to send a request and to receive its response. */
const timeoutMs = 20_000;
/** Time after which requests without a response end; a starved machine sends the first of them within it. */
const silenceTimeoutMs = 3000;
/** Timers that the library keeps for a connection, however many requests use it. */
const maxConnectionTimers = 2;
const request = {method: 'POST', path: '/orders', json: {order: 1}} as const;

/** Starts a server that handles each request with `handle`. */
async function openServer(handle: (response: ServerResponse, count: number) => void): Promise<{readonly url: string; readonly server: Server; readonly counts: {requests: number}}> {
	const counts = {requests: 0};
	const server = createServer((_, response) => {
		counts.requests++;
		handle(response, counts.requests);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, server, counts};
}

async function readVerdict(call: Promise<unknown>): Promise<Verdict | 'answered'> {
	try {
		await call;
		return 'answered';
	} catch (error) {
		return (error as VerdictError).verdict;
	}
}

type Case = {
	readonly name: string;
	readonly handle: (response: ServerResponse, count: number) => void;
	readonly timeoutMs?: number;
	/** Timeout of the second request, if it differs. */
	readonly secondTimeoutMs?: number;
	/** Verdicts of two concurrent requests over one connection. */
	readonly verdicts: ReadonlyArray<Verdict | 'answered'>;
	readonly received: number;
};

const cases: readonly Case[] = [
	{
		name: 'a request that waits for a connection behind one without a response was not sent', timeoutMs: silenceTimeoutMs, secondTimeoutMs: silenceTimeoutMs / 2, handle() {}, verdicts: ['may-have-run', 'not-run'], received: 1,
	},
	{
		name: 'a request that gets the connection when the one before it times out may have run', timeoutMs: silenceTimeoutMs, secondTimeoutMs: silenceTimeoutMs * 2, handle() {}, verdicts: ['may-have-run', 'may-have-run'], received: 2,
	},
	{
		name: 'both requests have responses', handle(response) {
			response.end('{}');
		}, verdicts: ['answered', 'answered'], received: 2,
	},
	{
		name: 'a request whose connection is reset may have run', handle(response) {
			response.destroy();
		}, verdicts: ['may-have-run', 'may-have-run'], received: 2,
	},
	{
		name: 'a request whose response is cut off may have run', handle(response, count) {
			response.writeHead(200, {'content-length': '10'});
			response.write('{');
			if (count === 1) {
				response.destroy();
			}
		}, verdicts: ['may-have-run', 'may-have-run'], received: 2,
	},
];

for (const {name, handle, verdicts, received, timeoutMs: limitMs = timeoutMs, secondTimeoutMs = limitMs} of cases) {
	test(`verdict: ${name}`, async t => {
		const {url, server, counts} = await openServer(handle);
		const connection = PlatformConnection.create({url, timeoutMs: limitMs, connectionLimit: 1});
		t.deepEqual(await Promise.all([readVerdict(connection.request(request)), readVerdict(connection.request({...request, timeoutMs: secondTimeoutMs}))]), verdicts);
		t.is(counts.requests, received);
		await connection.close();
		server.closeAllConnections();
		server.close();
	});
}

test('verdict: a request to a port without a listener was not sent', async t => {
	const {url, server} = await openServer(() => {});
	await new Promise(resolve => {
		server.close(resolve);
	});
	const connection = PlatformConnection.create({url, timeoutMs});
	t.is(await readVerdict(connection.request(request)), 'not-run');
	await connection.close();
});

test('requests that were answered leave no timers behind, each of which would wake the process once more', async t => {
	const {url, server} = await openServer(response => {
		response.end('{}');
	});
	const connection = PlatformConnection.create({url, timeoutMs: 60_000});
	await connection.request(request);
	const pendingTimers = new Set<number>();
	const hook = createHook({
		init(id, type) {
			if (type === 'Timeout') {
				pendingTimers.add(id);
			}
		},
		destroy(id) {
			pendingTimers.delete(id);
		},
	}).enable();
	const countPendingTimers = async (): Promise<number> => {
		for (let count = 0; count < 20; count++) {
			await connection.request(request);
		}

		// Destroy hooks run after the current turn of the event loop.
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		return pendingTimers.size;
	};

	const before = await countPendingTimers();
	const after = await countPendingTimers();
	hook.disable();
	t.true(after - before <= maxConnectionTimers, `${after - before} timers were left behind by 20 requests`);
	await connection.close();
	server.closeAllConnections();
	server.close();
});
