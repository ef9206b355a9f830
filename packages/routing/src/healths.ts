/**
 * Health of workers: which VMs are set aside on the evidence of all entries, and when they are probed.
 */
import {type Clock, type PoolName} from '@tamarackwind/core';
import {type PeerBus, type VmOutcomes} from '@tamarackwind/peer';
import {type VmRecord} from '@tamarackwind/clients';
import {OutcomeWindow, type Counts} from './outcomes.js';

export type HealthTrackerOptions = {
	readonly clock: Clock;
	readonly bus: PeerBus;
	/** Called when a VM is set aside or taken back. */
	readonly onChange?: (vmId: string, isSetAside: boolean) => void;
};

/** Half of the window over which outcomes count. */
const periodMs = 5000;
/** Failures, weighed by how well their callers fare elsewhere, that set a VM aside. */
const minWeighedFailures = 3;
const minFailedPart = 0.5;
const firstProbeDelayMs = 1000;
const maxProbeDelayMs = 30_000;
const probeGapMs = 200;
/** Time within which a probe must have ended before another may start. */
const probeTimeoutMs = 10_000;
const successfulProbesToRestore = 3;
/** Failures that a caller which met no other VM counts for. */
const loneCallerFailures = 1;

type Aside = {
	readonly pool: PoolName;
	delayMs: number;
	nextProbeAt: number;
	probeEndsBy: number;
	successes: number;
};

/**
 * Tracks outcomes by VM. A failure counts less the more its caller fails on other VMs, so that a request which breaks
 * each worker it meets is no evidence against the workers.
 */
export class HealthTracker {
	static create(options: HealthTrackerOptions): HealthTracker {
		return new HealthTracker(options);
	}

	readonly #options: HealthTrackerOptions;
	readonly #window = OutcomeWindow.create();
	readonly #asides = new Map<string, Aside>();
	readonly #failing = new Map<string, number>();
	readonly #suspects = new Map<string, number>();
	readonly #incarnations = new Map<string, string>();
	readonly #pools = new Map<string, {readonly pool: PoolName; readonly maxAside: number}>();
	#unsent = new Map<string, Map<string, Counts>>();
	#rotatedAt: number;

	private constructor(options: HealthTrackerOptions) {
		this.#options = options;
		this.#rotatedAt = options.clock.readMonotonic();
		options.bus.subscribe('healthEvidence', (_from, {healthEvidence}) => {
			for (const outcomes of healthEvidence.vms) {
				this.#receive(outcomes);
			}
		});
	}

	/** Takes the platform's list of a pool; a VM with a new incarnation starts clean. */
	noteListing(pool: PoolName, workers: readonly VmRecord[], maxSetAside: number): void {
		const maxAside = Math.floor(workers.length * maxSetAside);
		for (const {vmId, incarnation} of workers) {
			this.#pools.set(vmId, {pool, maxAside});
			if (this.#incarnations.get(vmId) !== incarnation) {
				this.#incarnations.set(vmId, incarnation);
				this.#clearVm(vmId);
			}
		}
	}

	isSetAside(vmId: string): boolean {
		return this.#asides.has(vmId);
	}

	/** Tells whether a VM fails most of its work, but may not be set aside with as many as are. */
	isFailing(vmId: string): boolean {
		const failedAt = this.#failing.get(vmId);
		return failedAt !== undefined && this.#options.clock.readMonotonic() - failedAt < periodMs;
	}

