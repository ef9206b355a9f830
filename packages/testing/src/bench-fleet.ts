/**
 * `npm run bench -- fleet [--seed N] [--days N] [--busy-hours]`: rollout time of waves, cost of spare VMs and number of moved VMs, compared
 * with a naive planner under the same seed.
 */
import {parseArgs} from 'node:util';
import {type OperatorId, type WaveId} from '@tamarackwind/core';
import {computeMaxUnavailable, fleetTables, type WaveRow} from '@tamarackwind/fleet';
import {resolveSettings, type ResolvedPool} from '@tamarackwind/settings';
import {createWorkerRecord} from './clusters.js';
import {FleetSimulation} from './fleet-simulations.js';
import {
	simulateRebalancing, demandProfiles, type DemandProfile, type RebalancingOptions, type RebalancingOutcome,
} from './rebalancing-simulations.js';

const rebootMs = 90_000;
const listLagMs = 5000;
const maxRunMs = 5000;
const vmsPerPool = 8;
const maxUnavailable = 2;
const warmUpMs = 20_000;
const operatorId = 'bench' as OperatorId;
const maxMissingFraction = 0.01;
const maxBuffer = 12;

type RolloutResult = {readonly minutes: number; readonly violations: number};

function createPools(names: readonly string[]): ResolvedPool[] {
	const tree = {
		deployments: {bench: {pool: {budget: {maxUnavailable, maxZones: 1, maxPerRack: 2}}, pools: Object.fromEntries(names.map(name => [name, {services: {}}]))}},
	};
	return [...resolveSettings(tree, 'bench', 1).pools.values()];
}

function createSimulation(seed: number, names: readonly string[]): FleetSimulation {
	const simulation = FleetSimulation.create({
		seed, entries: 3, pools: createPools(names), maxRunMs, requestRate: 0.5,
		records: names.flatMap(name => Array.from({length: vmsPerPool}, (_, index) => createWorkerRecord(name, index, 1))),
		chooseRebootOutcome: () => ({afterMs: rebootMs, isLost: false}),
	});
	simulation.vms.listLagMs = listLagMs;
	return simulation;
}

/** Runs one wave per group of VMs, in sequence, and returns their total duration and the violations found. */
async function runWaves(simulation: FleetSimulation, groups: ReadonlyArray<readonly string[]>): Promise<RolloutResult> {
	await simulation.run(warmUpMs);
	const startedAt = simulation.clock.readMonotonic();
	for (const [index, vms] of groups.entries()) {
		const waveId = `wave-${index}` as WaveId;
		await simulation.entries[0]!.commands.startWave({
			waveId, selector: {vms}, action: 'reboot', maxNotBack: 1, returnTimeoutMs: 600_000, includesHeld: false,
		}, operatorId);
		let isDone = false;
		while (!isDone) {
			await simulation.run(500);
			const waves = await simulation.readTable<WaveRow>(fleetTables.waves);
			isDone = waves.find(wave => wave.waveId === waveId)!.state === 'done';
		}
	}

	const minutes = (simulation.clock.readMonotonic() - startedAt) / 60_000;
	const {violations} = simulation.checker;
	await simulation.close();
	return {minutes, violations: violations.length};
}

async function measureRollouts(seed: number): Promise<void> {
	const rows = [];
	for (const {name, pools} of demandProfiles) {
		for (const [scope, names] of [['a pool', pools.slice(0, 1)], ['the fleet', [...pools, 'spare']]] as const) {
			const vms = names.flatMap(pool => Array.from({length: vmsPerPool}, (_, index) => `${pool}-${index + 1}`));
			const rounds = Math.ceil(vmsPerPool / computeMaxUnavailable({maxUnavailable}, vmsPerPool));
			const bound = rounds * (rebootMs + listLagMs) / 60_000;
			const planned = await runWaves(createSimulation(seed, names), [vms]);
			const naive = await runWaves(createSimulation(seed, names), vms.map(vm => [vm]));
			rows.push({
				deployment: name, scope, vms: vms.length, 'bound, min': bound.toFixed(1), 'planner, min': planned.minutes.toFixed(1), ratio: (planned.minutes / bound).toFixed(2),
				'naive, min': naive.minutes.toFixed(1), violations: planned.violations + naive.violations,
			});
		}
	}

	console.log(`rollout: reboots take ${rebootMs / 1000} s, VM list lags ${listLagMs / 1000} s, requests run up to ${maxRunMs / 1000} s, at most ${maxUnavailable} of ${vmsPerPool} VMs out at once; the bound includes only reboots and list lag`);
	console.table(rows);
}

/** Finds the smallest buffer with which the missing VM-hours stay within the allowed fraction of the needed VM-hours. */
function findBuffer(options: Omit<RebalancingOptions, 'buffer'>): {readonly buffer: number; readonly outcome: RebalancingOutcome} {
	for (let buffer = 0; ; buffer++) {
		const outcome = simulateRebalancing({...options, buffer});
		if (buffer === maxBuffer || outcome.missingVmHours <= maxMissingFraction * outcome.neededVmHours) {
			return {buffer, outcome};
		}
	}
}

function measureSwings(profile: DemandProfile, options: Pick<RebalancingOptions, 'seed' | 'days' | 'hasBusyHours'>): Array<Record<string, unknown>> {
	return (['planner', 'naive'] as const).map(strategy => {
		const {buffer, outcome} = findBuffer({
			...options, deployment: profile, strategy,
		});
		return {
			deployment: profile.name, way: strategy, buffer: strategy === 'naive' ? `${buffer} in each pool` : `${buffer} shared`, vms: outcome.vms,
			'idle VM-h': Math.round(outcome.idleVmHours), 'needed VM-h': Math.round(outcome.neededVmHours),
			'missing, %': (100 * outcome.missingVmHours / outcome.neededVmHours).toFixed(2), 'VMs moved': outcome.movedVms,
		};
	});
}

export async function runBench(args: readonly string[]): Promise<void> {
	const {values} = parseArgs({args: [...args], options: {seed: {type: 'string', default: '1'}, days: {type: 'string', default: '7'}, 'busy-hours': {type: 'boolean', default: false}}});
	const [seed, days] = [Number(values.seed), Number(values.days)];
	console.log(`smallest buffers with at most ${maxMissingFraction * 100}% of the sustained demand unmet, ${days} days, seed ${seed}`);
	console.table(demandProfiles.flatMap(profile => measureSwings(profile, {seed, days, hasBusyHours: values['busy-hours']})));
	await measureRollouts(seed);
}
