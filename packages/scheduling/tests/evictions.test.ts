import test from 'ava';
import {planEviction, type EvictedStep, type EvictionPlan} from '../src/index.js';

const cases: Array<[string, EvictedStep, EvictionPlan]> = [
	['no disruption budget', {
		onVm: 3, unreadyOnVm: 0, unreadyElsewhere: 9, mayMiss: undefined,
	}, 'free'],
	['one task of a step with a budget of one', {
		onVm: 1, unreadyOnVm: 0, unreadyElsewhere: 0, mayMiss: 1,
	}, 'free'],
	['another task of the step is not ready', {
		onVm: 1, unreadyOnVm: 0, unreadyElsewhere: 1, mayMiss: 1,
	}, 'blocked'],
	['two tasks of the step on the VM (AVAIL, notebook site, trouble-1)', {
		onVm: 2, unreadyOnVm: 0, unreadyElsewhere: 0, mayMiss: 1,
	}, 'one-by-one'],
	['a task that was just restarted on the VM (AVAIL, notebook site, scale-1 seed 739272328264)', {
		onVm: 2, unreadyOnVm: 1, unreadyElsewhere: 0, mayMiss: 1,
	}, 'blocked'],
	['tasks that have just started may be ready by now (emulator, seed 110)', {
		onVm: 1, unreadyOnVm: 1, unreadyElsewhere: 1, mayMiss: 1,
	}, 'blocked'],
	['a budget of zero', {
		onVm: 1, unreadyOnVm: 0, unreadyElsewhere: 0, mayMiss: 0,
	}, 'blocked'],
];

for (const [name, step, plan] of cases) {
	test(`eviction: ${name}`, t => {
		t.is(planEviction(step), plan);
	});
}
