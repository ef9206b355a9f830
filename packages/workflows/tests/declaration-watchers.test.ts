/**
 * Age of the configuration while the store answers, is slow, or has been away, on a manual clock.
 */
import {Log, ManualClock, VerdictError} from '@tamarackwind/core';
import {MemoryTableService} from '@tamarackwind/clients';
import test from 'ava';
import {
	computeTimings, DeclarationCodec, DeclarationWatcher, defaultBounds, RateLimitedLog, type Bounds, type Configuration, type Declaration,
} from '../src/index.js';

class TestCodec extends DeclarationCodec {
	override readonly table = 'op';
	override readonly configurationKey = 'config';

	override decode(_key: string, value: unknown): Declaration {
		return {kind: 'configuration', configuration: value as Configuration};
	}

	override encodeWaveStatus(): never {
		throw new Error('there are no waves');
	}
}

/** A watcher, and a store whose answers can be delayed, held back or replaced by failures. */
class TestWatcher {
	static async open(bounds: Bounds = defaultBounds): Promise<TestWatcher> {
		const watcher = new TestWatcher(bounds);
		await watcher.#tables.commit({checks: [], writes: [{table: 'op', key: 'config', value: {version: 1, queues: []}}]});
		await watcher.clock.advance(10);
		return watcher;
	}

	readonly clock = ManualClock.create();
	readonly watcher: DeclarationWatcher;
	/** Number of watches so far. */
	calls = 0;
	/** Time that each answer takes beyond the wait of its watch, in milliseconds. */
	answerMs = 0;
	#isDown = false;
	readonly #tables = MemoryTableService.create(this.clock);
	/** Settles once the process goes on. */
	#pause: Promise<void> | undefined;

	private constructor(bounds: Bounds) {
		const {clock} = this;
		const tables = this.#tables;

		const watch = tables.watchRows.bind(tables);
		tables.watchRows = async (table, options) => {
			this.calls++;
			this.#assertUp();
			const outcome = await watch(table, options);
			await clock.sleep(this.answerMs);
			await this.#pause;
			this.#assertUp();
			return outcome;
		};

		this.watcher = DeclarationWatcher.create({
			clock, tables, codec: new TestCodec(), log: RateLimitedLog.create(Log.createSilent(), clock), timings: computeTimings(bounds),
		});
	}

	/** Lets time pass in which no answer is read, as while the process is paused. */
	async pause(ms: number, isWatchTimedOut = false): Promise<void> {
		let end = (): void => {};
		this.#pause = new Promise<void>(resolve => {
			end = resolve;
		});
		await this.clock.advance(ms);
		this.#pause = undefined;
		this.#isDown = isWatchTimedOut;
		end();
		if (isWatchTimedOut) {
			await this.clock.advance(1);
			this.#isDown = false;
		}
	}

	/** Lets time pass in which the store turns all calls away. */
	async startOutage(ms: number): Promise<void> {
		this.#isDown = true;
		await this.clock.advance(ms);
		this.#isDown = false;
	}

	#assertUp(): void {
		if (this.#isDown) {
			throw new VerdictError('store answered 503', {verdict: 'not-run', code: 'platform_unavailable'});
		}
	}
}

const strictBounds: Bounds = {...defaultBounds, revocationMs: 1000};
const allBounds: ReadonlyArray<readonly [name: string, bounds: Bounds]> = [['usual', defaultBounds], ['strict', strictBounds]];

type Case = {
	readonly name: string;
	readonly disturb: (watcher: TestWatcher) => Promise<void>;
	/** Time after it within which the configuration is confirmed, in milliseconds. */
	readonly maxMs: number;
};

const cases: readonly Case[] = [
	{
		name: 'a pause of the process', async disturb(watcher) {
			await watcher.pause(4000);
		}, maxMs: 5,
	},
	{
		name: 'a pause of the process in which its watch timed out', async disturb(watcher) {
			await watcher.pause(4000, true);
		}, maxMs: 70,
	},
	{
		name: 'an outage of the store', async disturb(watcher) {
			await watcher.startOutage(4000);
		}, maxMs: 70,
	},
];

for (const [bound, bounds] of allBounds) {
	for (const {name, disturb, maxMs} of cases) {
		// Guards against a watch that waits for a change while the configuration is outdated: no key can be checked until it ends.
		test(`${bound} bounds: the configuration is confirmed at once after ${name}`, async t => {
			const watcher = await TestWatcher.open(bounds);
			await disturb(watcher);
			t.false(watcher.watcher.hasFreshKeys);
			await watcher.clock.advance(maxMs);
			t.true(watcher.watcher.isFresh);
			t.true(watcher.watcher.hasFreshKeys);
			watcher.watcher.close();
		});
	}
}

type RateCase = {readonly answerMs: number; readonly calls: Readonly<Record<string, number>>};

/** Largest numbers of watches in 20 s. */
const rateCases: readonly RateCase[] = [
	{answerMs: 0, calls: {usual: 29, strict: 58}},
	{answerMs: 100, calls: {usual: 27, strict: 58}},
	{answerMs: 400, calls: {usual: 27, strict: 50}},
	{answerMs: 900, calls: {usual: 23, strict: 23}},
	{answerMs: 1800, calls: {usual: 12, strict: 12}},
];

for (const [bound, bounds] of allBounds) {
	for (const {answerMs, calls} of rateCases) {
		// Guards against watches without a pause that load a slow store.
		test(`${bound} bounds: at answers of ${answerMs} ms, there are at most ${calls[bound]} watches in 20 s`, async t => {
			const watcher = await TestWatcher.open(bounds);
			watcher.answerMs = answerMs;
			const before = watcher.calls;
			await watcher.clock.advance(20_000);
			t.true(watcher.calls - before <= calls[bound]!, `${watcher.calls - before} watches`);
			t.log(watcher.calls - before);
			watcher.watcher.close();
		});
	}
}
