import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {
	Scheduler, SlotGrant, type DispatchOutcome, type SlotRequest,
} from '@tamarackwind/admission';
import {
	SeededRandom, SystemClock, VerdictError, type CallerId, type ServiceName,
} from '@tamarackwind/core';
import {ViewLease} from '@tamarackwind/peer';
import {type VmRecord} from '@tamarackwind/clients';
import {resolveSettings} from '@tamarackwind/settings';
import {Registry} from 'prom-client';
import {request} from 'undici';
import {
	ResponseWriter, RequestBody, RequestMetrics, Upstreams, forwardRequest, type CallerRequest, type ForwardOptions,
} from '../src/index.js';

const clock = SystemClock.create();
const settings = resolveSettings({deployments: {d: {pools: {north: {services: {echo: {maxAttempts: 4}}}}}}}, 'd', 1);
const service = settings.services.get('echo' as ServiceName)!;

class FakeLease extends ViewLease {
	isCurrent = true;

	override isValid(): boolean {
		return this.isCurrent;
	}
}

function createVm(port: number): VmRecord {
	return {
		vmId: `vm-${port}`, kind: 'worker', incarnation: '1', address: '127.0.0.1', port, region: 'r', zone: 'z', rack: 'k', state: 'live', cores: 1, memoryMb: 1, accelerators: 0,
	};
}

/** Grants slots on the given workers in order, then rejects with `retry_budget`. */
class FakeScheduler extends Scheduler {
	readonly outcomes: DispatchOutcome[] = [];
	readonly requests: SlotRequest[] = [];
	readonly #ports: number[];

	constructor(ports: number[]) {
		super();
		this.#ports = ports;
	}

	override async acquireSlot(slotRequest: SlotRequest): Promise<SlotGrant> {
		this.requests.push({...slotRequest, triedVms: new Set(slotRequest.triedVms)});
		const port = this.#ports.shift();
		if (port === undefined) {
			throw new VerdictError('the retry budget is spent', {verdict: 'not-run', code: 'retry_budget'});
		}

		const {outcomes} = this;
		return new class extends SlotGrant {
			override readonly vm = createVm(port!);

			override release(outcome: DispatchOutcome): void {
				outcomes.push(outcome);
			}
		}();
	}

	override suggestRetryAfter(): number {
		return 1;
	}

	override markLeaving(): void {}

	override async close(): Promise<void> {}
}

