import {createHash, randomUUID} from 'node:crypto';
import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import test, {type ExecutionContext} from 'ava';
import {
	Cluster, callHttp, readText, waitUntil, type HttpCallResult,
} from '../src/index.js';

let cluster: Cluster;

const tokens = {association: 'a-token', other: 'o-token'} as const;

function hashToken(text: string): string {
	return `sha256:${createHash('sha256').update(text).digest('hex')}`;
}

test.before(async () => {
	const receiptKeyFile = path.join(await mkdtemp(path.join(tmpdir(), 'tamarackwind-')), 'receipt.key');
	await writeFile(receiptKeyFile, 'k'.repeat(32));
	cluster = await Cluster.create({
		tree: {
			service: {requestIdEcho: 'required'},
			deployments: {
				fixture: {
					pools: {
						north: {services: {redraw: {}, urgent: {claims: 'first-attempt-unclaimed'}}},
						empty: {services: {nobody: {}, lonely: {claims: 'first-attempt-unclaimed'}}},
					},
					callers: {association: {tokenHashes: [hashToken(tokens.association)]}, other: {tokenHashes: [hashToken(tokens.other)]}},
				},
			},
		},
		workers: {north: 2},
		entries: 3,
		entryConfig: {receiptKeyFile},
	});
});

test.after.always(async () => {
	await cluster.close();
});

test.afterEach.always(() => {
	cluster.platform.setFaults({});
});

type SendOptions = {
	readonly entry?: number;
	readonly key: string;
	readonly body?: string;
	readonly path?: string;
	readonly caller?: keyof typeof tokens;
	readonly deadlineMs?: number;
	readonly attempt?: number;
	readonly receipt?: string | undefined;
};

async function send({entry = 0, key, body = 'round 7', path = '/redraw/echo', caller = 'association', deadlineMs = 5000, attempt, receipt}: SendOptions): Promise<HttpCallResult> {
	return callHttp(`${cluster.entries[entry]!.getUrl('caller')}${path}`, {
		method: 'POST',
		body,
		headers: {
			authorization: `Bearer ${tokens[caller]}`,
			'idempotency-key': key,
			'tamarackwind-deadline-ms': String(deadlineMs),
			...(attempt === undefined ? {} : {'tamarackwind-attempt': String(attempt)}),
			...(receipt === undefined ? {} : {'tamarackwind-receipt': receipt}),
		},
	});
}

function countRuns(key: string): number {
	return cluster.workers.flatMap(worker => worker.runs).filter(run => run.requestKey === key).length;
}

function describeResponse({status, headers, body, isComplete}: HttpCallResult): unknown[] {
	const verdict = headers['tamarackwind-verdict'];
	return verdict === undefined
		? [status, readText({
			status, headers, body, isComplete,
		})]
		: [status, verdict, (JSON.parse(Buffer.from(body).toString()) as {code: string}).code];
}

async function waitForResponse(options: SendOptions): Promise<void> {
	await waitUntil(async () => describeResponse(await send(options)).includes('round 7'));
}

test.serial('a finished key replays its stored response through any entry, and only to its own caller', async t => {
	const key = randomUUID();
	t.deepEqual(describeResponse(await send({key})), [200, 'round 7']);
	for (const entry of [0, 1, 2]) {
		const repeated = await send({key, entry});
		t.deepEqual([...describeResponse(repeated), repeated.headers['tamarackwind-replayed']], [200, 'round 7', 'true']);
	}

	t.is(countRuns(key), 1);
	const otherCallerResponse = await send({key, caller: 'other', body: 'of another caller'});
	t.deepEqual([...describeResponse(otherCallerResponse), otherCallerResponse.headers['tamarackwind-replayed']], [200, 'of another caller', undefined]);
	t.is(countRuns(key), 2);
});

for (const {title, change} of [{title: 'body', change: {body: 'round 8'}}, {title: 'path', change: {path: '/redraw/echo?x=1'}}]) {
	test.serial(`a key that is reused with another ${title} is refused`, async t => {
		const key = randomUUID();
		await send({key});
		t.deepEqual(describeResponse(await send({key, entry: 1, ...change})), [422, 'not-run', 'key_reused']);
		t.is(countRuns(key), 1);
	});
}

