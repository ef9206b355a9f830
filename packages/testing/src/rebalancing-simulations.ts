/**
 * Simulates pools with fluctuating demand, and compares the rebalancing planner with a naive threshold strategy.
 */
import {
	SeededRandom, type MoveId, type PoolName, type RandomSource, type VmId,
} from '@tamarackwind/core';
import {
	FleetSnapshot, RebalancePlanner, ExponentialMovingAverage, fleetTables, isMoveActive, planMoves, type Demand, type MoveRow, type PlanContext, type VmRow,
} from '@tamarackwind/fleet';
import {type VmRecord} from '@tamarackwind/clients';
import {resolveSettings, type ResolvedPool, type SettingsTree} from '@tamarackwind/settings';
import {createWorkerRecord} from './clusters.js';

/** Demand profile of a deployment. */
export type DemandProfile = {
	readonly name: string;
	readonly pools: readonly string[];
	/** Mean number of used slots in each pool outside of busy hours and peaks. */
	readonly meanSlots: readonly number[];
	/** Start and end hour of the day between which the mean demand is multiplied by `busyFactor`. */
	readonly busyHours: readonly [number, number];
	readonly busyFactor: number;
	/** Number of sustained demand peaks per day over all pools; each has the factor and duration below. */
	readonly peaksPerDay: number;
	readonly peakFactor: number;
	readonly peakHours: number;
};

export const demandProfiles: readonly DemandProfile[] = [
	{
		name: 'fixture', pools: ['league-1', 'league-2', 'league-3', 'league-4'], meanSlots: [18, 22, 26, 30], busyHours: [16, 22], busyFactor: 1.2, peaksPerDay: 4, peakFactor: 1.7, peakHours: 3,
	},
	{
		name: 'notebook', pools: ['cells', 'risk', 'datasets', 'reports'], meanSlots: [30, 26, 22, 18], busyHours: [7, 18], busyFactor: 1.3, peaksPerDay: 3, peakFactor: 1.6, peakHours: 2,
	},
];

export type RebalancingOptions = {
	readonly deployment: DemandProfile;
	readonly seed: number;
	readonly days: number;
	readonly strategy: 'planner' | 'naive';
	/** Whether the demand of all pools rises in the busy hours. */
	readonly hasBusyHours: boolean;
	/** VMs beyond the mean demand: for each pool (naive), or in the shared spare pool (planner). */
	readonly buffer: number;
};

export type RebalancingOutcome = {
	readonly vms: number;
	/** VM-hours of capacity beyond the mean demand at each time. */
	readonly idleVmHours: number;
	readonly neededVmHours: number;
	/** VM-hours that pools lacked to meet their mean demand at each time. */
	readonly missingVmHours: number;
	readonly movedVms: number;
};

const stepMs = 4000;
const hourMs = 3_600_000;
const dayMs = 24 * hourMs;
const burstMs = 8000;
const burstFactor = 5;
const lullFactor = 0.05;
const slotsPerVm = 8;
const utilization = 0.8;
const drainMs = 60_000;
const failuresPerDay = 2;
const failureMs = hourMs;
const planIntervalMs = 12_000;
const naiveHighLoad = 0.9;
const naiveLowLoad = 0.5;
const demandAverageMs = 300_000;

type Peak = {readonly pool: string; readonly from: number; readonly to: number};

class DemandModel {
	readonly #deployment: DemandProfile;
	readonly #hasBusyHours: boolean;
	readonly #peaks: Peak[];

	constructor({deployment, days, hasBusyHours}: RebalancingOptions, random: RandomSource) {
		this.#deployment = deployment;
		this.#hasBusyHours = hasBusyHours;
		this.#peaks = Array.from({length: deployment.peaksPerDay * days}, () => {
			const from = random.readFraction() * days * dayMs;
			return {pool: random.pickItem(deployment.pools)!, from, to: from + (deployment.peakHours * hourMs)};
		});
	}

	/** Computes the mean number of slots that a pool needs over several minutes. */
	computeMeanDemand(pool: string, now: number): number {
		const {pools, meanSlots, busyHours: [from, to], busyFactor, peakFactor} = this.#deployment;
		const hour = (now % dayMs) / hourMs;
		const busy = this.#hasBusyHours && hour >= from && hour < to ? busyFactor : 1;
		const peak = this.#peaks.some(other => other.pool === pool && now >= other.from && now < other.to) ? peakFactor : 1;
		return meanSlots[pools.indexOf(pool)]! * Math.max(busy, peak);
	}

	/** Computes the number of slots that a pool could use at a given time: the pools burst in turn and are nearly idle between their bursts. */
	computeCurrentDemand(pool: string, now: number): number {
		const {pools} = this.#deployment;
		const burstIndex = Math.floor(now / burstMs) % (pools.length + 1);
		return this.computeMeanDemand(pool, now) * (pools[burstIndex] === pool ? burstFactor : lullFactor);
	}
}

