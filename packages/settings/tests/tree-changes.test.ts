import {readFuzzParameters} from '@tamarackwind/core/fuzz';
import test from 'ava';
import fc from 'fast-check';
import {
	applyChanges, diffTrees, findOverlaps, isPathCovered, type TreeChange,
} from '../src/index.js';

const base = {service: {maxAttempts: 1, deadlineMs: 5}, deployments: {a: {pools: {north: {services: {x: {}}}}}}};

const overlapCases = [
	{
		name: 'different keys', mine: {service: {maxAttempts: 2, deadlineMs: 5}}, theirs: {service: {maxAttempts: 1, deadlineMs: 6}}, paths: [],
	},
	{
		name: 'one key to different values', mine: {service: {maxAttempts: 2, deadlineMs: 5}}, theirs: {service: {maxAttempts: 3, deadlineMs: 5}}, paths: ['service.maxAttempts'],
	},
	{
		name: 'one key to the same value', mine: {service: {maxAttempts: 2, deadlineMs: 5}}, theirs: {service: {maxAttempts: 2, deadlineMs: 5}}, paths: [],
	},
	{
		name: 'a removed node and of a value below it', mine: {service: undefined}, theirs: {service: {maxAttempts: 1, deadlineMs: 6}}, paths: ['service'],
	},
];

for (const {name, mine, theirs, paths} of overlapCases) {
	test(`changes of ${name} overlap at [${paths.join(',')}]`, t => {
		const overlaps = findOverlaps(diffTrees(base, {...base, ...mine}), diffTrees(base, {...base, ...theirs}));
		t.deepEqual(overlaps.map(path => path.join('.')), paths);
	});
}

const rightCases = [
	{rights: [''], path: 'service', isAllowed: true},
	{rights: ['deployments.a'], path: 'deployments.a.pools.north', isAllowed: true},
	{rights: ['deployments.a'], path: 'deployments.ab', isAllowed: false},
	{rights: ['deployments.a.pools'], path: 'deployments.a', isAllowed: false},
	{rights: [], path: 'service', isAllowed: false},
];

for (const {rights, path, isAllowed} of rightCases) {
	test(`rights [${rights.join(',')}] ${isAllowed ? 'cover' : 'do not cover'} ${path}`, t => {
		t.is(isPathCovered(rights, path.split('.')), isAllowed);
	});
}

const treeArbitrary = fc.letrec(tie => ({
	node: fc.dictionary(fc.constantFrom('a', 'b', 'c'), fc.oneof({maxDepth: 3}, fc.integer({min: 0, max: 2}), fc.array(fc.integer({min: 0, max: 1}), {maxLength: 2}), tie('node')), {maxKeys: 3, noNullPrototype: true}),
})).node;

test('applying the diff of two trees to the first one yields the second', t => {
	fc.assert(fc.property(treeArbitrary, treeArbitrary, (before, after) => {
		t.deepEqual(applyChanges(before, diffTrees(before, after)), after);
	}), readFuzzParameters(1));
});

test('changes without overlaps yield the same tree in either order', t => {
	fc.assert(fc.property(treeArbitrary, treeArbitrary, treeArbitrary, (before, one, other) => {
		const mine: TreeChange[] = diffTrees(before, one);
		const theirs: TreeChange[] = diffTrees(before, other);
		fc.pre(findOverlaps(mine, theirs).length === 0);
		t.deepEqual(applyChanges(applyChanges(before, mine), theirs), applyChanges(applyChanges(before, theirs), mine));
	}), readFuzzParameters(2));
});
