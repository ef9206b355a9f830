import test from 'ava';
import {
	findCapExcess, noResources, type CapExcess, type Resources, type StepSpec,
} from '../src/index.js';

function createStep(count: number, resources: Partial<Resources>, isGang = false): StepSpec {
	return {
		count, resources: {...noResources, ...resources}, estimatedMs: 1, after: [], isCheckpointing: false, isGang, isSameRack: false, isSpeculative: false, isLongRunning: false, isFiller: false,
	};
}

type Case = {readonly name: string; readonly steps: readonly StepSpec[]; readonly cap?: Partial<Resources>; readonly excess: CapExcess | undefined};

const cases: readonly Case[] = [
	{
		name: 'no cap', steps: [createStep(1, {cpu: 1e9, memory: 1e9, gpu: 1e9})], cap: noResources, excess: undefined,
	},
	{
		name: 'a task of exactly the cap', steps: [createStep(1, {cpu: 2000})], excess: undefined,
	},
	{
		name: 'a task beyond the cap', steps: [createStep(1, {cpu: 2001})], excess: {
			step: 0, dimension: 'cpu', need: 2001, cap: 2000, isGang: false,
		},
	},
	{
		name: 'many tasks that are beyond the cap only together', steps: [createStep(1000, {cpu: 2000})], excess: undefined,
	},
	{
		name: 'a dimension without a limit', steps: [createStep(1, {cpu: 2000, memory: 1e9})], cap: {cpu: 2000, gpu: 1}, excess: undefined,
	},
	{
		name: 'a later step, in another dimension', steps: [createStep(1, {cpu: 1}), createStep(1, {memory: 4097})], excess: {
			step: 1, dimension: 'memory', need: 4097, cap: 4096, isGang: false,
		},
	},
	{
		name: 'accelerators', steps: [createStep(1, {gpu: 3})], excess: {
			step: 0, dimension: 'gpu', need: 3, cap: 2, isGang: false,
		},
	},
	{
		name: 'a gang that exceeds the cap by its last task', steps: [createStep(3, {cpu: 1000}, true)], excess: undefined,
	},
	{
		name: 'a gang that exceeds the cap by more than its last task', steps: [createStep(4, {cpu: 1000}, true)], excess: {
			step: 0, dimension: 'cpu', need: 3000, cap: 2000, isGang: true,
		},
	},
	{
		name: 'a gang of one task beyond the cap', steps: [createStep(1, {cpu: 2001}, true)], excess: {
			step: 0, dimension: 'cpu', need: 2001, cap: 2000, isGang: false,
		},
	},
	{
		name: 'a gang of two tasks, each beyond the cap', steps: [createStep(2, {cpu: 2001}, true)], excess: {
			step: 0, dimension: 'cpu', need: 2001, cap: 2000, isGang: false,
		},
	},
	{
		name: 'a task that needs nothing', steps: [createStep(1, {})], excess: undefined,
	},
];

// Guards against acceptance of a job that could never start, and against refusal of one that could.
for (const {name, steps, cap = {cpu: 2000, memory: 4096, gpu: 2}, excess} of cases) {
	test(`submission under a cap: ${name}`, t => {
		t.deepEqual(findCapExcess(steps, {...noResources, ...cap}), excess);
	});
}