function computeRequiredVms(slots: number): number {
	return Math.ceil(slots / (slotsPerVm * utilization));
}

function createPools(deployment: DemandProfile): Map<PoolName, ResolvedPool> {
	const tree: SettingsTree = {
		deployments: {
			swing: {
				pool: {slotsPerVm, budget: {maxUnavailable: 1, maxZones: 4, maxPerRack: 4}},
				pools: {...Object.fromEntries(deployment.pools.map(name => [name, {services: {}}])), spare: {services: {}, isSpare: true}},
			},
		},
	};
	return new Map(resolveSettings(tree, 'swing', 1).pools);
}

class RebalancingSimulation {
	readonly #options: RebalancingOptions;
	readonly #random: RandomSource;
	readonly #demandModel: DemandModel;
	readonly #pools: Map<PoolName, ResolvedPool>;
	readonly #records = new Map<string, VmRecord>();
	readonly #demandAverages = new Map<string, ExponentialMovingAverage>();
	readonly #downUntil = new Map<string, number>();
	readonly #rebalancePlanner: RebalancePlanner;
	#rows = new Map<VmId, VmRow>();
	#moves: MoveRow[] = [];
	#idleVmMs = 0;
	#neededVmMs = 0;
	#missingVmMs = 0;
	#movedVms = 0;

	constructor(options: RebalancingOptions) {
		const {deployment, seed, strategy, buffer} = options;
		this.#options = options;
		this.#random = SeededRandom.create(seed);
		this.#demandModel = new DemandModel(options, this.#random);
		this.#rebalancePlanner = RebalancePlanner.create({random: this.#random, utilization});
		this.#pools = createPools(deployment);
		for (const [index, name] of deployment.pools.entries()) {
			const base = computeRequiredVms(deployment.meanSlots[index]!);
			this.#addVms(name, strategy === 'naive' ? base + buffer : base);
			this.#demandAverages.set(name, ExponentialMovingAverage.create(demandAverageMs));
		}

		this.#addVms('spare', strategy === 'naive' ? 0 : buffer);
	}

	run(): RebalancingOutcome {
		for (let now = stepMs; now <= this.#options.days * dayMs; now += stepMs) {
			this.#runStep(now);
		}

		return {
			vms: this.#rows.size,
			idleVmHours: this.#idleVmMs / hourMs,
			neededVmHours: this.#neededVmMs / hourMs,
			missingVmHours: this.#missingVmMs / hourMs,
			movedVms: this.#movedVms,
		};
	}

