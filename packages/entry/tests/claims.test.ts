import test from 'ava';
import {SeededRandom, SystemClock, type EntryId} from '@tamarackwind/core';
import {MemoryObjectStore, MemoryTableService, type Faults} from '@tamarackwind/clients';
import fc from 'fast-check';
import {Registry} from 'prom-client';
import {
	ClaimCleaner, ClaimStore, RowBatcher, claimTable, hashParts, maxInlineBytes, type ClaimOutcome, type ClaimRequest, type ClaimRow,
} from '../src/index.js';

const clock = SystemClock.create();
const {signal} = new AbortController();
const claimTimeoutMs = 40;

function createStores(tables: MemoryTableService, objects: MemoryObjectStore, count: number): ClaimStore[] {
	return Array.from({length: count}, (_, index) => ClaimStore.create({
		clock,
		random: SeededRandom.create(index + 1),
		tables,
		objects,
		entryId: `entry-${index + 1}` as EntryId,
		batcher: RowBatcher.create({clock, tables, intervalMs: 1}),
	}));
}

function createRequest(key: string, body: string, options: Partial<ClaimRequest> = {}): ClaimRequest {
	const until = clock.readMonotonic() + claimTimeoutMs;
	return {
		claimKey: hashParts('caller', 'service', key),
		headHash: hashParts('POST', '/redraw'),
		bodyHash: hashParts(body),
		retentionMs: 60_000,
		attempt: undefined,
		provenAttempt: undefined,
		mayAcquire: true,
		tableDeadlineAt: until,
		claimDeadlineAt: until,
		signal: new AbortController().signal,
		...options,
	};
}

function createResponse(text: string): {status: number; headers: Record<string, string>; body: Uint8Array} {
	return {status: 200, headers: {}, body: Buffer.from(text)};
}

async function waitForWrites(stores: readonly ClaimStore[]): Promise<void> {
	while (stores.some(store => store.pendingWrites > 0)) {
		await clock.sleep(5);
	}
}

type SimulatedRequest = {readonly store: number; readonly key: number; readonly body: number; readonly end: 'answered' | 'not-run' | 'crashed'};
type RequestGroup = {readonly faults: Faults; readonly requests: readonly SimulatedRequest[]};

const requestArbitrary: fc.Arbitrary<SimulatedRequest> = fc.record({
	store: fc.nat(2), key: fc.nat(1), body: fc.nat(1), end: fc.constantFrom('answered' as const, 'answered' as const, 'not-run' as const, 'crashed' as const),
});
const faultsArbitrary: fc.Arbitrary<Faults> = fc.oneof(
	fc.constant({}),
	fc.constant({isDown: true}),
	fc.record({lostAnswers: fc.integer({min: 1, max: 4})}),
	fc.record({delayMs: fc.integer({min: 1, max: 30}), lostAnswers: fc.nat(2)}),
);
const groupArbitrary: fc.Arbitrary<RequestGroup> = fc.record({faults: faultsArbitrary, requests: fc.array(requestArbitrary, {minLength: 1, maxLength: 5})});

/** Sends groups of concurrent requests through three claim stores, and records which requests ran. */
class ClaimSimulation {
	readonly ran = new Map<string, string[]>();
	readonly wrongResponses: string[] = [];
	readonly tables = MemoryTableService.create();
	readonly objects = MemoryObjectStore.create();
	readonly stores = createStores(this.tables, this.objects, 3);
	#sendCount = 0;

	async run(groups: readonly RequestGroup[]): Promise<void> {
		for (const {faults, requests} of groups) {
			this.tables.faults.setFaults(faults);
			await Promise.all(requests.map(async request => this.#send(request)));
		}

		this.tables.faults.setFaults({});
		await waitForWrites(this.stores);
	}

	async #send({store, key, body, end}: SimulatedRequest): Promise<void> {
		const name = `key-${key}`;
		const tag = `send-${this.#sendCount++}`;
		const claims = this.stores[store]!;
		const outcome = await claims.claim(createRequest(name, `body-${body}`));
		if (outcome.status === 'unavailable' && outcome.isUncertain) {
			claims.release(outcome.claim);
		}

		if (outcome.status === 'finished') {
			await this.#checkResponse(claims, name, outcome.row);
		}

		if (outcome.status === 'claimed') {
			this.#finish(claims, name, tag, end, outcome);
		}
	}

	#finish(claims: ClaimStore, name: string, tag: string, end: SimulatedRequest['end'], {claim}: ClaimOutcome & {status: 'claimed'}): void {
		if (end === 'not-run') {
			claims.release(claim);
			return;
		}

		this.ran.set(name, [...this.ran.get(name) ?? [], tag]);
		if (end === 'answered') {
			claims.finish(claim, claim.value.bodyHash, createResponse(tag));
		}
	}

	async #checkResponse(claims: ClaimStore, name: string, row: ClaimRow): Promise<void> {
		const response = Buffer.from((await claims.readResponse(row)).body).toString();
		if (this.ran.get(name)?.[0] !== response) {
			this.wrongResponses.push(`${name} ran as ${this.ran.get(name)?.join(', ')} and was answered as ${response}`);
		}
	}
}

