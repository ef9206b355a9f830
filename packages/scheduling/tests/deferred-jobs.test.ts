import test from 'ava';
import fc from 'fast-check';
import {DeferredJobs, maxOvertakes, type DeferrableJob} from '../src/index.js';

type Job = DeferrableJob & {readonly name: string};

function createJob(submittedAt: number, fields: Partial<DeferrableJob> = {}): Job {
	return {
		name: `job-${submittedAt}`, priority: 0, submittedAt, deadline: submittedAt + 2000, ...fields,
	};
}

const first = createJob(100);
const overtaking: ReadonlyArray<[string, Job, boolean]> = [
	['that arrived later and comes behind it by deadline', createJob(200), true],
	['of lower priority', createJob(200, {priority: 1, deadline: 1000}), true],
	['that arrived before', createJob(50, {deadline: 9000}), false],
	['that arrived later and has an earlier deadline', createJob(200, {deadline: 1500}), false],
	['of higher priority', createJob(200, {priority: -1}), false],
	['that is itself', first, false],
];

for (const [name, started, isCounted] of overtaking) {
	test(`a start ${isCounted ? 'counts' : 'does not count'} as overtaking for a job ${name}`, t => {
		const deferred = DeferredJobs.create<Job>(1);
		deferred.replace(new Set([first]));
		t.deepEqual(deferred.noteStart(started), isCounted ? [first] : []);
		t.is(deferred.isDeferred(first), !isCounted);
		t.is(deferred.isKept(first), isCounted);
	});
}

test('a replacement reports the jobs that change, and none that keeps its place', t => {
	const [a, b, c] = [createJob(1), createJob(2), createJob(3)];
	const deferred = DeferredJobs.create<Job>(1);
	t.deepEqual(deferred.replace(new Set([a, b])), [a, b]);
	t.deepEqual(deferred.replace(new Set([b, c])), [a, c]);
	t.deepEqual(deferred.noteStart(createJob(4)), [b, c]);
	t.deepEqual(deferred.replace(new Set([a, b, c])), [a]);
	t.is(deferred.size, 1);
});

test('a job that has ended is forgotten', t => {
	const deferred = DeferredJobs.create<Job>(1);
	deferred.replace(new Set([first]));
	deferred.noteStart(createJob(200));
	deferred.remove(first);
	t.false(deferred.isKept(first));
});

const eventArbitrary = fc.oneof(
	fc.record({kind: fc.constant('plan' as const), indices: fc.array(fc.nat({max: 19}), {maxLength: 20})}),
	fc.record({kind: fc.constant('start' as const), index: fc.nat({max: 19})}),
);

// Guards against a job that waits without end while later ones are served.
test(`no job is overtaken more than ${maxOvertakes} times while it is deferred, whatever is planned`, t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(fc.nat({max: 50}), {minLength: 20, maxLength: 20}), fc.array(eventArbitrary, {maxLength: 200}), (times, events) => {
			const jobs = times.map((submittedAt, index) => ({...createJob(submittedAt), name: String(index)}));
			const deferred = DeferredJobs.create<Job>();
			const counts = new Map<Job, number>();
			for (const event of events) {
				if (event.kind === 'plan') {
					deferred.replace(new Set(event.indices.map(index => jobs[index]!)));
				} else {
					const started = jobs[event.index]!;
					for (const job of jobs.filter(other => deferred.isDeferred(other) && other.submittedAt < started.submittedAt)) {
						counts.set(job, (counts.get(job) ?? 0) + 1);
					}

					deferred.noteStart(started);
				}
			}

			return [...counts.values()].every(count => count <= maxOvertakes);
		}), {seed: 11, numRuns: 300});
	});
});