for (const size of [200_000, 5 * 1024 * 1024]) {
	test.serial(`a key with a body and a response of ${size} bytes runs once`, async t => {
		const key = randomUUID();
		const body = 'x'.repeat(size);
		t.is((await send({key, body})).body.length, size);
		await waitUntil(async () => !describeResponse(await send({key, body, deadlineMs: 300})).includes('claim_open'));
		const repeated = await send({key, entry: 1, body});
		if (size < 4 * 1024 * 1024) {
			t.deepEqual([repeated.status, repeated.body.length, repeated.headers['tamarackwind-replayed']], [200, size, 'true']);
		} else {
			t.deepEqual(describeResponse(repeated), [409, 'may-have-run', 'answer_not_kept']);
		}

		t.deepEqual(describeResponse(await send({key, entry: 2, body: `${body.slice(1)}y`})), [422, 'not-run', 'key_reused']);
		t.is(countRuns(key), 1);
	});
}

test.serial('a key that is sent through three entries concurrently runs once, and every request gets the response', async t => {
	const key = randomUUID();
	const responses = await Promise.all(Array.from({length: 9}, async (_, index) => send({key, entry: index % 3, path: '/redraw/sleep/200'})));
	t.deepEqual(responses.map(response => describeResponse(response)), Array.from({length: 9}, () => [200, 'round 7']));
	t.is(countRuns(key), 1);
});

test.serial('a caller that disconnected gets its response when it retries', async t => {
	const key = randomUUID();
	const controller = new AbortController();
	const first = callHttp(`${cluster.entries[0]!.getUrl('caller')}/redraw/sleep/300`, {
		method: 'POST', body: 'round 7', signal: controller.signal, headers: {authorization: `Bearer ${tokens.association}`, 'idempotency-key': key},
	});
	await waitUntil(() => countRuns(key) === 1);
	controller.abort();
	t.is((await first).status, 0);
	t.deepEqual(describeResponse(await send({key, entry: 1, path: '/redraw/sleep/300'})), [200, 'round 7']);
	t.is(countRuns(key), 1);
});

test.serial('a key with the verdict not-run can be sent again', async t => {
	const key = randomUUID();
	t.deepEqual(describeResponse(await send({key, path: '/nobody/echo'})), [503, 'not-run', 'no_worker']);
	t.deepEqual(describeResponse(await send({key, path: '/nobody/echo', entry: 1})), [503, 'not-run', 'no_worker']);
});

const outages = [
	{title: 'down', faults: {tables: {isDown: true}}, expected: [503, 'not-run', 'claims_unavailable']},
	{title: 'slower than the timeout of its clients', faults: {tables: {delayMs: 5000}}, expected: [503, 'not-run', 'claims_unavailable']},
	{title: 'slow', faults: {tables: {delayMs: 200}}, expected: [200, 'round 7']},
	{title: 'losing a response', faults: {tables: {lostAnswers: 1}}, expected: [200, 'round 7']},
	{title: 'losing many responses', faults: {tables: {lostAnswers: 5}}, expected: [200, 'round 7']},
];

async function checkOutage(t: ExecutionContext, {faults, expected}: (typeof outages)[number]): Promise<void> {
	const key = randomUUID();
	cluster.platform.setFaults(faults);
	t.deepEqual(describeResponse(await send({key, deadlineMs: 1500})), expected);
	if (expected[0] === 503) {
		t.deepEqual(describeResponse(await send({
			key, deadlineMs: 300, attempt: 2, entry: 1,
		})), [409, 'may-have-run', 'claim_unknown']);
	}

	cluster.platform.setFaults({});
	await waitForResponse({key, entry: 1, deadlineMs: 300});
	t.is(countRuns(key), 1);
}

for (const outage of outages) {
	test.serial(`a request with a key, sent while the table service is ${outage.title}, gets ${String(outage.expected[0])}`, checkOutage, outage);
}

