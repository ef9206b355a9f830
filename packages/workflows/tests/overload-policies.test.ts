import {type AccountName, type ServiceName} from '@tamarackwind/core';
import {noResources} from '@tamarackwind/scheduling';
import test from 'ava';
import {
	defaultOverloadSettings, OverloadPolicy, type ClientAccount, type OverloadSettings,
} from '../src/index.js';

const north = 'north' as AccountName;
const accounts: readonly ClientAccount[] = [{
	name: north, weight: 7, cap: noResources, keyHashes: [],
}];

function createPolicy(settings: Partial<OverloadSettings>, hasAccounts: boolean): OverloadPolicy {
	return OverloadPolicy.create({
		getSettings: () => ({...defaultOverloadSettings, ...settings}), getConfiguration: () => ({
			version: 1, queues: [], pools: [{name: 'north' as ServiceName, isSpare: false}], limits: {maxBodyBytes: 1}, ...(hasAccounts ? {accounts} : {}),
		}),
	});
}

// Guards against a change of behaviour in deployments that ask for nothing.
const cases: ReadonlyArray<[name: string, settings: Partial<OverloadSettings>, hasAccounts: boolean, isDeferring: boolean, isRefusing: boolean]> = [
	['neither accounts nor settings: as before', {}, false, false, false],
	['accounts: least cost and refusals', {}, true, true, true],
	['an order in the settings: no refusals', {order: 'least-cost'}, false, true, false],
	['refusals in the settings: today\'s order', {isRefusing: true}, false, false, true],
	['accounts and settings against both: as before', {order: 'deadline', isRefusing: false}, true, false, false],
	['accounts and settings against the order: refusals', {order: 'deadline'}, true, false, true],
];

for (const [name, settings, hasAccounts, isDeferring, isRefusing] of cases) {
	test(`overload with ${name}`, t => {
		const policy = createPolicy(settings, hasAccounts);
		t.is(policy.order.isDeferring, isDeferring);
		t.is(policy.isRefusing, isRefusing);
	});
}

test('nothing is refused before the first configuration', t => {
	const policy = OverloadPolicy.create({getSettings: () => defaultOverloadSettings, getConfiguration: () => undefined});
	t.false(policy.isRefusing);
	t.false(policy.order.isDeferring);
});

test('an account that the configuration lacks has the smallest weight', t => {
	const policy = createPolicy({}, true);
	t.is(policy.getWeight(north), 7);
	t.is(policy.getWeight('south' as AccountName), 1);
	t.is(createPolicy({}, false).getWeight(north), 1);
});