async function listen(t: ExecutionContext, handle: (incoming: IncomingMessage, response: ServerResponse) => unknown): Promise<Server> {
	const server = createServer((incoming, response) => {
		handle(incoming, response);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => {
		server.close();
		server.closeAllConnections();
	});
	return server;
}

function readPort(server: Server): number {
	return (server.address() as AddressInfo).port;
}

type Outcome = {readonly error: VerdictError | undefined; readonly status: number};

/** Forwards one request to the workers that the scheduler grants. */
async function forward(t: ExecutionContext, scheduler: Scheduler, {lease = new FakeLease(), isServing = true, isIdempotent = true, upstreams = Upstreams.create(clock), current = settings} = {}): Promise<Outcome> {
	let error: VerdictError | undefined;
	const server = await listen(t, async (incoming, response) => {
		const callerRequest: CallerRequest = {
			caller: {id: 'c' as CallerId, tokenHashes: [], weight: 1}, service, pool: settings.pools.get(service.pool)!, method: 'POST', path: '/', workClass: 'urgent', deadlineMs: 5000, isIdempotent, requestKey: undefined, attempt: undefined, receipt: undefined,
		};
		const options: ForwardOptions = {
			request: callerRequest,
			headers: {},
			body: await RequestBody.create(incoming, 1000),
			responseWriter: ResponseWriter.create({response, maxStoredBytes: 0, isClosing: () => false}),
			deadlineAt: clock.readMonotonic() + 5000,
			signal: new AbortController().signal,
			isDetached: false,
		};
		try {
			await forwardRequest({
				clock, random: SeededRandom.create(1), lease, scheduler, upstreams, metrics: RequestMetrics.create(new Registry()), countEntries: () => 1, settings: {current}, fleet: {isServing: () => isServing},
			}, options);
		} catch (error_) {
			error = error_ as VerdictError;
			response.writeHead(503).end();
		}
	});
	const {statusCode, body} = await request(`http://127.0.0.1:${readPort(server)}/`, {method: 'POST', body: 'work'});
	await body.dump();
	return {error, status: statusCode};
}

test('a request fails as not-run if the entry\'s view may be out of date', async t => {
	let bytes = 0;
	const worker = await listen(t, (_, response) => response.end('ran'));
	worker.on('connection', socket => {
		socket.on('data', chunk => {
			bytes += chunk.length;
		});
	});
	const lease = new FakeLease();
	lease.isCurrent = false;
	const scheduler = new FakeScheduler([readPort(worker)]);
	const {error} = await forward(t, scheduler, {lease});
	t.like(error, {verdict: 'not-run', code: 'view_stale'});
	t.is(bytes, 0);
	t.deepEqual(scheduler.outcomes, ['caller-gone']);
});

type LeaseCase = {
	readonly name: string;
	/** Whether the lease is valid at its first checks; it is valid from then on. */
	readonly firstChecks: readonly boolean[];
	readonly outcomes: readonly DispatchOutcome[];
};

const leaseCases: readonly LeaseCase[] = [
	{name: 'before the request got a slot', firstChecks: Array.from({length: 5}, () => false), outcomes: ['caller-gone', 'answered']},
	{name: 'between the grant of a slot and the dispatch', firstChecks: [true, false, false], outcomes: ['caller-gone', 'caller-gone', 'answered']},
];

// Guards against an entry that was paused and refuses its requests, although it can confirm its view long before their deadlines.
for (const {name, firstChecks, outcomes} of leaseCases) {
	test(`a request is served if the entry's view went out of date ${name} and is confirmed again`, async t => {
		let runs = 0;
		const worker = await listen(t, (_, response) => {
			runs++;
			response.end('ran');
		});
		const checks = [...firstChecks];
		const lease = new class extends FakeLease {
			override isValid(): boolean {
				return checks.shift() ?? true;
			}
		}();
		const scheduler = new FakeScheduler(Array.from({length: 4}, () => readPort(worker)));
		const {error, status} = await forward(t, scheduler, {lease, isIdempotent: false});
		t.is(error, undefined);
		t.deepEqual([status, runs], [200, 1]);
		t.deepEqual(scheduler.outcomes, [...outcomes]);
	});
}

test('a slot granted before its VM left the pool is not used', async t => {
	let runs = 0;
	const worker = await listen(t, (_, response) => {
		runs++;
		response.end('ran');
	});
	const scheduler = new FakeScheduler([readPort(worker)]);
	const {error} = await forward(t, scheduler, {isServing: false});
	t.is(error?.verdict, 'not-run');
	t.is(runs, 0);
	t.deepEqual(scheduler.outcomes, ['caller-gone']);
});

test('a refusal after an attempt that may have run is reported as may-have-run', async t => {
	const worker = await listen(t, incoming => incoming.socket.destroy());
	const scheduler = new FakeScheduler([readPort(worker), readPort(worker)]);
	const {error} = await forward(t, scheduler);
	t.like(error, {verdict: 'may-have-run', code: 'retry_budget'});
	t.deepEqual(scheduler.outcomes, ['failed', 'failed']);
	t.deepEqual(scheduler.requests.map(({attempts, triedVms}) => [attempts, triedVms.size]), [[0, 0], [1, 1], [2, 1]]);
});

test('a non-idempotent request is retried after a refused connection, but not after a failed one', async t => {
	const closedServer = await listen(t, () => {});
	const port = readPort(closedServer);
	await new Promise(resolve => {
		closedServer.close(resolve);
	});
	const failing = await listen(t, incoming => incoming.socket.destroy());
	const scheduler = new FakeScheduler([port, port, readPort(failing), port]);
	const {error} = await forward(t, scheduler, {isIdempotent: false});
	t.like(error, {verdict: 'may-have-run', code: 'upstream_failed'});
	t.deepEqual(scheduler.outcomes, ['unsent', 'unsent', 'failed']);
});

test('a non-idempotent request does not reuse a connection idle for too long, which the upstream might close', async t => {
	const upstreams = Upstreams.create(clock);
	t.teardown(async () => upstreams.close());
	let connections = 0;
	const worker = await listen(t, (_, response) => response.end('ran'));
	worker.on('connection', () => {
		connections++;
	});
	for (const [isIdempotent, pauseMs, expected] of [[false, 0, 1], [false, 0, 1], [true, 800, 1], [false, 800, 2]] as const) {
		await clock.sleep(pauseMs);
		const {status} = await forward(t, new FakeScheduler([readPort(worker)]), {isIdempotent, upstreams});
		t.deepEqual([status, connections], [200, expected]);
	}
});
