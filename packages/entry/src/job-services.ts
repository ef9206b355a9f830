/**
 * Jobs on an entry: requests of callers and operators, and scheduling while this entry holds the scheduler lease.
 */
import {Loop} from '@tamarackwind/core';
import {
	createPlacementNode, JobSchedulerLease, explainUnplaceable, JobScheduler, JobClient, type JobSpec,
} from '@tamarackwind/jobs';
import {type VmRecord} from '@tamarackwind/clients';
import {Gauge} from 'prom-client';
import {type EntryContext} from './contexts.js';
import {registerCounter} from './metrics.js';

const leaseRefreshIntervalMs = 500;
const schedulingIntervalMs = 250;
const runRenewalIntervalMs = 1000;
const vmListIntervalMs = 1000;

/** Job components of an entry. */
export class JobService {
	static create(ctx: EntryContext): JobService {
		return new JobService(ctx);
	}

	readonly client: JobClient;
	readonly scheduler: JobScheduler;
	readonly lease: JobSchedulerLease;
	readonly #ctx: EntryContext;
	readonly #loops: readonly Loop[];
	#listedVms: readonly VmRecord[] = [];
	#failedRuns = 0;

	private constructor(ctx: EntryContext) {
		const {
			clock, random, log, platform, config, settings,
		} = ctx;
		const {tables, objects, tasks} = platform;
		this.#ctx = ctx;
		this.client = JobClient.create({
			clock, random, tables, objects, explainUnplaceable: spec => this.#explainUnplaceable(spec),
		});
		this.lease = JobSchedulerLease.create({
			clock, random, tables, holder: config.entryId,
		});
		this.scheduler = JobScheduler.create({
			clock, random, log, tables, objects, tasks, schedulerLease: this.lease, listWorkers: () => this.#listWorkers(), readQuotas: () => settings.current?.teams ?? new Map(),
		});
		this.#registerMetrics();
		this.#loops = [
			this.#createLoop(vmListIntervalMs, async () => this.#refreshList()),
			this.#createLoop(leaseRefreshIntervalMs, async () => this.lease.refresh()),
			this.#createLoop(schedulingIntervalMs, async () => this.scheduler.runTurn()),
			this.#createLoop(runRenewalIntervalMs, async () => this.scheduler.renewRuns()),
		];
	}

	async close(): Promise<void> {
		await Promise.all(this.#loops.map(async loop => loop.close()));
		await this.#releaseLease();
	}

	/** Releases the scheduler lease. If the table service is unavailable, another entry acquires the lease after it expires. */
	async #releaseLease(): Promise<void> {
		try {
			await this.lease.release();
		} catch {
			this.#failedRuns++;
		}
	}

	#createLoop(intervalMs: number, run: () => Promise<void>): Loop {
		return Loop.create({
			clock: this.#ctx.clock, intervalMs, run, onError: () => {
				this.#failedRuns++;
			},
		});
	}

	async #refreshList(): Promise<void> {
		const {vms} = await this.#ctx.platform.vmList.listVms();
		this.#listedVms = vms.filter(vm => vm.kind === 'worker');
	}

	/** Lists the workers with their pools. A live worker that serves no pool is listed as leaving. */
	#listWorkers(): readonly VmRecord[] {
		const {settings, fleet} = this.#ctx;
		const pools = [...settings.current?.pools.keys() ?? []];
		const poolsByWorker = new Map(pools.flatMap(pool => fleet.listWorkers(pool).map(worker => [worker.vmId as string, pool] as const)));
		return this.#listedVms.map(vm => poolsByWorker.has(vm.vmId)
			? {...vm, pool: poolsByWorker.get(vm.vmId)}
			: {...vm, state: vm.state === 'live' ? 'leaving' : vm.state});
	}

	#explainUnplaceable(spec: JobSpec): string | undefined {
		const workers = this.#listWorkers();
		if (workers.length === 0) {
			return undefined;
		}

		const size = {cores: spec.cores, memoryMb: spec.memoryMb, accelerators: spec.accelerators};
		return explainUnplaceable({size, spec, excludedVms: new Set()}, workers.map(vm => createPlacementNode(vm)));
	}

	#registerMetrics(): void {
		const {registry} = this.#ctx;
		const counters = {
			starts: 'Starts of jobs that were sent to workers',
			evictions: 'Runs that were checkpointed and stopped to make room',
			throttles: 'Runs whose processors were limited',
			restarts: 'Runs that ended without a result and are followed by another',
			mayHaveRun: 'Jobs that ended as may-have-run',
			reads: 'Rows of jobs that were read from the table service',
			commits: 'Transactions on jobs that were sent to the table service',
			failedCalls: 'Calls to workers that failed',
		} as const;
		for (const [name, help] of Object.entries(counters) as Array<[keyof typeof counters, string]>) {
			registerCounter(registry, `tamarackwind_jobs_${formatMetricName(name)}_total`, help, () => this.scheduler.counts[name]);
		}

		registerCounter(registry, 'tamarackwind_jobs_failed_turns_total', 'Turns of the jobs\' loops that failed', () => this.#failedRuns);
		this.#registerGauge('tamarackwind_jobs_queued', 'Jobs that wait, on the entry that holds the duty', () => this.scheduler.counts.queued);
		this.#registerGauge('tamarackwind_jobs_running', 'Runs that the entry looks after', () => this.scheduler.counts.running);
		this.#registerGauge('tamarackwind_jobs_set_aside', 'Workers that get no jobs for their failures', () => this.scheduler.counts.setAside);
		this.#registerGauge('tamarackwind_jobs_duty', 'Whether the entry schedules jobs', () => this.lease.isHeld() ? 1 : 0);
	}

	#registerGauge(name: string, help: string, read: () => number): void {
		this.#ctx.registry.registerMetric(new Gauge({
			name,
			help,
			registers: [],
			collect() {
				this.set(read());
			},
		}));
	}
}

function formatMetricName(name: string): string {
	return name.replaceAll(/[A-Z]/gv, letter => `_${letter.toLowerCase()}`);
}
