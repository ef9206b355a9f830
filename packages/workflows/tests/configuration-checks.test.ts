import {type AccountName, type ServiceName} from '@tamarackwind/core';
import {noResources} from '@tamarackwind/scheduling';
import test from 'ava';
import {
	checkConfiguration, diffConfigurations, formatFinding, hashAccountKey, type ClientAccount, type Configuration, type ConfigurationFinding, type Pool, type Queue,
} from '../src/index.js';

const policy = {
	priority: 0, maxAttempts: 1, slackFactor: 1, targetLatencyMs: 0,
};

function createQueue(name: string, fields: Partial<Queue> = {}): Queue {
	return {
		name, host: 'queue.example', pathPrefix: `/${name}/`, service: 'north' as ServiceName, timeoutMs: 0, policy, isOpen: false, ...fields,
	};
}

function createPool(name: string, isSpare = false): Pool {
	return {name: name as ServiceName, isSpare};
}

function createAccount(name: string, keys: readonly string[], fields: Partial<ClientAccount> = {}): ClientAccount {
	return {
		name: name as AccountName, weight: 1, cap: noResources, keyHashes: keys.map(key => hashAccountKey(key)), ...fields,
	};
}

function createConfiguration(fields: Partial<Configuration> = {}): Configuration {
	return {
		version: 1, queues: [createQueue('redraw')], pools: [createPool('north')], limits: {maxBodyBytes: 262_144}, ...fields,
	};
}

type Summary = readonly [kind: string, path: string];

type CheckCase = {readonly name: string; readonly fields: Partial<Configuration>; readonly found: readonly Summary[]};

const a = createAccount('a', ['one']);

const checkCases: readonly CheckCase[] = [
	{name: 'no accounts', fields: {}, found: []},
	{name: 'an account with a key', fields: {accounts: [a]}, found: []},
	{name: 'a negative version', fields: {version: -1}, found: [['version', 'version']]},
	{
		name: 'queues of one host with different prefixes, and of one prefix with different hosts', fields: {queues: [createQueue('a'), createQueue('b'), createQueue('c', {pathPrefix: '/a/', host: 'other.example'})]}, found: [],
	},
	{name: 'a prefix within another', fields: {queues: [createQueue('a', {pathPrefix: '/'}), createQueue('b', {pathPrefix: '/b'})]}, found: []},
	{
		name: 'two queues behind another', fields: {queues: [createQueue('a'), createQueue('b', {pathPrefix: '/a/'}), createQueue('c', {pathPrefix: '/a/'})]}, found: [['unmatched', 'queues.1'], ['unmatched', 'queues.2']],
	},
	{name: 'an empty prefix', fields: {queues: [createQueue('a', {pathPrefix: ''})]}, found: []},
	{name: 'a prefix without a slash', fields: {queues: [createQueue('a', {pathPrefix: 'a/'})]}, found: [['unmatched', 'queues.0.pathPrefix']]},
	{name: 'a queue to no pool', fields: {queues: [createQueue('a', {service: 'south' as ServiceName})]}, found: [['unmatched', 'queues.0.service']]},
	{name: 'a deadline under the objective', fields: {queues: [createQueue('a', {timeoutMs: 599, policy: {...policy, targetLatencyMs: 600}})]}, found: [['contradiction', 'queues.0.timeoutMs']]},
	{name: 'a deadline of the objective', fields: {queues: [createQueue('a', {timeoutMs: 600, policy: {...policy, targetLatencyMs: 600}})]}, found: []},
	{name: 'no deadline', fields: {queues: [createQueue('a', {policy: {...policy, targetLatencyMs: 600}})]}, found: []},
	{name: 'attempts 0', fields: {queues: [createQueue('a', {policy: {...policy, maxAttempts: 0}})]}, found: [['contradiction', 'queues.0.policy.maxAttempts']]},
	{name: 'no accounts in the list', fields: {accounts: []}, found: [['unmatched', 'accounts']]},
	{name: 'no accounts in the list, and an open queue', fields: {accounts: [], queues: [createQueue('a', {isOpen: true})]}, found: []},
	{name: 'an account without keys', fields: {accounts: [a, createAccount('b', [])]}, found: [['unmatched', 'accounts.1.keyHashes']]},
	{name: 'an account without keys, and an open queue', fields: {accounts: [a, createAccount('b', [])], queues: [createQueue('a', {isOpen: true})]}, found: []},
	{name: 'a key of two accounts', fields: {accounts: [a, createAccount('b', ['one'])]}, found: [['unmatched', 'accounts']]},
	{name: 'weight 0', fields: {accounts: [{...a, weight: 0}]}, found: [['contradiction', 'accounts.0.weight']]},
	{name: 'a weight that is no number', fields: {accounts: [{...a, weight: Number.NaN}]}, found: [['contradiction', 'accounts.0.weight']]},
	{name: 'a cap below one core', fields: {accounts: [{...a, cap: {cpu: 999, memory: 0, gpu: 0}}]}, found: [['contradiction', 'accounts.0.cap.cpu']]},
	{name: 'a cap of one core', fields: {accounts: [{...a, cap: {cpu: 1000, memory: 1, gpu: 1}}]}, found: []},
	{name: 'body limit 0', fields: {limits: {maxBodyBytes: 0}}, found: [['contradiction', 'limits.maxBodyBytes']]},
];

