/**
 * Bench of the fleet: roll-out time of waves, buffer cost and moves, against a naive way with the same seed.
 */
import {parseArgs} from 'node:util';
import {type OperatorId, type WaveId} from '@tamarackwind/core';
import {computeMaxUnavailable, fleetTables, type WaveRow} from '@tamarackwind/fleet';
import {resolveSettings, type ResolvedPool} from '@tamarackwind/settings';
import {createWorkerRecord} from './clusters.js';
import {FleetSimulation} from './fleet-simulations.js';
import {
	runSwings, swingDeployments, type SwingDeployment, type SwingOptions, type SwingOutcome,
} from './fleet-swings.js';

const rebootMs = 90_000;
const listLagMs = 5000;
const maxRunMs = 5000;
const vmsPerPool = 8;
const maxUnavailable = 2;
const warmUpMs = 20_000;
const operator = 'bench' as OperatorId;
const allowedMissing = 0.01;
const maxBuffer = 12;

type Rollout = {readonly minutes: number; readonly violations: number};

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
		chooseComeback: () => ({afterMs: rebootMs, isLost: false}),
	});
	simulation.vms.listLagMs = listLagMs;
	return simulation;
}

/** Runs waves one after the other, each over the next group of VMs. */
async function runWaves(simulation: FleetSimulation, groups: ReadonlyArray<readonly string[]>): Promise<Rollout> {
	await simulation.run(warmUpMs);
	const startedAt = simulation.clock.readMonotonic();
	for (const [index, vms] of groups.entries()) {
		const waveId = `wave-${index}` as WaveId;
		await simulation.entries[0]!.declarations.startWave({
			waveId, selector: {vms}, action: 'reboot', maxNotBack: 1, returnTimeoutMs: 600_000, includesHeld: false,
		}, operator);
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

async function benchRollouts(seed: number): Promise<void> {
	const rows = [];
	for (const {name, pools} of swingDeployments) {
		for (const [scope, names] of [['a pool', pools.slice(0, 1)], ['the fleet', [...pools, 'spare']]] as const) {
			const vms = names.flatMap(pool => Array.from({length: vmsPerPool}, (_, index) => `${pool}-${index + 1}`));
			const rounds = Math.ceil(vmsPerPool / computeMaxUnavailable({maxUnavailable}, vmsPerPool));
			const bound = rounds * (rebootMs + listLagMs) / 60_000;
			const ours = await runWaves(createSimulation(seed, names), [vms]);
			const naive = await runWaves(createSimulation(seed, names), vms.map(vm => [vm]));
			rows.push({
				deployment: name, scope, vms: vms.length, 'bound, min': bound.toFixed(1), 'planner, min': ours.minutes.toFixed(1), ratio: (ours.minutes / bound).toFixed(2),
				'naive, min': naive.minutes.toFixed(1), violations: ours.violations + naive.violations,
			});
		}
	}

	console.log(`roll-out, ${rebootMs / 1000} s for a reboot, list ${listLagMs / 1000} s late, requests up to ${maxRunMs / 1000} s, ${maxUnavailable} of ${vmsPerPool} VMs out at once; the bound counts reboot and list only`);
	console.table(rows);
}

/** Finds the smallest buffer with which pools lack at most the allowed part of what they need. */
function findBuffer(options: Omit<SwingOptions, 'buffer'>): {readonly buffer: number; readonly outcome: SwingOutcome} {
	for (let buffer = 0; ; buffer++) {
		const outcome = runSwings({...options, buffer});
		if (buffer === maxBuffer || outcome.missingVmHours <= allowedMissing * outcome.neededVmHours) {
			return {buffer, outcome};
		}
	}
}

function benchSwings(deployment: SwingDeployment, options: Pick<SwingOptions, 'seed' | 'days' | 'hasBusyHours'>): Array<Record<string, unknown>> {
	return (['planner', 'naive'] as const).map(way => {
		const {buffer, outcome} = findBuffer({
			...options, deployment, way,
		});
		return {
			deployment: deployment.name, way, buffer: way === 'naive' ? `${buffer} in each pool` : `${buffer} shared`, vms: outcome.vms,
			'idle VM-h': Math.round(outcome.idleVmHours), 'needed VM-h': Math.round(outcome.neededVmHours),
			'missing, %': (100 * outcome.missingVmHours / outcome.neededVmHours).toFixed(2), 'VMs moved': outcome.movedVms,
		};
	});
}

export async function runBench(args: readonly string[]): Promise<void> {
	const {values} = parseArgs({args: [...args], options: {seed: {type: 'string', default: '1'}, days: {type: 'string', default: '7'}, 'busy-hours': {type: 'boolean', default: false}}});
	const [seed, days] = [Number(values.seed), Number(values.days)];
	console.log(`buffers that leave at most ${allowedMissing * 100}% of the lasting need unmet, ${days} days, seed ${seed}`);
	console.table(swingDeployments.flatMap(deployment => benchSwings(deployment, {seed, days, hasBusyHours: values['busy-hours']})));
	await benchRollouts(seed);
}
