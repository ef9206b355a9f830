import test from 'ava';
import {
	defaultTightCapKinds, playAccountHistory, type AccountHistoryOptions,
} from '../src/index.js';

type Case = Omit<AccountHistoryOptions, 'write'> & {readonly title: string};

const cases: readonly Case[] = [
	{title: 'all kinds of faults', seed: 18, overload: {isRefusing: false}},
	{title: 'all kinds of faults', seed: 47},
	{
		title: 'dense faults of all kinds', seed: 10_104, jobs: 48, faultCount: 10,
	},
	{title: 'pools that open late or not at all', seed: 1, kinds: ['pool opened late', 'pool not opened', 'pool added', 'kill holder']},
	{title: 'accounts that are renamed beside changes of caps', seed: 2, kinds: ['accounts renamed', 'caps lowered', 'caps raised', 'queue moved']},
	{title: 'runs in doubt', seed: 3, kinds: ['orders lost', 'orders late', 'worker cut', 'takeover beside a cut worker', 'worker lost']},
	{
		title: 'all kinds of faults without an order for insufficient capacity', seed: 4, kinds: defaultTightCapKinds, overload: {order: 'deadline', isRefusing: false},
	},
];

// Guards against accepted work of accounts that stands although less than half of their caps runs.
for (const {title, ...options} of cases) {
	test(`history ${options.seed} of accounts with tight caps: ${title}`, async t => {
		const {violations, accepted} = await playAccountHistory(options);
		t.deepEqual(violations, []);
		t.true(accepted > 0);
	});
}