	#addVms(pool: string, count: number): void {
		for (let index = 0; index < count; index++) {
			const record = createWorkerRecord(pool, index * 4, 1);
			this.#records.set(record.vmId, record);
			const name = pool as PoolName;
			this.#rows.set(record.vmId as VmId, {
				vmId: record.vmId as VmId, pool: name, home: name, zone: record.zone as VmRow['zone'], rack: record.rack as VmRow['rack'], state: 'serving', since: 0,
			});
		}
	}

	#runStep(now: number): void {
		this.#failVms(now);
		for (const [pool, average] of this.#demandAverages) {
			average.addSample(this.#demandModel.computeCurrentDemand(pool, now), now);
		}

		if (now % planIntervalMs === 0) {
			this.#plan(now);
		}

		this.#accumulateUsage(now);
	}

	#failVms(now: number): void {
		for (const [vmId, until] of this.#downUntil) {
			if (now >= until) {
				this.#downUntil.delete(vmId);
				this.#records.set(vmId, {...this.#records.get(vmId)!, state: 'live'});
			}
		}

		if (this.#random.readFraction() < failuresPerDay * stepMs / dayMs) {
			const {vmId} = this.#random.pickItem([...this.#rows.values()])!;
			this.#downUntil.set(vmId, now + failureMs);
			this.#records.set(vmId, {...this.#records.get(vmId)!, state: 'rebooting'});
		}
	}

	#plan(now: number): void {
		const snapshot = FleetSnapshot.create({rows: this.#rows, records: this.#records, silentVms: new Set()});
		const ctx: PlanContext = {
			snapshot, now, pools: this.#pools, nextVersion: 1, heldVms: new Set(),
			isDrained: row => now - row.since >= drainMs, hasReturned: () => false, readStateAgeMs: row => now - row.since,
		};
		const activeMoves = this.#moves.filter(move => isMoveActive(move));
		planMoves(ctx, activeMoves, this.#rows.values());
		const newMoves = this.#options.strategy === 'naive'
			? this.#planByThresholds(snapshot, activeMoves, now)
			: this.#rebalancePlanner.planRebalancing(ctx, this.#getDemand(), activeMoves, now);
		const changedMoves = snapshot.writes.filter(write => write.table === fleetTables.moves).map(write => write.value as MoveRow);
		this.#movedVms += changedMoves.reduce((sum, move) => sum + move.done.length - this.#moves.find(other => other.moveId === move.moveId)!.done.length, 0);
		const moves = new Map([...activeMoves, ...changedMoves, ...newMoves].map(move => [move.moveId, move]));
		this.#moves = [...moves.values()].filter(move => isMoveActive(move));
		const rows = new Map(this.#rows);
		for (const [vmId, row] of snapshot.changes) {
			rows.set(vmId, row!);
		}

		this.#rows = rows;
	}

	#getDemand(): Demand {
		return new Map([...this.#demandAverages].map(([pool, average]) => [pool as PoolName, average.value]));
	}

	/** Plans to move one VM from the least to the most loaded pool if one load is low, the other is high and no move is active. */
	#planByThresholds(snapshot: FleetSnapshot, activeMoves: readonly MoveRow[], now: number): MoveRow[] {
		if (activeMoves.length > 0) {
			return [];
		}

		const loads = this.#options.deployment.pools.map(name => {
			const pool = name as PoolName;
			const members = snapshot.listMembers(pool).filter(row => !snapshot.isUnavailable(row)).length;
			return {pool, members, load: this.#demandModel.computeCurrentDemand(name, now) / (members * slotsPerVm)};
		}).toSorted((a, b) => a.load - b.load);
		const [low, high] = [loads[0]!, loads.at(-1)!];
		if (high.load < naiveHighLoad || low.load > naiveLowLoad || low.members <= 1) {
			return [];
		}

		return [{
			moveId: `naive-${now}` as MoveId, state: 'running', cause: 'size', from: low.pool, to: high.pool, count: 1, vmIds: snapshot.listMembers(low.pool).filter(row => !snapshot.isUnavailable(row)).map(row => row.vmId).slice(0, 1), done: [], createdBy: 'naive' as MoveRow['createdBy'], createdAt: now,
		}];
	}

	#accumulateUsage(now: number): void {
		const capacities = new Map<string, number>();
		for (const row of this.#rows.values()) {
			if (this.#records.get(row.vmId)?.state === 'live' && row.state === 'serving') {
				capacities.set(row.pool, (capacities.get(row.pool) ?? 0) + 1);
			}
		}

		for (const name of this.#options.deployment.pools) {
			const requiredVms = computeRequiredVms(this.#demandModel.computeMeanDemand(name, now));
			const capacity = capacities.get(name) ?? 0;
			this.#neededVmMs += requiredVms * stepMs;
			this.#idleVmMs += Math.max(0, capacity - requiredVms) * stepMs;
			this.#missingVmMs += Math.max(0, requiredVms - capacity) * stepMs;
		}

		this.#idleVmMs += (capacities.get('spare') ?? 0) * stepMs;
	}
}

/** Simulates a fleet that is rebalanced as its demand changes. */
export function simulateRebalancing(options: RebalancingOptions): RebalancingOutcome {
	return new RebalancingSimulation(options).run();
}
