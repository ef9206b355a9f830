/**
 * Health of workers: sets VMs aside on evidence from all entries, and restores them after successful probes.
 */
import {type Clock, type PoolName} from '@tamarackwind/core';
import {type PeerBus, type VmOutcomes} from '@tamarackwind/peer';
import {type VmRecord} from '@tamarackwind/clients';
import {OutcomeWindow, type OutcomeCounts} from './outcomes.js';

export type HealthTrackerOptions = {
	readonly clock: Clock;
	readonly bus: PeerBus;
	/** Called when a VM is set aside or restored. */
	readonly onChange?: (vmId: string, isSetAside: boolean) => void;
};

/** Half the length of the sliding window of outcomes. */
const windowPeriodMs = 5000;
/** Failures at which a VM is set aside, weighted by the success of their callers on other VMs. */
const minWeightedFailures = 3;
const minFailureRatio = 0.5;
const initialProbeDelayMs = 1000;
const maxProbeDelayMs = 30_000;
const probeIntervalMs = 200;
/** Time after which an unfinished probe no longer blocks the next one. */
const probeTimeoutMs = 10_000;
const successfulProbesToRestore = 3;
/** Maximum number of failures counted for a caller that has used no other VM. */
const maxSingleVmFailures = 1;

type SetAsideVm = {
	readonly pool: PoolName;
	probeDelayMs: number;
	nextProbeAt: number;
	probeDeadline: number;
	successes: number;
};

/**
 * Tracks outcomes by VM. A failure counts less the more its caller fails on other VMs, so that a request that crashes
 * every worker is no evidence against the workers.
 */
export class HealthTracker {
	static create(options: HealthTrackerOptions): HealthTracker {
		return new HealthTracker(options);
	}

	readonly #options: HealthTrackerOptions;
	readonly #window = OutcomeWindow.create();
	readonly #setAsideVms = new Map<string, SetAsideVm>();
	readonly #failing = new Map<string, number>();
	readonly #recentFailureTimes = new Map<string, number>();
	readonly #incarnations = new Map<string, string>();
	readonly #pools = new Map<string, {readonly pool: PoolName; readonly maxSetAsideVms: number}>();
	#unsentCounts = new Map<string, Map<string, OutcomeCounts>>();
	#windowAdvancedAt: number;

	private constructor(options: HealthTrackerOptions) {
		this.#options = options;
		this.#windowAdvancedAt = options.clock.readMonotonic();
		options.bus.subscribe('healthEvidence', (_from, {healthEvidence}) => {
			for (const outcomes of healthEvidence.vms) {
				this.#receiveOutcomes(outcomes);
			}
		});
	}

	/** Applies the platform's list of a pool; clears the record of a VM with a new incarnation. */
	updateListing(pool: PoolName, workers: readonly VmRecord[], maxSetAside: number): void {
		const maxSetAsideVms = Math.floor(workers.length * maxSetAside);
		for (const {vmId, incarnation} of workers) {
			this.#pools.set(vmId, {pool, maxSetAsideVms});
			if (this.#incarnations.get(vmId) !== incarnation) {
				this.#incarnations.set(vmId, incarnation);
				this.#clearVm(vmId);
			}
		}
	}

	isSetAside(vmId: string): boolean {
		return this.#setAsideVms.has(vmId);
	}

	/** Reports whether a VM fails most of its work but is not set aside, because the pool has reached its limit. */
	isFailing(vmId: string): boolean {
		const failedAt = this.#failing.get(vmId);
		return failedAt !== undefined && this.#options.clock.readMonotonic() - failedAt < windowPeriodMs;
	}

