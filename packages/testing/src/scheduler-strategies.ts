/**
 * Runs the production schedulers as strategies of a slot simulation, with one scheduler per simulated entry.
 */
import {
	FairScheduler, NaiveScheduler, type Scheduler, type SlotGrant,
} from '@tamarackwind/admission';
import {
	Log, SeededRandom, VerdictError, isRetryable, type EntryId, type VmId,
} from '@tamarackwind/core';
import {MemoryPeerHub} from '@tamarackwind/peer';
import {Registry} from 'prom-client';
import {
	SlotStrategy, createCaller, createService, type SimulatedRequest, type SlotSimulation,
} from './slot-simulations.js';

export type SchedulerStrategyOptions = {
	readonly seed: number;
	/** Maximum time from the arrival of a request to its start, in milliseconds. */
	readonly startWithinMs?: number;
	readonly maxAttempts?: number;
};

const linkMs = 1;
const defaultStartWithinMs = 30_000;

/** Assigns requests to workers through schedulers, and retries as the request path of an entry does. */
export abstract class SchedulerStrategy extends SlotStrategy {
	readonly schedulers: Scheduler[] = [];
	protected readonly simulation: SlotSimulation;
	protected readonly options: SchedulerStrategyOptions;

	constructor(simulation: SlotSimulation, options: SchedulerStrategyOptions) {
		super();
		this.simulation = simulation;
		this.options = options;
	}

	override submit(request: SimulatedRequest): void {
		void this.#forward(request);
	}

	override async close(): Promise<void> {
		await Promise.all(this.schedulers.map(async scheduler => scheduler.close()));
	}

	async #forward(request: SimulatedRequest): Promise<void> {
		const triedVms = new Set<VmId>();
		const startBy = this.simulation.clock.readMonotonic() + (this.options.startWithinMs ?? defaultStartWithinMs);
		try {
			while (!(await this.#attempt(request, startBy, triedVms))) {
				request.startedAt = undefined;
				if (triedVms.size >= (this.options.maxAttempts ?? 3)) {
					request.refusalCode = 'failed';
					return;
				}
			}
		} catch (error) {
			if (!(error instanceof VerdictError) || !isRetryable(error.verdict, false)) {
				throw error;
			}

			request.refusalCode = error.code;
		}
	}

	async #attempt(request: SimulatedRequest, startBy: number, triedVms: Set<VmId>): Promise<boolean> {
		const pool = this.simulation.pools.find(({name}) => name === request.pool)!;
		const grant = await this.schedulers[request.entry]!.acquireSlot({
			pool,
			service: createService(pool),
			caller: createCaller(request.caller),
			workClass: request.workClass,
			startBy,
			attempts: triedVms.size,
			triedVms: new Set(triedVms),
			signal: new AbortController().signal,
		});
		request.attempts++;
		triedVms.add(grant.vm.vmId as VmId);
		return this.#run(request, grant);
	}

	async #run(request: SimulatedRequest, grant: SlotGrant): Promise<boolean> {
		return new Promise(resolve => {
			this.simulation.getWorker(grant.vm.vmId).run(request, isSuccess => {
				grant.release(isSuccess ? 'answered' : 'error-answer');
				resolve(isSuccess);
			});
		});
	}
}

/** Runs the fair scheduler on every entry; messages between entries take one millisecond. */
export class FairStrategy extends SchedulerStrategy {
	override readonly name: string = 'd: slots granted by the pool\'s home entry';
	readonly hub: MemoryPeerHub;
	/** Metrics registries by entry. */
	readonly registries: Registry[] = [];

	constructor(simulation: SlotSimulation, options: SchedulerStrategyOptions) {
		super(simulation, options);
		this.hub = MemoryPeerHub.create(simulation.clock, linkMs);
		for (let index = 0; index < simulation.entryCount; index++) {
			this.schedulers.push(this.createScheduler(index));
		}
	}

	override readTraffic(): {messages: number; bytes: number} {
		return {messages: this.hub.messageCount, bytes: this.hub.byteCount};
	}

	/** Creates the scheduler of one entry, also to replace a closed one. */
	createScheduler(index: number): FairScheduler {
		const registry = new Registry();
		this.registries[index] = registry;
		return FairScheduler.create({
			clock: this.simulation.clock,
			random: SeededRandom.create(this.options.seed + index),
			bus: this.hub.createBus(`entry-${index + 1}` as EntryId),
			log: Log.createSilent(),
			registry,
			listWorkers: pool => this.simulation.listWorkers(pool),
			listPools: () => this.simulation.pools,
			countEntries: () => this.simulation.entryCount,
		});
	}
}

/** Runs the naive scheduler on every entry. */
export class NaiveStrategy extends SchedulerStrategy {
	override readonly name: string = 'naive';

	constructor(simulation: SlotSimulation, options: SchedulerStrategyOptions) {
		super(simulation, options);
		for (let index = 0; index < simulation.entryCount; index++) {
			this.schedulers.push(NaiveScheduler.create({
				random: SeededRandom.create(options.seed + index),
				listWorkers: pool => simulation.listWorkers(pool),
			}));
		}
	}

	override readTraffic(): {messages: number; bytes: number} {
		return {messages: 0, bytes: 0};
	}
}
