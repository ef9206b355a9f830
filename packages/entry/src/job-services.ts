/**
 * Jobs on an entry: requests of callers and operators, and scheduling while this entry holds the scheduler lease.
 */
import {Loop} from '@tamarackwind/core';
import {
	createPlacementNode, JobDuty, explainUnplaceable, JobScheduler, JobClient, type JobSpec,
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

	readonly desk: JobClient;
	readonly controller: JobScheduler;
	readonly duty: JobDuty;
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
		this.desk = JobClient.create({
			clock, random, tables, objects, explainUnplaceable: spec => this.#explainMisfit(spec),
		});
		this.duty = JobDuty.create({
			clock, random, tables, holder: config.entryId,
		});
		this.controller = JobScheduler.create({
			clock, random, log, tables, objects, tasks, duty: this.duty, listWorkers: () => this.#listWorkers(), readQuotas: () => settings.current?.teams ?? new Map(),
		});
		this.#registerMetrics();
		this.#loops = [
			this.#createLoop(vmListIntervalMs, async () => this.#refreshList()),
			this.#createLoop(leaseRefreshIntervalMs, async () => this.duty.refresh()),
			this.#createLoop(schedulingIntervalMs, async () => this.controller.runTurn()),
			this.#createLoop(runRenewalIntervalMs, async () => this.controller.renewRuns()),
		];
	}

	async close(): Promise<void> {
		await Promise.all(this.#loops.map(async loop => loop.close()));
		await this.#releaseDuty();
	}

	/** Releases the scheduler lease. If the table service is unavailable, another entry acquires the lease after it expires. */
	async #releaseDuty(): Promise<void> {
		try {
			await this.duty.release();
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

	/** Lists the workers with their pools. A worker to which the fleet assigns no work is listed as leaving. */
	#listWorkers(): readonly VmRecord[] {
		const {settings, fleet} = this.#ctx;
		const pools = [...settings.current?.pools.keys() ?? []];
		const poolsByWorker = new Map(pools.flatMap(pool => fleet.listWorkers(pool).map(worker => [worker.vmId as string, pool] as const)));
		return this.#listedVms.map(vm => poolsByWorker.has(vm.vmId)
			? {...vm, pool: poolsByWorker.get(vm.vmId)}
			: {...vm, state: vm.state === 'live' ? 'leaving' : vm.state});
	}

	#explainMisfit(spec: JobSpec): string | undefined {
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
			registerCounter(registry, `tamarackwind_jobs_${formatMetricName(name)}_total`, help, () => this.controller.counts[name]);
		}

		registerCounter(registry, 'tamarackwind_jobs_failed_turns_total', 'Turns of the jobs\' loops that failed', () => this.#failedRuns);
		this.#registerGauge('tamarackwind_jobs_queued', 'Jobs that wait, on the entry that holds the duty', () => this.controller.counts.queued);
		this.#registerGauge('tamarackwind_jobs_running', 'Runs that the entry looks after', () => this.controller.counts.running);
		this.#registerGauge('tamarackwind_jobs_set_aside', 'Workers that get no jobs for their failures', () => this.controller.counts.setAside);
		this.#registerGauge('tamarackwind_jobs_duty', 'Whether the entry schedules jobs', () => this.duty.isHeld() ? 1 : 0);
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
