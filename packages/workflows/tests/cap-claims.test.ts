import {type AccountName, type ServiceName} from '@tamarackwind/core';
import {
	addResources, isWithinCap, noResources, type Resources, type StepSpec,
} from '@tamarackwind/scheduling';
import test from 'ava';
import fc from 'fast-check';
import {CapClaims} from '../src/index.js';

const account = 'one' as AccountName;
const service = 'north' as ServiceName;
const cap: Resources = {...noResources, cpu: 6000};

function createSpec(cpu: number, spec: Partial<StepSpec> = {}): StepSpec {
	return {
		count: 1, resources: {cpu, memory: 10, gpu: 0}, estimatedMs: 800, after: [], isCheckpointing: false, isGang: false, isSameRack: false, isSpeculative: false, isLongRunning: false, isFiller: false, ...spec,
	};
}

const small = createSpec(1000);
const large = createSpec(4000);
const lasting = createSpec(3500, {isLongRunning: true});

type Step = {
	/** Time of the start, in milliseconds. */
	readonly at: number;
	readonly spec: StepSpec;
	readonly usedCpu: number;
	/** The part of it that long-running tasks use. */
	readonly lastingCpu?: number;
	/** Whether a run of the account has not begun. */
	readonly isOpen?: boolean;
	readonly isAllowed: boolean;
	/** Whether a task is then assigned. */
	readonly isAssigned?: boolean;
};

const denials = (spec: StepSpec, untilMs: number): Step[] => Array.from({length: Math.floor(untilMs / 100) + 1}, (_, index) => ({
	at: index * 100, spec, usedCpu: 5000, isAllowed: false,
}));

const cases: ReadonlyArray<{readonly name: string; readonly steps: readonly Step[]}> = [
	{
		name: 'a step that waits holds up no other before its time', steps: [...denials(large, 1400), {
			at: 1400, spec: small, usedCpu: 5000, isAllowed: true,
		}],
	},
	{
		name: 'a step that has waited for long holds up others of its account', steps: [...denials(large, 1500), {
			at: 1500, spec: small, usedCpu: 5000, isAllowed: false,
		}],
	},
	{
		name: 'others start beside a claim for which enough is left', steps: [...denials(large, 1500), {
			at: 1500, spec: small, usedCpu: 1000, isAllowed: true,
		}],
	},
	{
		name: 'a long-running step that waits holds up others at once', steps: [
			{
				at: 0, spec: lasting, usedCpu: 3000, isAllowed: false,
			},
			{
				at: 0, spec: small, usedCpu: 3000, isAllowed: false,
			},
		],
	},
	{
		name: 'a long-running step waits for no other', steps: [...denials(large, 1500), {
			at: 1500, spec: lasting, usedCpu: 1000, isAllowed: true,
		}],
	},
	{
		name: 'a claim ends with a start', steps: [
			...denials(large, 1500),
			{
				at: 1600, spec: large, usedCpu: 2000, isAllowed: true, isAssigned: true,
			},
			{
				at: 1600, spec: small, usedCpu: 5000, isAllowed: true,
			},
		],
	},
	{
		name: 'a claim stays while the cap allows the start and others are placed first', steps: [
			...denials(large, 1500),
			{
				at: 1600, spec: large, usedCpu: 2000, isAllowed: true,
			},
			{
				at: 1600, spec: small, usedCpu: 2000, isAllowed: false,
			},
		],
	},
	{
		name: 'a claim lapses if its step finds no room or is gone', steps: [...denials(large, 1500), {
			at: 2001, spec: small, usedCpu: 5000, isAllowed: true,
		}],
	},
	{
		name: 'a start for which long-running tasks leave too little claims nothing', steps: [...denials(lasting, 1500), {
			at: 1500, spec: lasting, usedCpu: 5000, lastingCpu: 3500, isAllowed: false,
		}, {
			at: 1500, spec: small, usedCpu: 5000, lastingCpu: 3500, isAllowed: true,
		}],
	},
	{
		name: 'a start that exceeds the cap waits until each other run has begun', steps: [
			{
				at: 0, spec: large, usedCpu: 2500, isOpen: true, isAllowed: false,
			},
			{
				at: 10, spec: large, usedCpu: 2500, isAllowed: true,
			},
		],
	},
	{
		name: 'a start within the cap waits for no other run to begin', steps: [{
			at: 0, spec: large, usedCpu: 2000, isOpen: true, isAllowed: true,
		}],
	},
	{
		name: 'a step that has to exceed the cap and has waited for long holds up others of an account under half of it', steps: [...denials(large, 1500), {
			at: 1500, spec: small, usedCpu: 1500, isAllowed: false,
		}],
	},
	{
		name: 'a start that can never be within the cap claims nothing', steps: [...denials(createSpec(4000, {isGang: true, count: 3}), 3000), {
			at: 3000, spec: small, usedCpu: 5000, isAllowed: true,
		}],
	},
];

// Guards against accepted work that waits for its account's cap without a bound, and against claims that hold others up without one.
for (const {name, steps} of cases) {
	test(`claims to a cap: ${name}`, t => {
		const claims = CapClaims.create();
		for (const {at, spec, usedCpu, lastingCpu = 0, isOpen = false, isAllowed, isAssigned = false} of steps) {
			t.is(claims.isAllowed({
				account, service, spec, cap, used: {...noResources, cpu: usedCpu}, lasting: {...noResources, cpu: lastingCpu}, haveAllBegun: !isOpen, now: at,
			}), isAllowed);
			if (isAssigned) {
				claims.noteStart(account, service, spec);
			}
		}
	});
}

const passMs = 100;
const runMs = 1000;

// Guards against steps of some size that never get their turn, whatever the others ask for and in which order, and against starts over the cap.
test('each of several steps with endless work starts within a bounded time, and no start exceeds the cap', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.uniqueArray(fc.integer({min: 1, max: 6}), {minLength: 2, maxLength: 5}), sizes => {
			const claims = CapClaims.create();
			const specs = sizes.map(size => createSpec(size * 1000));
			const startedAt = specs.map(() => 0);
			let running: Array<{readonly spec: StepSpec; readonly until: number}> = [];
			for (let now = 0; now < 60_000; now += passMs) {
				running = running.filter(({until}) => until > now);
				for (const [index, spec] of specs.entries()) {
					let used = noResources;
					for (const run of running) {
						used = addResources(used, run.spec.resources);
					}

					if (claims.isAllowed({
						account, service, spec, cap, used, lasting: noResources, haveAllBegun: true, now,
					})) {
						const isWithin = isWithinCap({
							cap, used, task: spec.resources, count: 1,
						});
						if (!isWithin) {
							return false;
						}

						claims.noteStart(account, service, spec);
						startedAt[index] = now;
						running.push({spec, until: now + runMs + (index * passMs)});
					}
				}

				// Each step waits for its own claim to count, for those before it, and each time for the longest run to end.
				if (startedAt.some(at => now - at > 1500 + (specs.length * 2 * (runMs + (specs.length * passMs))))) {
					return false;
				}
			}

			return true;
		}), {numRuns: 200, seed: 5});
	});
});
