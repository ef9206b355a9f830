import {
	Log, ManualClock, VerdictError, type JobId, type ServiceName,
} from '@tamarackwind/core';
import {MemoryTableService, type Row, type RowKey} from '@tamarackwind/clients';
import test from 'ava';
import {
	JobSubmitter, RateLimitedLog, UncheckedPrincipal, type Job,
} from '../src/index.js';

/** Half of the connections of an entry to the store, which its leases, its watches and its transactions share. */
const maxOpenLookups = 16;
const jobsPerRound = 12;
const rounds = 20;
const roundMs = 100;

function createJob(index: number): Job {
	return {
		id: index.toString(16).padStart(16, '0') as JobId, service: 'north' as ServiceName, queue: 'redraw', payload: '', submittedAt: 0,
		policy: {
			priority: 0, maxAttempts: 3, slackFactor: 2, targetLatencyMs: 600,
		},
		steps: [{
			count: 1, resources: {cpu: 1, memory: 1, gpu: 0}, estimatedMs: 1, after: [], isCheckpointing: false, isGang: false, isSameRack: false, isSpeculative: false,
			isLongRunning: false, isFiller: false,
		}],
	};
}

function createRefusal(): VerdictError {
	return new VerdictError('store answered 503', {verdict: 'not-run', code: 'platform_unavailable'});
}

/** A store that turns transactions away, and whose reads take a time after which the client gives them up. */
class TurningAwayTables {
	readonly tables: MemoryTableService;
	maxOpenReads = 0;
	#openReads = 0;

	constructor(clock: ManualClock, readMs: number) {
		this.tables = MemoryTableService.create(clock);
		this.tables.commit = async () => {
			throw createRefusal();
		};

		this.tables.getRows = async (_keys: readonly RowKey[]): Promise<Array<Row | undefined>> => {
			this.#openReads++;
			this.maxOpenReads = Math.max(this.maxOpenReads, this.#openReads);
			await clock.sleep(readMs);
			this.#openReads--;
			throw createRefusal();
		};
	}
}

type Case = {readonly name: string; readonly readMs: number};

const cases: readonly Case[] = [
	{name: 'are turned away at once', readMs: 0},
	{name: 'time out after 1 s', readMs: 1000},
];

// Guards against lookups of refused submissions that take all connections to the store from its other calls.
for (const {name, readMs} of cases) {
	test(`refused submissions leave half of the connections to other calls while lookups ${name}`, async t => {
		const clock = ManualClock.create();
		const store = new TurningAwayTables(clock, readMs);
		const submitter = JobSubmitter.create({clock, tables: store.tables, log: RateLimitedLog.create(Log.createSilent(), clock)});
		const outcomes: Array<Promise<string>> = [];
		for (let round = 0; round < rounds; round++) {
			for (let index = 0; index < jobsPerRound; index++) {
				outcomes.push(submitter.submit(createJob((round * jobsPerRound) + index), UncheckedPrincipal.create()));
			}

			await clock.advance(roundMs);
		}

		await clock.advance(5000);
		t.deepEqual(new Set(await Promise.all(outcomes)), new Set(['refused']));
		t.true(store.maxOpenReads <= maxOpenLookups, `${store.maxOpenReads} reads at once`);
	});
}