	/** Counts the VMs of a pool that are set aside. */
	countSetAside(pool: PoolName): number {
		return [...this.#setAsideVms.values()].filter(setAsideVm => setAsideVm.pool === pool).length;
	}

	/** Reports whether a VM that is set aside is due for a probe. Non-idempotent requests probe only after three further probe delays. */
	isProbeDue(vmId: string, isIdempotent: boolean): boolean {
		const setAsideVm = this.#setAsideVms.get(vmId);
		const now = this.#options.clock.readMonotonic();
		if (setAsideVm === undefined || now < setAsideVm.probeDeadline) {
			return false;
		}

		return now >= setAsideVm.nextProbeAt + (isIdempotent ? 0 : 3 * setAsideVm.probeDelayMs);
	}

	/** Records the start of a probe. */
	beginProbe(vmId: string): void {
		const setAsideVm = this.#setAsideVms.get(vmId);
		if (setAsideVm !== undefined) {
			setAsideVm.probeDeadline = this.#options.clock.readMonotonic() + probeTimeoutMs;
		}
	}

	/** Records the outcome of one dispatch of this entry. */
	recordOutcome(vmId: string, caller: string, isSuccess: boolean): void {
		const counts = isSuccess ? {successes: 1, failures: 0} : {successes: 0, failures: 1};
		this.#countOutcomes(vmId, caller, counts);
		const callers = this.#unsentCounts.get(vmId) ?? new Map<string, OutcomeCounts>();
		this.#unsentCounts.set(vmId, callers);
		const unsent = callers.get(caller) ?? {successes: 0, failures: 0};
		callers.set(caller, {successes: unsent.successes + counts.successes, failures: unsent.failures + counts.failures});
	}

	/** Sends new outcomes of VMs and callers with recent failures to the peers; call it several times a second. */
	flush(): void {
		this.#advanceWindow();
		const vms = [...this.#unsentCounts].flatMap(([vmId, callers]) => this.#collectEvidence(vmId, callers));
		if (vms.length > 0) {
			this.#options.bus.sendToAll({$case: 'healthEvidence', healthEvidence: {vms}});
		}
	}

	#collectEvidence(vmId: string, callers: Map<string, OutcomeCounts>): VmOutcomes[] {
		const hasVmFailures = this.#recentFailureTimes.has(`vm ${vmId}`);
		const evidence = [...callers].filter(([caller]) => hasVmFailures || this.#recentFailureTimes.has(`caller ${caller}`));
		for (const [caller] of evidence) {
			callers.delete(caller);
		}

		return evidence.length === 0
			? []
			: [{
				vmId,
				incarnation: this.#incarnations.get(vmId) ?? '',
				callers: evidence.map(([caller, counts]) => ({caller, ...counts})),
			}];
	}

	#advanceWindow(): void {
		const now = this.#options.clock.readMonotonic();
		if (now - this.#windowAdvancedAt < windowPeriodMs) {
			return;
		}

		this.#windowAdvancedAt = now;
		this.#window.advance();
		this.#unsentCounts = new Map();
		for (const [name, failedAt] of this.#recentFailureTimes) {
			if (now - failedAt > 2 * windowPeriodMs) {
				this.#recentFailureTimes.delete(name);
			}
		}
	}

	#receiveOutcomes({vmId, incarnation, callers}: VmOutcomes): void {
		const known = this.#incarnations.get(vmId);
		if (known !== undefined && known !== incarnation) {
			return;
		}

		for (const {caller, successes, failures} of callers) {
			this.#countOutcomes(vmId, caller, {successes, failures});
		}
	}

	#countOutcomes(vmId: string, caller: string, counts: OutcomeCounts): void {
		this.#window.add(vmId, caller, counts);
		if (counts.failures > 0) {
			const now = this.#options.clock.readMonotonic();
			this.#recentFailureTimes.set(`vm ${vmId}`, now);
			this.#recentFailureTimes.set(`caller ${caller}`, now);
		}

		const setAsideVm = this.#setAsideVms.get(vmId);
		if (setAsideVm !== undefined) {
			this.#updateProbes(vmId, setAsideVm, counts);
		} else if (counts.failures > 0) {
			this.#checkEvidence(vmId);
		}
	}

	#updateProbes(vmId: string, setAsideVm: SetAsideVm, {successes, failures}: OutcomeCounts): void {
		const now = this.#options.clock.readMonotonic();
		setAsideVm.probeDeadline = 0;
		if (failures > 0) {
			setAsideVm.successes = 0;
			if (now >= setAsideVm.nextProbeAt) {
				setAsideVm.probeDelayMs = Math.min(maxProbeDelayMs, setAsideVm.probeDelayMs * 2);
				setAsideVm.nextProbeAt = now + setAsideVm.probeDelayMs;
			}

			return;
		}

		if (now < setAsideVm.nextProbeAt) {
			return;
		}

		setAsideVm.successes += successes;
		setAsideVm.nextProbeAt = now + probeIntervalMs;
		if (setAsideVm.successes >= successfulProbesToRestore) {
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
		let weightedFailures = 0;
		for (const [caller, counts] of this.#window.readVm(vmId)) {
			successes += counts.successes;
			if (counts.failures > 0) {
				weightedFailures += this.#computeWeightedFailures(vmId, caller, counts.failures);
			}
		}

		if (weightedFailures < minWeightedFailures || weightedFailures / (weightedFailures + successes) < minFailureRatio) {
			return;
		}

		if (this.countSetAside(limits.pool) >= limits.maxSetAsideVms) {
			this.#failing.set(vmId, this.#options.clock.readMonotonic());
		} else {
			this.#setAsideVms.set(vmId, {
				pool: limits.pool,
				probeDelayMs: initialProbeDelayMs,
				nextProbeAt: this.#options.clock.readMonotonic() + initialProbeDelayMs,
				probeDeadline: 0,
				successes: 0,
			});
			this.#options.onChange?.(vmId, true);
		}
	}

	#computeWeightedFailures(vmId: string, caller: string, failures: number): number {
		const failingShare = this.#window.computeFailingShare(caller, vmId);
		return failingShare === undefined ? Math.min(failures, maxSingleVmFailures) : failures * (1 - failingShare);
	}

	#clearVm(vmId: string): void {
		this.#setAsideVms.delete(vmId);
		this.#failing.delete(vmId);
		this.#window.removeVm(vmId);
		this.#recentFailureTimes.delete(`vm ${vmId}`);
		this.#unsentCounts.delete(vmId);
	}
}
