/**
 * Fleet management on an entry: the planner for waves and moves, and the demand and drain reports that it reads.
 */
import {type Scheduler} from '@tamarackwind/admission';
import {type EntryId, type PoolName} from '@tamarackwind/core';
import {
	FleetCommands, DemandReporter, DrainReporter, FleetPlanner, RebalancePlanner, TableDemandSource, TableDrainSource, TcpProbe, type AuditRows, type FleetAction, type PlannerSettings,
} from '@tamarackwind/fleet';
import {type VersionBarrier} from '@tamarackwind/peer';
import {LeaderLease} from '@tamarackwind/clients';
import {Counter, Gauge} from 'prom-client';
import {type EntryContext} from './contexts.js';
import {TrackingScheduler} from './tracking-schedulers.js';

export type FleetServiceOptions = {
	readonly ctx: EntryContext;
	readonly scheduler: Scheduler;
	readonly barrier: VersionBarrier;
	/** Lists the entries known to be live, including this one. */
	readonly listEntries: () => readonly EntryId[];
	readonly auditAction: (action: FleetAction) => Promise<AuditRows>;
};

/** Role whose leader executes waves and moves. */
export const fleetRole = 'fleet';

/** Fleet components of an entry. */
export class FleetService {
	static create(options: FleetServiceOptions): FleetService {
		return new FleetService(options);
	}

	/** Grants slots, and counts the requests in flight on each VM. */
	readonly scheduler: TrackingScheduler;
	readonly commands: FleetCommands;
	readonly #planner: FleetPlanner;
	readonly #drains: DrainReporter;
	readonly #demand: DemandReporter;

	private constructor({ctx, scheduler, barrier, listEntries, auditAction}: FleetServiceOptions) {
		const {clock, random, log, fleet, platform: {tables, vmControl}} = ctx;
		const entryId = ctx.config.entryId as EntryId;
		const lease = LeaderLease.create({
			tables, clock, random, role: fleetRole, holder: entryId,
		});
		const onError = registerMetrics(ctx, lease);
		this.scheduler = TrackingScheduler.create(scheduler);
		this.commands = FleetCommands.create({
			clock, tables, store: fleet.store, readPools: () => ctx.settings.current?.pools ?? new Map(), auditAction,
		});
		this.#drains = DrainReporter.create({
			clock, tables, entryId, readState: () => fleet.state, countInFlight: vmId => this.scheduler.countInFlight(vmId), onError,
		});
		this.#demand = DemandReporter.create({
			clock, tables, entryId, countSlots: () => this.scheduler.countSlots(), onError,
		});
		this.#planner = FleetPlanner.create({
			clock, log, tables, store: fleet.store, lease, barrier, vmControl, onError,
			drains: TableDrainSource.create(tables, listEntries),
			demand: TableDemandSource.create(clock, tables),
			rebalancePlanner: RebalancePlanner.create({random}),
			probe: TcpProbe.create(),
			readListing: () => fleet.listing,
			readSettings: () => readPlannerSettings(ctx),
		});
	}

	/** Releases the planner's lease, so that another entry takes over while this one shuts down. */
	async closePlanner(): Promise<void> {
		await this.#planner.close();
	}

	/** Stops the reports; called once no request is in flight. */
	async close(): Promise<void> {
		await this.#demand.close();
		await this.#drains.close();
	}
}

function readPlannerSettings({settings}: EntryContext): PlannerSettings | undefined {
	const {current} = settings;
	return current && {
		pools: current.pools,
		readMaxRunMs(pool: PoolName) {
			const services = current.pools.get(pool)?.services ?? [];
			return Math.max(0, ...services.map(name => current.services.get(name)!.maxDeadlineMs));
		},
	};
}

/** Registers the fleet metrics, and returns the error handler that counts failed turns. */
function registerMetrics({registry, fleet, settings}: EntryContext, lease: LeaderLease): (error: unknown) => void {
	const failures = new Counter({name: 'tamarackwind_fleet_failed_turns_total', help: 'Turns of the fleet\'s planner and reports that failed', registers: []});
	registry.registerMetric(failures);
	registry.registerMetric(new Gauge({
		name: 'tamarackwind_fleet_duty_held', help: 'Whether this entry carries out waves and moves', registers: [],
		collect() {
			this.set(lease.isHeld ? 1 : 0);
		},
	}));
	registry.registerMetric(new Gauge({
		name: 'tamarackwind_fleet_vms', help: 'VMs by pool and state', labelNames: ['pool', 'state'], registers: [],
		collect() {
			this.reset();
			for (const pool of settings.current?.pools.keys() ?? []) {
				for (const state of ['serving', 'draining', 'out']) {
					this.set({pool, state}, 0);
				}
			}

			for (const row of fleet.state?.vms.values() ?? []) {
				this.inc({pool: row.pool, state: row.state});
			}
		},
	}));
	return () => {
		failures.inc();
	};
}