	/** Counts the VMs of a pool that are set aside. */
	countSetAside(pool: PoolName): number {
		return [...this.#asides.values()].filter(aside => aside.pool === pool).length;
	}

	/** Tells whether a VM that is set aside may get one request now; any request may probe once the idempotent ones stay away. */
	isProbeDue(vmId: string, isIdempotent: boolean): boolean {
		const aside = this.#asides.get(vmId);
		const now = this.#options.clock.readMonotonic();
		if (aside === undefined || now < aside.probeEndsBy) {
			return false;
		}

		return now >= aside.nextProbeAt + (isIdempotent ? 0 : 3 * aside.delayMs);
	}

	/** Marks that a probe has started. */
	beginProbe(vmId: string): void {
		const aside = this.#asides.get(vmId);
		if (aside !== undefined) {
			aside.probeEndsBy = this.#options.clock.readMonotonic() + probeTimeoutMs;
		}
	}

	/** Counts the outcome of one dispatch of this entry. */
	noteOutcome(vmId: string, caller: string, isSuccess: boolean): void {
		const counts = isSuccess ? {successes: 1, failures: 0} : {successes: 0, failures: 1};
		this.#count(vmId, caller, counts);
		const callers = this.#unsent.get(vmId) ?? new Map<string, Counts>();
		this.#unsent.set(vmId, callers);
		const unsent = callers.get(caller) ?? {successes: 0, failures: 0};
		callers.set(caller, {successes: unsent.successes + counts.successes, failures: unsent.failures + counts.failures});
	}

	/** Tells the peers what is new about VMs and callers that have failed; call it several times a second. */
	flush(): void {
		this.#advanceWindow();
		const vms = [...this.#unsent].flatMap(([vmId, callers]) => this.#collectEvidence(vmId, callers));
		if (vms.length > 0) {
			this.#options.bus.sendToAll({$case: 'healthEvidence', healthEvidence: {vms}});
		}
	}

	#collectEvidence(vmId: string, callers: Map<string, Counts>): VmOutcomes[] {
		const isVmSuspect = this.#suspects.has(`vm ${vmId}`);
		const news = [...callers].filter(([caller]) => isVmSuspect || this.#suspects.has(`caller ${caller}`));
		for (const [caller] of news) {
			callers.delete(caller);
		}

		return news.length === 0
			? []
			: [{
				vmId,
				incarnation: this.#incarnations.get(vmId) ?? '',
				callers: news.map(([caller, counts]) => ({caller, ...counts})),
			}];
	}

	#advanceWindow(): void {
		const now = this.#options.clock.readMonotonic();
		if (now - this.#rotatedAt < periodMs) {
			return;
		}

		this.#rotatedAt = now;
		this.#window.advance();
		this.#unsent = new Map();
		for (const [name, failedAt] of this.#suspects) {
			if (now - failedAt > 2 * periodMs) {
				this.#suspects.delete(name);
			}
		}
	}

	#receive({vmId, incarnation, callers}: VmOutcomes): void {
		const known = this.#incarnations.get(vmId);
		if (known !== undefined && known !== incarnation) {
			return;
		}

		for (const {caller, successes, failures} of callers) {
			this.#count(vmId, caller, {successes, failures});
		}
	}

	#count(vmId: string, caller: string, counts: Counts): void {
		this.#window.add(vmId, caller, counts);
		if (counts.failures > 0) {
			const now = this.#options.clock.readMonotonic();
			this.#suspects.set(`vm ${vmId}`, now);
			this.#suspects.set(`caller ${caller}`, now);
		}

		const aside = this.#asides.get(vmId);
		if (aside !== undefined) {
			this.#updateProbes(vmId, aside, counts);
		} else if (counts.failures > 0) {
			this.#checkEvidence(vmId);
		}
	}

	#updateProbes(vmId: string, aside: Aside, {successes, failures}: Counts): void {
		const now = this.#options.clock.readMonotonic();
		aside.probeEndsBy = 0;
		if (failures > 0) {
			aside.successes = 0;
			if (now >= aside.nextProbeAt) {
				aside.delayMs = Math.min(maxProbeDelayMs, aside.delayMs * 2);
				aside.nextProbeAt = now + aside.delayMs;
			}

			return;
		}

		if (now < aside.nextProbeAt) {
			return;
		}

		aside.successes += successes;
		aside.nextProbeAt = now + probeGapMs;
		if (aside.successes >= successfulProbesToRestore) {
			this.#clearVm(vmId);
			this.#options.onChange?.(vmId, false);
		}
	}

	#checkEvidence(vmId: string): void {
		const limits = this.#pools.get(vmId);
		if (limits === undefined) {
			return;
		}

		let successes = 0;
		let weighed = 0;
		for (const [caller, counts] of this.#window.readVm(vmId)) {
			successes += counts.successes;
			if (counts.failures > 0) {
				weighed += this.#computeWeight(vmId, caller, counts.failures);
			}
		}

		if (weighed < minWeighedFailures || weighed / (weighed + successes) < minFailedPart) {
			return;
		}

		if (this.countSetAside(limits.pool) >= limits.maxAside) {
			this.#failing.set(vmId, this.#options.clock.readMonotonic());
		} else {
			this.#asides.set(vmId, {
				pool: limits.pool,
				delayMs: firstProbeDelayMs,
				nextProbeAt: this.#options.clock.readMonotonic() + firstProbeDelayMs,
				probeEndsBy: 0,
				successes: 0,
			});
			this.#options.onChange?.(vmId, true);
		}
	}

	#computeWeight(vmId: string, caller: string, failures: number): number {
		const failingPart = this.#window.computeFailingPart(caller, vmId);
		return failingPart === undefined ? Math.min(failures, loneCallerFailures) : failures * (1 - failingPart);
	}

	#clearVm(vmId: string): void {
		this.#asides.delete(vmId);
		this.#failing.delete(vmId);
		this.#window.removeVm(vmId);
		this.#suspects.delete(`vm ${vmId}`);
		this.#unsent.delete(vmId);
	}
}