test.serial('while the table service is down, a first attempt runs if its service allows unclaimed ones, and no later attempt does', async t => {
	const key = randomUUID();
	const path = '/urgent/echo';
	cluster.platform.setFaults({tables: {isDown: true}});
	t.deepEqual(describeResponse(await send({key, path, attempt: 1})), [200, 'round 7']);
	for (const repetition of [{}, {attempt: 2}, {attempt: 2, receipt: 'v1.1.9999999999999.forged'}]) {
		t.deepEqual(describeResponse(await send({
			key, path, entry: 1, ...repetition,
		})), [409, 'may-have-run', 'claim_unknown']);
	}

	cluster.platform.setFaults({});
	await waitForResponse({
		key, path, entry: 2, attempt: 2,
	});
	t.is(countRuns(key), 1);
});

test.serial('a key without a claim runs only as a first attempt or with a receipt', async t => {
	const key = randomUUID();
	const path = '/urgent/echo';
	t.deepEqual(describeResponse(await send({key, path, attempt: 2})), [409, 'may-have-run', 'claim_unknown']);
	t.deepEqual(describeResponse(await send({key, path})), [409, 'may-have-run', 'claim_unknown']);
	t.is(countRuns(key), 0);
	t.deepEqual(describeResponse(await send({key, path, attempt: 1})), [200, 'round 7']);
});

test.serial('a receipt is valid only for the next attempt with the same caller, key and body', async t => {
	const key = randomUUID();
	const path = '/lonely/echo';
	cluster.platform.setFaults({tables: {isDown: true}});
	const first = await send({key, path, attempt: 1});
	t.deepEqual(describeResponse(first), [503, 'not-run', 'no_worker']);
	const receipt = first.headers['tamarackwind-receipt'] as string;
	t.regex(receipt, /^v1\.1\./v);
	const second = await send({
		key, path, attempt: 2, receipt, entry: 1,
	});
	t.deepEqual(describeResponse(second), [503, 'not-run', 'no_worker']);
	t.regex(second.headers['tamarackwind-receipt'] as string, /^v1\.2\./v);
	for (const change of [{attempt: 3}, {attempt: 2, caller: 'other' as const}, {attempt: 2, key: randomUUID()}, {attempt: 2, body: 'round 8'}]) {
		const refused = await send({
			key, path, receipt, entry: 2, ...change,
		});
		t.deepEqual(describeResponse(refused), [409, 'may-have-run', 'claim_unknown']);
		t.is(refused.headers['tamarackwind-receipt'], undefined);
	}
});

test.serial('a key whose entry is killed gets the verdict may-have-run and never runs again', async t => {
	const key = randomUUID();
	const killedEntry = await cluster.addEntry();
	const path = '/redraw/sleep/400';
	const first = send({key, path, entry: cluster.entries.length - 1});
	await waitUntil(() => countRuns(key) === 1);
	killedEntry.kill('SIGKILL');
	t.is((await first).status, 0);
	t.deepEqual(describeResponse(await send({key, path, deadlineMs: 800})), [409, 'may-have-run', 'claim_open']);
	t.is(countRuns(key), 1);
});

test.serial('a key whose entry is frozen gets its response once the entry resumes', async t => {
	const key = randomUUID();
	const frozenEntry = await cluster.addEntry();
	const path = '/redraw/sleep/300';
	const first = send({
		key, path, entry: cluster.entries.length - 1, deadlineMs: 20_000,
	});
	await waitUntil(() => countRuns(key) === 1);
	frozenEntry.kill('SIGSTOP');
	t.deepEqual(describeResponse(await send({key, path, deadlineMs: 1500})), [409, 'may-have-run', 'claim_open']);
	frozenEntry.kill('SIGCONT');
	t.deepEqual(describeResponse(await first), [200, 'round 7']);
	t.deepEqual(describeResponse(await send({key, path, entry: 1})), [200, 'round 7']);
	t.is(countRuns(key), 1);
});