test('no key runs twice and each key gets its own response, with three entries and faults of the table service', async t => {
	const failures: string[] = [];
	await fc.assert(fc.asyncProperty(fc.array(groupArbitrary, {minLength: 1, maxLength: 5}), async groups => {
		const simulation = new ClaimSimulation();
		await simulation.run(groups);
		const duplicates = [...simulation.ran].flatMap(([key, tags]) => tags.length > 1 ? [`${key} ran as ${tags.join(', ')}`] : []);
		failures.push(...duplicates, ...simulation.wrongResponses);
		return failures.length === 0;
	}), {seed: 20_260_311, numRuns: 60, endOnFailure: true});
	t.deepEqual(failures, []);
});

test('a claim is recognized by its token if the reply to its write was lost', async t => {
	const tables = MemoryTableService.create();
	const [store, other] = createStores(tables, MemoryObjectStore.create(), 2) as [ClaimStore, ClaimStore];
	tables.faults.setFaults({lostAnswers: 1});
	t.is((await store.claim(createRequest('lost', 'a'))).status, 'claimed');
	t.is((await other.claim(createRequest('lost', 'a'))).status, 'open');
});

test('a response larger than the inline limit is stored in the object store', async t => {
	const tables = MemoryTableService.create();
	const [store, other] = createStores(tables, MemoryObjectStore.create(), 2) as [ClaimStore, ClaimStore];
	const outcome = await store.claim(createRequest('large', 'a'));
	t.is(outcome.status, 'claimed');
	const text = 'x'.repeat(maxInlineBytes + 1);
	store.finish((outcome as ClaimOutcome & {status: 'claimed'}).claim, hashParts('a'), createResponse(text));
	await waitForWrites([store]);
	const otherOutcome = await other.claim(createRequest('large', 'a'));
	t.is(otherOutcome.status, 'finished');
	t.is(Buffer.from((await other.readResponse((otherOutcome as ClaimOutcome & {status: 'finished'}).row)).body).toString(), text);
});

const acquisitions: Array<{title: string; row: Partial<ClaimRow>; request: Partial<ClaimRequest>; expected: ClaimOutcome['status']}> = [
	{
		title: 'an open claim is never taken over', row: {state: 'open'}, request: {}, expected: 'open',
	},
	{
		title: 'a released claim is acquired', row: {state: 'released'}, request: {}, expected: 'claimed',
	},
	{
		title: 'a released claim is not acquired by an attempt that must not start', row: {state: 'released', attempt: 1}, request: {mayAcquire: false}, expected: 'absent',
	},
	{
		title: 'an open claim of an attempt proven not to have run is acquired', row: {state: 'open', attempt: 1}, request: {attempt: 2, provenAttempt: 1}, expected: 'claimed',
	},
	{
		title: 'an open claim of an attempt after the proven one is not acquired', row: {state: 'open', attempt: 2}, request: {attempt: 2, provenAttempt: 1}, expected: 'open',
	},
	{
		title: 'an open claim of an attempt without a number is not acquired', row: {state: 'open'}, request: {attempt: 2, provenAttempt: 1}, expected: 'open',
	},
	{
		title: 'a released claim rejects a request with another body', row: {state: 'released', bodyHash: 'other'}, request: {}, expected: 'mismatched',
	},
	{
		title: 'a claim rejects a request with another path', row: {state: 'finished', headHash: 'other'}, request: {}, expected: 'mismatched',
	},
];

for (const {title, row, request, expected} of acquisitions) {
	test(title, async t => {
		const tables = MemoryTableService.create();
		const [store] = createStores(tables, MemoryObjectStore.create(), 1) as [ClaimStore];
		const claimRequest = createRequest('k', 'a', request);
		const value: ClaimRow = {
			state: 'open', token: 'of another', entryId: 'entry-9' as EntryId, headHash: claimRequest.headHash, expiresAt: 0, ...row,
		};
		await tables.commit({checks: [], writes: [{table: claimTable, key: claimRequest.claimKey, value}]});
		t.is((await store.claim(claimRequest)).status, expected);
	});
}

test('concurrent claims share transactions, and a conflict fails only its own claim', async t => {
	const tables = MemoryTableService.create();
	const stores = createStores(tables, MemoryObjectStore.create(), 1);
	await stores[0]!.claim(createRequest('key-7', 'another body'));
	const before = tables.counts.writes;
	const outcomes = await Promise.all(Array.from({length: 50}, async (_, index) => stores[0]!.claim(createRequest(`key-${index}`, 'a', {tableDeadlineAt: clock.readMonotonic() + 10_000}))));
	t.deepEqual(outcomes.flatMap(({status}, index) => status === 'claimed' ? [] : [[index, status]]), [[7, 'mismatched']]);
	t.true(tables.counts.writes - before <= 5);
});

test('the cleaner deletes expired claims only', async t => {
	const tables = MemoryTableService.create();
	const now = clock.readWall();
	const rows = Array.from({length: 250}, (_, index) => ({table: claimTable, key: `k${index}`, value: {expiresAt: index % 2 === 0 ? now - 600_000 : now}}));
	await tables.commit({checks: [], writes: rows});
	const cleaner = ClaimCleaner.create({
		clock, random: SeededRandom.create(1), tables, objects: MemoryObjectStore.create(), registry: new Registry(), intervalMs: 60_000,
	});
	t.teardown(async () => cleaner.close());
	for (let page = 0; page < 5; page++) {
		await cleaner.deletePage();
	}

	const remainingRows = await tables.listRows(claimTable);
	t.deepEqual(remainingRows.map(row => row.key).toSorted(), rows.filter((_, index) => index % 2 === 1).map(row => row.key).toSorted());
});
