import {type StepSpec} from '@tamarackwind/scheduling';
import test from 'ava';
import {FleetCapacity} from '../src/index.js';

const full = {cpu: 8000, memory: 1000, gpu: 0};

type Case = {readonly name: string; readonly step: Partial<StepSpec>; readonly hasPlaces: boolean};

const smallStep: StepSpec = {
	count: 1, resources: {cpu: 500, memory: 100, gpu: 0}, estimatedMs: 800, after: [], isCheckpointing: false, isGang: false, isSameRack: false, isSpeculative: false, isLongRunning: false, isFiller: false,
};
const fleet = FleetCapacity.create([
	...Array.from({length: 3}, () => ({labels: ['a'], capacity: full})),
	{labels: ['b'], capacity: {...full, cpu: 4000, gpu: 1}},
]);

const cases: readonly Case[] = [
	{name: 'a task of a whole VM', step: {resources: full}, hasPlaces: true},
	{name: 'more tasks than the fleet can run at once', step: {resources: full, count: 100}, hasPlaces: true},
	{name: 'a task larger than any VM', step: {resources: {...full, cpu: 8001}}, hasPlaces: false},
	{name: 'a task that needs what no VM has together', step: {resources: {...full, gpu: 1}}, hasPlaces: false},
	{name: 'a task with the label of a VM that is large enough', step: {requirement: 'b', resources: {...full, cpu: 4000}}, hasPlaces: true},
	{name: 'a task with the label of a VM that is too small', step: {requirement: 'b', resources: full}, hasPlaces: false},
	{name: 'a task with a label that no VM has', step: {requirement: 'c'}, hasPlaces: false},
	{name: 'a gang that fits', step: {isGang: true, count: 7, resources: {...full, cpu: 4000, memory: 500}}, hasPlaces: true},
	{name: 'a gang that is too large by one', step: {isGang: true, count: 8, resources: {...full, cpu: 4000, memory: 500}}, hasPlaces: false},
	{name: 'a gang that its anti-affinity keeps from fitting', step: {isGang: true, count: 5, antiAffinity: 1}, hasPlaces: false},
];

// Guards against VMs that move to a pool for tasks which no VM can run, and against tasks that get none although some VM can.
for (const {name, step, hasPlaces} of cases) {
	test(`a fleet ${hasPlaces ? 'has' : 'does not have'} places for ${name}`, t => {
		t.is(fleet.hasPlacesFor({...smallStep, ...step}), hasPlaces);
	});
}
