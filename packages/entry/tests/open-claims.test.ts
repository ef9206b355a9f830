import {
	ManualClock, SeededRandom, type EntryId,
} from '@tamarackwind/core';
import {MemoryObjectStore, MemoryTableService} from '@tamarackwind/clients';
import test from 'ava';
import {ClaimStore, hashParts, type ClaimRequest} from '../src/index.js';

const deadlineMs = 3000;

const cases = [
	{title: 'remains readable', isDownFrom: undefined},
	{title: 'becomes unreadable until the deadline', isDownFrom: 1000},
];

for (const {title, isDownFrom} of cases) {
	test(`a claim held by another attempt is reported as open if its row ${title}`, async t => {
		const clock = ManualClock.create();
		const tables = MemoryTableService.create();
		const createStore = (entryId: string, seed: number): ClaimStore => ClaimStore.create({
			clock, tables, objects: MemoryObjectStore.create(), random: SeededRandom.create(seed), entryId: entryId as EntryId,
		});
		const request: ClaimRequest = {
			claimKey: hashParts('riga', 'redraw', 'key-1'),
			headHash: hashParts('POST', '/redraws'),
			bodyHash: hashParts('body'),
			retentionMs: 60_000,
			attempt: undefined,
			provenAttempt: undefined,
			mayAcquire: true,
			tableDeadlineAt: deadlineMs,
			claimDeadlineAt: deadlineMs,
			signal: new AbortController().signal,
		};
		const first = createStore('entry-1', 1).claim(request);
		await clock.advance(100);
		t.is((await first).status, 'claimed');

		const second = createStore('entry-2', 2).claim(request);
		await clock.advance(isDownFrom ?? 0);
		tables.faults.setFaults({isDown: isDownFrom !== undefined});
		await clock.advance(deadlineMs * 2);
		t.is((await second).status, 'open');
	});
}
