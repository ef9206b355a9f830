import test from 'ava';
import {computeMeanAttempts, runOutage, type OutageOptions} from '../src/bench-retries.js';
import {FairStrategy} from '../src/scheduler-strategies.js';

const seed = 6;
const options: OutageOptions = {seed, durationMs: 15_000, failAtMs: 5000};

test('while a whole pool fails, attempts per request stay below 1.2 and the number of workers set aside is limited', async t => {
	const result = await runOutage(simulation => new FairStrategy(simulation, {seed}), {name: 'all', failingWorkers: 8}, options);
	t.true(computeMeanAttempts(result.outageRequests) < 1.2);
	t.true(result.maxSetAside <= 2);
	t.true(result.outageRequests.every(({refusalCode}) => refusalCode === 'retry_budget' || refusalCode === 'failed' || refusalCode === 'start_deadline'));
});

for (const failingWorkers of [1, 2]) {
	test(`${failingWorkers} failing workers are set aside within seconds`, async t => {
		const result = await runOutage(simulation => new FairStrategy(simulation, {seed}), {name: 'some', failingWorkers}, options);
		t.is(result.maxSetAside, failingWorkers);
		t.true(result.failuresAfterSettling <= 10 * failingWorkers, 'only probes fail later');
	});
}

test('recovered workers return to service', async t => {
	const result = await runOutage(simulation => new FairStrategy(simulation, {seed}), {name: 'two', failingWorkers: 2}, {...options, recoverAtMs: 8000, durationMs: 20_000});
	t.is(result.maxSetAside, 2);
	t.true(result.finalSecondStarts.every(starts => starts > 0), `each worker starts requests again: ${result.finalSecondStarts.join(' ')}`);
});

test('requests that fail on every worker set no worker aside, and all other requests are served', async t => {
	const result = await runOutage(simulation => new FairStrategy(simulation, {seed}), {name: 'poison', failingWorkers: 0, poisonFraction: 0.2}, options);
	t.is(result.maxSetAside, 0);
	t.true(result.requests.every(({caller, finishedAt}) => caller === 'poison' || finishedAt !== undefined));
});