// Guards against a faulty configuration that is reported as sound, and against warnings about a sound one.
for (const {name, fields, found} of checkCases) {
	test(`a check of a configuration with ${name}`, t => {
		const findings = checkConfiguration(createConfiguration(fields));
		t.deepEqual(findings.map(({kind, path}) => [kind, path.join('.')] as const), found);
	});
}

type DifferenceCase = {readonly name: string; readonly before: Partial<Configuration>; readonly after: Partial<Configuration>; readonly found: readonly Summary[]};

const capped = {...a, cap: {cpu: 8000, memory: 512, gpu: 0}};
const next = {version: 2};

const differenceCases: readonly DifferenceCase[] = [
	{
		name: 'nothing', before: {}, after: {}, found: [],
	},
	{
		name: 'the version only', before: {}, after: next, found: [],
	},
	{
		name: 'an older version', before: next, after: {}, found: [['version', 'version']],
	},
	{
		name: 'a change under the same version', before: {}, after: {accounts: []}, found: [['version', 'version'], ['added', 'accounts']],
	},
	{
		name: 'the order of lists and keys', before: {queues: [createQueue('a'), createQueue('b')], accounts: [createAccount('a', ['one', 'two', 'two']), createAccount('b', [])]}, after: {...next, queues: [createQueue('b'), createQueue('a')], accounts: [createAccount('b', []), createAccount('a', ['two', 'one'])]}, found: [],
	},
	{
		name: 'accounts for the first time', before: {}, after: {...next, accounts: [a]}, found: [['added', 'accounts'], ['added', 'accounts.a']],
	},
	{
		name: 'the end of accounts', before: {accounts: [a]}, after: next, found: [['removed', 'accounts'], ['removed', 'accounts.a']],
	},
	{
		name: 'another account', before: {accounts: [a]}, after: {...next, accounts: [createAccount('b', [])]}, found: [['removed', 'accounts.a'], ['added', 'accounts.b']],
	},
	{
		name: 'another key', before: {accounts: [a]}, after: {...next, accounts: [createAccount('a', ['two'])]}, found: [['removed', 'accounts.a.keyHashes'], ['added', 'accounts.a.keyHashes']],
	},
	{
		name: 'a lower weight', before: {accounts: [{...a, weight: 2}]}, after: {...next, accounts: [a]}, found: [['lowered', 'accounts.a.weight']],
	},
	{
		name: 'a higher weight', before: {accounts: [a]}, after: {...next, accounts: [{...a, weight: 2}]}, found: [['raised', 'accounts.a.weight']],
	},
	{
		name: 'a lower cap', before: {accounts: [capped]}, after: {...next, accounts: [{...capped, cap: {...capped.cap, cpu: 4000}}]}, found: [['lowered', 'accounts.a.cap.cpu']],
	},
	{
		name: 'a higher cap', before: {accounts: [capped]}, after: {...next, accounts: [{...capped, cap: {...capped.cap, memory: 513}}]}, found: [['raised', 'accounts.a.cap.memory']],
	},
	{
		name: 'a cap in place of none', before: {accounts: [capped]}, after: {...next, accounts: [{...capped, cap: {...capped.cap, gpu: 4}}]}, found: [['lowered', 'accounts.a.cap.gpu']],
	},
	{
		name: 'no cap any more', before: {accounts: [capped]}, after: {...next, accounts: [{...capped, cap: {...capped.cap, cpu: 0}}]}, found: [['raised', 'accounts.a.cap.cpu']],
	},
	{
		name: 'a queue in another pool', before: {}, after: {...next, queues: [createQueue('redraw', {service: 'south' as ServiceName})]}, found: [['moved', 'queues.redraw.service']],
	},
	{
		name: 'a queue at another host and path', before: {}, after: {...next, queues: [createQueue('redraw', {host: 'other.example', pathPrefix: '/'})]}, found: [['moved', 'queues.redraw.host'], ['moved', 'queues.redraw.pathPrefix']],
	},
	{
		name: 'a queue that is opened', before: {}, after: {...next, queues: [createQueue('redraw', {isOpen: true})]}, found: [['changed', 'queues.redraw.isOpen']],
	},
	{
		name: 'a queue without a flag in place of a closed one', before: {}, after: {...next, queues: [createQueue('redraw', {isOpen: undefined})]}, found: [],
	},
	{
		name: 'another policy and deadline', before: {}, after: {...next, queues: [createQueue('redraw', {timeoutMs: 5, policy: {...policy, maxAttempts: 3}})]}, found: [['changed', 'queues.redraw.timeoutMs'], ['changed', 'queues.redraw.policy.maxAttempts']],
	},
	{
		name: 'advice that is equal', before: {queues: [createQueue('a', {policy: {...policy, advice: {decideMs: 1, perWorkerMs: 1, validMs: 1}}})]}, after: {...next, queues: [createQueue('a', {policy: {...policy, advice: {decideMs: 1, perWorkerMs: 1, validMs: 1}}})]}, found: [],
	},
	{
		name: 'one of two queues of one name', before: {queues: [createQueue('a'), createQueue('a', {pathPrefix: '/b/'})]}, after: {...next, queues: [createQueue('a')]}, found: [['removed', 'queues.a']],
	},
	{
		name: 'another queue', before: {}, after: {...next, queues: [createQueue('other')]}, found: [['removed', 'queues.redraw'], ['added', 'queues.other']],
	},
	{
		name: 'other pools', before: {}, after: {...next, pools: [createPool('south')]}, found: [['removed', 'pools.north'], ['added', 'pools.south']],
	},
	{
		name: 'a spare pool', before: {}, after: {...next, pools: [createPool('north', true)]}, found: [['changed', 'pools.north.isSpare']],
	},
	{
		name: 'another limit', before: {}, after: {...next, limits: {maxBodyBytes: 1}}, found: [['changed', 'limits.maxBodyBytes']],
	},
];

