import {type AccountName} from '@tamarackwind/core';
import {noResources} from '@tamarackwind/scheduling';
import test from 'ava';
import {
	AccountDirectory, AccountPrincipal, AnonymousPrincipal, hashAccountKey, UncheckedPrincipal, type ClientAccount, type Principal,
} from '../src/index.js';

function createAccount(name: string, keys: readonly string[]): ClientAccount {
	return {
		name: name as AccountName, weight: 1, cap: noResources, keyHashes: keys.map(key => hashAccountKey(key)),
	};
}

type Case = {readonly name: string; readonly accounts: Readonly<Record<string, readonly string[]>>; readonly found: Readonly<Record<string, string | undefined>>; readonly conflicts?: ReadonlyArray<readonly string[]>};

const cases: readonly Case[] = [
	{name: 'no accounts', accounts: {}, found: {one: undefined}},
	{name: 'an account without keys', accounts: {a: []}, found: {one: undefined}},
	{
		name: 'several keys of an account', accounts: {a: ['one', 'two'], b: ['three']}, found: {
			one: 'a', two: 'a', three: 'b', four: undefined,
		},
	},
	{name: 'a key twice at one account', accounts: {a: ['one', 'one']}, found: {one: 'a'}},
	{
		name: 'a key of two accounts', accounts: {a: ['one', 'two'], b: ['one', 'three']}, found: {one: undefined, two: 'a', three: 'b'}, conflicts: [['a', 'b']],
	},
	{
		name: 'a key twice at one account and once at another', accounts: {a: ['one', 'one'], b: ['one']}, found: {one: undefined}, conflicts: [['a', 'b']],
	},
	{
		name: 'several keys of the same accounts, and one of three', accounts: {a: ['one', 'two', 'three'], b: ['one', 'two', 'three'], c: ['three']}, found: {one: undefined, two: undefined, three: undefined}, conflicts: [['a', 'b'], ['a', 'b', 'c']],
	},
];

// Guards against a key that gives one account access to the jobs of another.
for (const {name, accounts, found, conflicts = []} of cases) {
	test(`accounts by key: ${name}`, t => {
		const directory = AccountDirectory.create(Object.entries(accounts).map(([account, keys]) => createAccount(account, keys)));
		for (const [key, account] of Object.entries(found)) {
			t.is(directory.findAccount(key)?.name, account as AccountName | undefined);
		}

		t.deepEqual(directory.conflicts as ReadonlyArray<readonly string[]>, conflicts);
	});
}

test('a key is hashed with SHA-256', t => {
	t.is(hashAccountKey('abc'), 'ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad');
});

const account = createAccount('a', []);

const accessCases: ReadonlyArray<readonly [name: string, principal: Principal, own: boolean, other: boolean, none: boolean]> = [
	['without accounts', UncheckedPrincipal.create(), true, true, true],
	['without a key', AnonymousPrincipal.create(), false, false, true],
	['with a key', AccountPrincipal.create(account), true, false, true],
];

for (const [name, principal, own, other, none] of accessCases) {
	test(`access to jobs ${name}`, t => {
		t.deepEqual([principal.hasAccess(account.name), principal.hasAccess('b' as AccountName), principal.hasAccess(undefined)], [own, other, none]);
	});
}
