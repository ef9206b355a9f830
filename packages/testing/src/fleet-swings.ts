/**
 * Demand with the brief's swings, and fleets that follow it: the planner's way and a naive one, side by side.
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

/** A deployment of the brief, as its demand goes. */
export type SwingDeployment = {
	readonly name: string;
	readonly pools: readonly string[];
	/** Mean slots in use in each pool on an even day. */
	readonly meanSlots: readonly number[];
	/** Hours of the day between which the mean rises, and its factor. */
	readonly busyHours: readonly [number, number];
	readonly busyFactor: number;
	/** Lasting floods a day over all pools, with their factor and length. */
	readonly floodsPerDay: number;
	readonly floodFactor: number;
	readonly floodHours: number;
};

export const swingDeployments: readonly SwingDeployment[] = [
	{
		name: 'fixture', pools: ['league-1', 'league-2', 'league-3', 'league-4'], meanSlots: [18, 22, 26, 30], busyHours: [16, 22], busyFactor: 1.2, floodsPerDay: 4, floodFactor: 1.7, floodHours: 3,
	},
	{
		name: 'notebook', pools: ['cells', 'risk', 'datasets', 'reports'], meanSlots: [30, 26, 22, 18], busyHours: [7, 18], busyFactor: 1.3, floodsPerDay: 3, floodFactor: 1.6, floodHours: 2,
	},
];

export type SwingOptions = {
	readonly deployment: SwingDeployment;
	readonly seed: number;
	readonly days: number;
	readonly way: 'planner' | 'naive';
	/** Whether all pools rise together in the busy hours. */
	readonly hasBusyHours: boolean;
	/** VMs beyond its need on an even day that each pool has (naive), or that the spare pool has (planner). */
	readonly buffer: number;
};

export type SwingOutcome = {
	readonly vms: number;
	/** VM-hours held beyond the need of the moment. */
	readonly idleVmHours: number;
	readonly neededVmHours: number;
	/** VM-hours that pools lacked against their lasting need. */
	readonly missingVmHours: number;
	readonly movedVms: number;
};

const stepMs = 4000;
const hourMs = 3_600_000;
const dayMs = 24 * hourMs;
const turnMs = 8000;
const burstFactor = 5;
const quietFactor = 0.05;
const slotsPerVm = 8;
const utilization = 0.8;
const drainMs = 60_000;
const failuresPerDay = 2;
const failureMs = hourMs;
const planIntervalMs = 12_000;
const naiveHigh = 0.9;
const naiveLow = 0.5;
const demandMeanMs = 300_000;

type Flood = {readonly pool: string; readonly from: number; readonly to: number};

class SwingModel {
	readonly #deployment: SwingDeployment;
	readonly #hasBusyHours: boolean;
	readonly #floods: Flood[];

	constructor({deployment, days, hasBusyHours}: SwingOptions, random: RandomSource) {
		this.#deployment = deployment;
		this.#hasBusyHours = hasBusyHours;
		this.#floods = Array.from({length: deployment.floodsPerDay * days}, () => {
			const from = random.readFraction() * days * dayMs;
			return {pool: random.pickItem(deployment.pools)!, from, to: from + (deployment.floodHours * hourMs)};
		});
	}

	/** Slots that a pool needs in the mean over minutes. */
	readMean(pool: string, now: number): number {
		const {pools, meanSlots, busyHours: [from, to], busyFactor, floodFactor} = this.#deployment;
		const hour = (now % dayMs) / hourMs;
		const busy = this.#hasBusyHours && hour >= from && hour < to ? busyFactor : 1;
		const flood = this.#floods.some(other => other.pool === pool && now >= other.from && now < other.to) ? floodFactor : 1;
		return meanSlots[pools.indexOf(pool)]! * Math.max(busy, flood);
	}

	/** Slots that a pool could use at a moment: queues rise in turns and drop between. */
	readMoment(pool: string, now: number): number {
		const {pools} = this.#deployment;
		const turn = Math.floor(now / turnMs) % (pools.length + 1);
		return this.readMean(pool, now) * (pools[turn] === pool ? burstFactor : quietFactor);
	}
}

function computeNeed(slots: number): number {
	return Math.ceil(slots / (slotsPerVm * utilization));
}