function summarizeDifference(finding: ConfigurationFinding): Summary {
	return [finding.kind === 'difference' ? finding.change : finding.kind, finding.path.join('.')];
}

// Guards against a change that goes unnoticed, and against differences that have no meaning.
for (const {name, before, after, found} of differenceCases) {
	test(`differences of ${name}`, t => {
		t.deepEqual(diffConfigurations(createConfiguration(before), createConfiguration(after)).map(finding => summarizeDifference(finding)), found);
	});
}

// Guards against names that write to the operator's terminal.
test('messages escape control characters of names', t => {
	const name = 'a\u001B[2J\n\u009B2J\u202E';
	const findings = [
		...checkConfiguration(createConfiguration({accounts: [createAccount(name, [])]})),
		...diffConfigurations(createConfiguration(), createConfiguration({...next, queues: [createQueue(name)], accounts: [createAccount(name, ['one'])]})),
	];
	t.true(findings.length > 3);
	for (const finding of findings) {
		t.notRegex(formatFinding(finding), /\p{C}/v);
	}
});

test('a finding is one line with its severity and path', t => {
	t.deepEqual(diffConfigurations(createConfiguration({accounts: [a, createAccount('b c', [])]}), createConfiguration({...next, accounts: [a]})).map(finding => formatFinding(finding)), ['notice  accounts."b c": account "b c" is removed']);
});
