import {type PoolName, type ServiceName} from '@tamarackwind/core';
import {readFuzzParameters} from '@tamarackwind/core/fuzz';
import test from 'ava';
import fc from 'fast-check';
import {
	defaultPoolValues, defaultServiceValues, resolveSettings, type SettingsTree,
} from '../src/index.js';

type Values = Record<string, unknown>;

/** Reference implementation: looks up a single value from the innermost layer outwards, key by key. */
function findInLayers(layers: ReadonlyArray<Values | undefined>, keys: readonly string[]): unknown {
	for (const layer of layers.toReversed()) {
		let node: unknown = layer;
		for (const key of keys) {
			node = (node as Values | undefined)?.[key];
		}

		if (node !== undefined) {
			return node;
		}
	}

	return undefined;
}

const serviceArbitrary = fc.record({
	deadlineMs: fc.integer({min: 1, max: 9}), maxAttempts: fc.integer({min: 1, max: 3}), retryBudget: fc.constantFrom(0, 0.5, 1), claims: fc.constantFrom('required' as const, 'first-attempt-unclaimed' as const),
}, {requiredKeys: [], noNullPrototype: true});

const shareArbitrary = fc.record({weight: fc.integer({min: 1, max: 5}), floor: fc.constantFrom(0, 0.25)}, {requiredKeys: [], noNullPrototype: true});

const poolRecord = {
	slotsPerVm: fc.integer({min: 1, max: 9}),
	isSpare: fc.boolean(),
	budget: fc.record({maxUnavailable: fc.constantFrom(1, 3, '25%'), maxZones: fc.integer({min: 1, max: 4})}, {requiredKeys: [], noNullPrototype: true}),
	shares: fc.record({urgent: shareArbitrary, batch: shareArbitrary}, {requiredKeys: [], noNullPrototype: true}),
};

const poolArbitrary = fc.record(poolRecord, {requiredKeys: [], noNullPrototype: true});

const nodeArbitrary = fc.record({
	...poolRecord, service: serviceArbitrary, services: fc.dictionary(fc.constantFrom('s1', 's2'), serviceArbitrary, {maxKeys: 2, noNullPrototype: true}),
}, {requiredKeys: ['services'], noNullPrototype: true});

const treeArbitrary = fc.record({
	service: serviceArbitrary,
	pool: poolArbitrary,
	deployments: fc.record({d: fc.record({service: serviceArbitrary, pool: poolArbitrary, pools: fc.record({p: nodeArbitrary})}, {requiredKeys: ['pools'], noNullPrototype: true})}),
}, {requiredKeys: ['deployments'], noNullPrototype: true}) as fc.Arbitrary<SettingsTree>;

const poolPaths = [['slotsPerVm'], ['isSpare'], ['connectionsPerVm'], ['budget', 'maxUnavailable'], ['budget', 'maxZones'], ['budget', 'maxPerRack'], ['shares', 'urgent', 'weight'], ['shares', 'urgent', 'floor'], ['shares', 'batch', 'floor'], ['shares', 'interactive', 'weight']];
const serviceKeys = ['deadlineMs', 'maxDeadlineMs', 'maxAttempts', 'retryBudget', 'claims', 'defaultClass'] as const;

test('resolved settings match a look-up from the innermost layer outwards', t => {
	fc.assert(fc.property(treeArbitrary, tree => {
		const deployment = tree.deployments.d!;
		const node = deployment.pools.p!;
		const settings = resolveSettings(tree, 'd', 1);
		const pool = settings.pools.get('p' as PoolName)!;
		for (const keys of poolPaths) {
			t.is(findInLayers([pool], keys), findInLayers([defaultPoolValues, tree.pool, deployment.pool, node], keys));
		}

		for (const [name, values] of Object.entries(node.services)) {
			const service = settings.services.get(name as ServiceName)!;
			for (const key of serviceKeys) {
				t.is(findInLayers([service], [key]), findInLayers([defaultServiceValues, tree.service, deployment.service, node.service, values], [key]));
			}
		}
	}), readFuzzParameters(3));
});