function createPools(deployment: SwingDeployment): Map<PoolName, ResolvedPool> {
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

class SwingRun {
	readonly #options: SwingOptions;
	readonly #random: RandomSource;
	readonly #model: SwingModel;
	readonly #pools: Map<PoolName, ResolvedPool>;
	readonly #records = new Map<string, VmRecord>();
	readonly #means = new Map<string, ExponentialMovingAverage>();
	readonly #downUntil = new Map<string, number>();
	readonly #needs: RebalancePlanner;
	#rows = new Map<VmId, VmRow>();
	#moves: MoveRow[] = [];
	#idleMs = 0;
	#neededMs = 0;
	#missingMs = 0;
	#movedVms = 0;

	constructor(options: SwingOptions) {
		const {deployment, seed, way, buffer} = options;
		this.#options = options;
		this.#random = SeededRandom.create(seed);
		this.#model = new SwingModel(options, this.#random);
		this.#needs = RebalancePlanner.create({random: this.#random, utilization});
		this.#pools = createPools(deployment);
		for (const [index, name] of deployment.pools.entries()) {
			const base = computeNeed(deployment.meanSlots[index]!);
			this.#addVms(name, way === 'naive' ? base + buffer : base);
			this.#means.set(name, ExponentialMovingAverage.create(demandMeanMs));
		}

		this.#addVms('spare', way === 'naive' ? 0 : buffer);
	}

	run(): SwingOutcome {
		for (let now = stepMs; now <= this.#options.days * dayMs; now += stepMs) {
			this.#step(now);
		}

		return {
			vms: this.#rows.size,
			idleVmHours: this.#idleMs / hourMs,
			neededVmHours: this.#neededMs / hourMs,
			missingVmHours: this.#missingMs / hourMs,
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

	#step(now: number): void {
		this.#failVms(now);
		for (const [pool, mean] of this.#means) {
			mean.addSample(this.#model.readMoment(pool, now), now);
		}

		if (now % planIntervalMs === 0) {
			this.#plan(now);
		}

		this.#account(now);
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
		const active = this.#moves.filter(move => isMoveActive(move));
		planMoves(ctx, active, this.#rows.values());
		const wanted = this.#options.way === 'naive'
			? this.#planNaively(snapshot, active, now)
			: this.#needs.planRebalancing(ctx, this.#readDemand(), active, now);
		const written = snapshot.writes.filter(write => write.table === fleetTables.moves).map(write => write.value as MoveRow);
		this.#movedVms += written.reduce((sum, move) => sum + move.done.length - this.#moves.find(other => other.moveId === move.moveId)!.done.length, 0);
		const moves = new Map([...active, ...written, ...wanted].map(move => [move.moveId, move]));
		this.#moves = [...moves.values()].filter(move => isMoveActive(move));
		const rows = new Map(this.#rows);
		for (const [vmId, row] of snapshot.changes) {
			rows.set(vmId, row!);
		}

		this.#rows = rows;
	}

	#readDemand(): Demand {
		return new Map([...this.#means].map(([pool, mean]) => [pool as PoolName, mean.value]));
	}

	/** Moves one VM at a time from the emptiest pool to the fullest when both pass their thresholds. */
	#planNaively(snapshot: FleetSnapshot, active: readonly MoveRow[], now: number): MoveRow[] {
		if (active.length > 0) {
			return [];
		}

		const loads = this.#options.deployment.pools.map(name => {
			const pool = name as PoolName;
			const members = snapshot.listMembers(pool).filter(row => !snapshot.isUnavailable(row)).length;
			return {pool, members, load: this.#model.readMoment(name, now) / (members * slotsPerVm)};
		}).toSorted((a, b) => a.load - b.load);
		const [low, high] = [loads[0]!, loads.at(-1)!];
		if (high.load < naiveHigh || low.load > naiveLow || low.members <= 1) {
			return [];
		}

		return [{
			moveId: `naive-${now}` as MoveId, state: 'running', cause: 'size', from: low.pool, to: high.pool, count: 1, vmIds: snapshot.listMembers(low.pool).filter(row => !snapshot.isUnavailable(row)).map(row => row.vmId).slice(0, 1), done: [], createdBy: 'naive' as MoveRow['createdBy'], createdAt: now,
		}];
	}

	#account(now: number): void {
		const capacities = new Map<string, number>();
		for (const row of this.#rows.values()) {
			if (this.#records.get(row.vmId)?.state === 'live' && row.state === 'serving') {
				capacities.set(row.pool, (capacities.get(row.pool) ?? 0) + 1);
			}
		}

		for (const name of this.#options.deployment.pools) {
			const need = computeNeed(this.#model.readMean(name, now));
			const capacity = capacities.get(name) ?? 0;
			this.#neededMs += need * stepMs;
			this.#idleMs += Math.max(0, capacity - need) * stepMs;
			this.#missingMs += Math.max(0, need - capacity) * stepMs;
		}

		this.#idleMs += (capacities.get('spare') ?? 0) * stepMs;
	}
}

/** Lets a fleet follow the swings. */
export function runSwings(options: SwingOptions): SwingOutcome {
	return new SwingRun(options).run();
}
