import test from 'ava';
import {planEviction, type EvictedStep, type EvictionPlan} from '../src/index.js';

const cases: Array<[string, EvictedStep, EvictionPlan]> = [
	['no budget', {
		here: 3, awayHere: 0, awayElsewhere: 9, mayMiss: undefined,
	}, 'free'],
	['one task of a step that may miss one', {
		here: 1, awayHere: 0, awayElsewhere: 0, mayMiss: 1,
	}, 'free'],
	['another task of the step is away', {
		here: 1, awayHere: 0, awayElsewhere: 1, mayMiss: 1,
	}, 'blocked'],
	['two tasks of the step on the VM (AVAIL, notebook site, trouble-1)', {
		here: 2, awayHere: 0, awayElsewhere: 0, mayMiss: 1,
	}, 'one-by-one'],
	['a task that was just restarted on the VM (AVAIL, notebook site, scale-1 seed 739272328264)', {
		here: 2, awayHere: 1, awayElsewhere: 0, mayMiss: 1,
	}, 'blocked'],
	['tasks that have just started may be at work by now (emulator, seed 110)', {
		here: 1, awayHere: 1, awayElsewhere: 1, mayMiss: 1,
	}, 'blocked'],
	['a budget of none', {
		here: 1, awayHere: 0, awayElsewhere: 0, mayMiss: 0,
	}, 'blocked'],
];

for (const [name, step, plan] of cases) {
	test(`eviction: ${name}`, t => {
		t.is(planEviction(step), plan);
	});
}
