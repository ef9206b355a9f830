import test from 'ava';
import fc from 'fast-check';
import {type JobRow} from '@tamarackwind/jobs';
import {match} from 'ts-pattern';
import {JobSimulation, findTaskViolations} from '../src/index.js';

const minuteMs = 60_000;
const kinds = ['build', 'refit', 'refresh', 'kernel'] as const;
const finalStates = new Set(['finished', 'failed', 'cancelled', 'may-have-run']);

const stepArbitrary = fc.oneof(
	fc.record({type: fc.constant('submit' as const), kind: fc.constantFrom(...kinds), cores: fc.integer({min: 1, max: 40})}),
	fc.record({type: fc.constant('cancel' as const), pick: fc.nat(20)}),
	fc.record({type: fc.constant('freezeEntry' as const), pick: fc.nat(2), turns: fc.integer({min: 1, max: 60})}),
	fc.record({type: fc.constant('killHolder' as const)}),
	fc.record({type: fc.constant('loseTableResponses' as const), count: fc.integer({min: 1, max: 3})}),
	fc.record({type: fc.constant('loseTaskResponses' as const), vm: fc.integer({min: 1, max: 3}), count: fc.integer({min: 1, max: 3})}),
	fc.record({type: fc.constant('workerUnreachable' as const), vm: fc.integer({min: 1, max: 3}), seconds: fc.integer({min: 5, max: 90})}),
	fc.record({type: fc.constant('rebootWorker' as const), vm: fc.integer({min: 1, max: 3})}),
	fc.record({type: fc.constant('tablesDown' as const), seconds: fc.integer({min: 1, max: 60})}),
	fc.record({type: fc.constant('wait' as const), seconds: fc.integer({min: 1, max: 20})}),
);

type Step = typeof stepArbitrary extends fc.Arbitrary<infer T> ? T : never;
type CancelledJob = {readonly jobId: string; readonly epoch: number};

async function submitJob(simulation: JobSimulation, kind: JobRow['spec']['kind'], cores: number, jobs: JobRow[]): Promise<void> {
	const submitted = simulation.submit({kind, cores});
	await simulation.run(500);
	const [row] = await Promise.allSettled([submitted]);
	jobs.push(...row.status === 'fulfilled' ? [row.value] : []);
}

async function cancelJob(simulation: JobSimulation, jobId: string, cancelled: CancelledJob[]): Promise<void> {
	const cancellation = simulation.client.cancelJobs({jobIds: [jobId]}, 'caller-1');
	await simulation.clock.advance(400);
	const [outcome] = await Promise.allSettled([cancellation]);
	const row = (await simulation.tables.getRow({table: 'jobs', key: jobId}))!.value as JobRow;
	cancelled.push(...outcome.status === 'fulfilled' ? [{jobId, epoch: row.epoch}] : []);
}

/** Freezes an entry during a scheduling turn with calls in flight. */
async function freezeEntry(simulation: JobSimulation, pick: number, ms: number): Promise<void> {
	const entry = simulation.entries[pick % simulation.entries.length]!;
	void Promise.allSettled([entry.controller.runTurn()]);
	entry.gate.freeze();
	await simulation.run(ms);
	entry.gate.thaw();
}

async function runStep(simulation: JobSimulation, step: Step, jobs: JobRow[], cancelled: CancelledJob[]): Promise<void> {
	await match(step)
		.with({type: 'submit'}, async ({kind, cores}) => submitJob(simulation, kind, cores, jobs))
		.with({type: 'cancel'}, async ({pick}) => jobs.length === 0 ? undefined : cancelJob(simulation, jobs[pick % jobs.length]!.jobId, cancelled))
		.with({type: 'freezeEntry'}, async ({pick, turns}) => freezeEntry(simulation, pick, turns * 250))
		.with({type: 'killHolder'}, async () => {
			if (simulation.holder !== undefined) {
				simulation.killEntry(simulation.holder);
				simulation.addEntry();
			}
		})
		.with({type: 'loseTableResponses'}, async ({count}) => {
			simulation.tables.faults.setFaults({lostAnswers: count});
		})
		.with({type: 'loseTaskResponses'}, async ({vm, count}) => {
			simulation.tasks.setFaults(`north-${vm}`, {lostAnswers: count});
		})
		.with({type: 'workerUnreachable'}, async ({vm, seconds}) => {
			simulation.tasks.setFaults(`north-${vm}`, {isUnreachable: true});
			await simulation.run(seconds * 1000);
			simulation.tasks.setFaults(`north-${vm}`, {});
		})
		.with({type: 'rebootWorker'}, async ({vm}) => simulation.rebootWorker(`north-${vm}`))
		.with({type: 'tablesDown'}, async ({seconds}) => {
			simulation.tables.faults.setFaults({isDown: true});
			await simulation.run(seconds * 1000);
			simulation.tables.faults.setFaults({});
		})
		.with({type: 'wait'}, async ({seconds}) => simulation.run(seconds * 1000))
		.exhaustive();
	await simulation.run(250);
}

/** Lists runs that started with a later epoch than the row of their job had when its cancellation was acknowledged. */
function listLateStarts(simulation: JobSimulation, cancelled: readonly CancelledJob[]): unknown[] {
	return cancelled.flatMap(({jobId, epoch}) => simulation.tasks.history.filter(event => event.type === 'started' && event.taskId === jobId && event.epoch > epoch));
}

/** Ends all faults, waits for the jobs to end and returns every violation. */
async function findViolations(simulation: JobSimulation, jobs: readonly JobRow[], cancelled: readonly CancelledJob[]): Promise<unknown[]> {
	simulation.tables.faults.setFaults({});
	for (const {vmId} of simulation.vms) {
		simulation.tasks.setFaults(vmId, {});
	}

	await simulation.runUntil(async () => (await simulation.readJobs()).every(row => finalStates.has(row.state)), 20 * minuteMs);
	const rows = await simulation.readJobs();
	for (const {vmId} of simulation.vms) {
		await simulation.tasks.list(vmId);
	}

	const results = new Set(simulation.tasks.history.filter(event => event.state === 'finished').map(event => `results/${event.taskId}/${event.epoch}`));
	return [
		...rows.filter(row => !finalStates.has(row.state)).map(row => ['has not ended', row.spec.kind, row.state, row.reason]),
		...findTaskViolations(simulation.tasks),
		...listLateStarts(simulation, cancelled),
		...jobs.filter(job => !rows.some(row => row.jobId === job.jobId)).map(job => ['accepted but lost', job.jobId]),
		...rows.filter(row => row.state === 'finished' && !results.has(row.result ?? '')).map(row => ['result does not exist', row.result]),
	];
}

test('through sequences of faults, a job has one run at a time, a refresh starts at most once, a cancelled job starts no more runs, and every job ends', async t => {
	await t.notThrowsAsync(fc.assert(fc.asyncProperty(fc.array(stepArbitrary, {minLength: 5, maxLength: 25}), fc.integer(), async (sequence, seed) => {
		const simulation = JobSimulation.create({
			seed, workers: 3, entries: 3, readScript: () => ({runMs: 20_000, usage: {cores: 1, memoryMb: 256, accelerators: 0}}),
		});
		const jobs: JobRow[] = [];
		const cancelled: CancelledJob[] = [];
		for (const step of sequence) {
			await runStep(simulation, step, jobs, cancelled);
		}

		const violations = await findViolations(simulation, jobs, cancelled);
		if (violations.length > 0) {
			throw new Error(JSON.stringify(violations));
		}
	}), {seed: 20_261_204, numRuns: 100, includeErrorInReport: true}));
});
