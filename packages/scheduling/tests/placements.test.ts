import {type RackName, type VmId, type ZoneName} from '@tamarackwind/core';
import test from 'ava';
import {
	chooseWorker, planGang, type Candidate, type StepSpec,
} from '../src/index.js';

function createCandidate(id: string, fields: Partial<Candidate> = {}): Candidate {
	return {
		id: id as VmId,
		zone: 'zone-a' as ZoneName,
		labels: ['a', 'r1'],
		capacity: {cpu: 8000, memory: 8000, gpu: 0},
		free: {cpu: 8000, memory: 8000, gpu: 0},
		suspicion: 0,
		servingTasks: 0,
		fillerTasks: 0,
		suspectLoad: 0,
		isReserved: false,
		...fields,
	};
}

function createStep(fields: Partial<StepSpec> = {}): StepSpec {
	return {
		count: 1,
		resources: {cpu: 2000, memory: 1000, gpu: 0},
		estimatedMs: 1000,
		after: [],
		isCheckpointing: false,
		isGang: false,
		isSameRack: false,
		isSpeculative: false,
		isLongRunning: false,
		isFiller: false,
		...fields,
	};
}

type Case = {
	readonly name: string;
	readonly step: StepSpec;
	readonly candidates: readonly Candidate[];
	readonly occupancy?: ReadonlyMap<string, number>;
	readonly expected: string | undefined;
};

const full = {cpu: 1000, memory: 8000, gpu: 0};
const half = {cpu: 4000, memory: 8000, gpu: 0};
const cases: readonly Case[] = [
	{
		name: 'packs tasks tightly', step: createStep(), candidates: [createCandidate('empty'), createCandidate('half', {free: half})], expected: 'half',
	},
	{
		name: 'packs long-running tasks of different steps', step: createStep({isLongRunning: true}), candidates: [createCandidate('half', {free: half}), createCandidate('empty')], expected: 'half',
	},
	{
		name: 'spreads the tasks of a long-running step',
		step: createStep({isLongRunning: true}),
		candidates: [createCandidate('empty'), createCandidate('half', {free: half})],
		occupancy: new Map([['half', 1]]),
		expected: 'empty',
	},
	{
		name: 'finds no worker with enough free resources', step: createStep(), candidates: [createCandidate('full', {free: full})], expected: undefined,
	},
	{
		name: 'does not reserve CPU for a filler', step: createStep({isFiller: true}), candidates: [createCandidate('full', {free: full})], expected: 'full',
	},
	{
		name: 'respects the limit of tasks per worker',
		step: createStep({antiAffinity: 2}),
		candidates: [createCandidate('one')],
		occupancy: new Map([['one', 2]]),
		expected: undefined,
	},
	{
		name: 'requires the label of the step', step: createStep({requirement: 'b'}), candidates: [createCandidate('one'), createCandidate('two', {labels: ['b']})], expected: 'two',
	},
	{
		name: 'prefers the rack of the data', step: createStep({affinity: 'r2' as RackName}), candidates: [createCandidate('near', {labels: ['a', 'r2']}), createCandidate('half', {free: half})], expected: 'near',
	},
	{
		name: 'leaves a worker alone that tests a suspect by itself', step: createStep(), candidates: [createCandidate('testing', {suspectLoad: 1, isReserved: true})], expected: undefined,
	},
	{
		name: 'uses a suspected worker only as a last resort', step: createStep(), candidates: [createCandidate('failing', {suspicion: 2, free: half}), createCandidate('healthy')], expected: 'healthy',
	},
];

for (const {name, step, candidates, occupancy, expected} of cases) {
	test(`placement ${name}`, t => {
		t.is(chooseWorker({step, candidates, occupancy: occupancy ?? new Map()})?.id, expected as VmId | undefined);
	});
}

const third = 1 / 3;
const suspectCases: ReadonlyArray<[string, number, readonly Candidate[], string | undefined]> = [
	['goes to the emptiest worker', third, [createCandidate('half', {free: half}), createCandidate('empty')], 'empty'],
	['starts beside others while their shares leave room', third, [createCandidate('one', {suspectLoad: 2 * third})], 'one'],
	['does not start beside too many others', third, [createCandidate('one', {suspectLoad: 0.75})], undefined],
	['that must be alone does not start beside another', 1, [createCandidate('one', {suspectLoad: third})], undefined],
	['that has waited long enough starts beside any', 0, [createCandidate('one', {suspectLoad: 1})], 'one'],
];

for (const [name, suspectShare, candidates, expected] of suspectCases) {
	test(`placement of a suspect ${name}`, t => {
		t.is(chooseWorker({
			step: createStep(), candidates, occupancy: new Map(), isSuspect: true, suspectShare,
		})?.id, expected as VmId | undefined);
	});
}

test('placement avoids a worker that tests suspects', t => {
	const candidates = [createCandidate('testing', {free: half, suspectLoad: third}), createCandidate('other')];
	t.is(chooseWorker({step: createStep(), candidates, occupancy: new Map()})?.id, 'other' as VmId);
});

const gangCases: ReadonlyArray<[string, number, readonly Candidate[], readonly string[] | undefined]> = [
	['does not start partially', 3, [createCandidate('one', {free: half})], undefined],
	['uses one rack when possible', 2, [createCandidate('x', {free: {...half, cpu: 2000}, labels: ['r1']}), createCandidate('y', {labels: ['r2']})], ['y', 'y']],
];

for (const [name, count, candidates, expected] of gangCases) {
	test(`gang ${name}`, t => {
		t.deepEqual(planGang(createStep({count, isGang: true, isSameRack: true}), candidates)?.map(({id}) => id as string), expected as string[] | undefined);
	});
}
