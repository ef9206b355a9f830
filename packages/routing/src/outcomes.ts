/**
 * Counts of successes and failures by VM and caller over a sliding window.
 */

export type OutcomeCounts = {successes: number; failures: number};

type PeriodCounts = Map<string, Map<string, OutcomeCounts>>;

function addCounts(period: PeriodCounts, vmId: string, caller: string, {successes, failures}: OutcomeCounts): void {
	const callers = period.get(vmId) ?? new Map<string, OutcomeCounts>();
	period.set(vmId, callers);
	const counts = callers.get(caller) ?? {successes: 0, failures: 0};
	callers.set(caller, counts);
	counts.successes += successes;
	counts.failures += failures;
}

/** Counts of the current and the previous period. */
export class OutcomeWindow {
	static create(): OutcomeWindow {
		return new OutcomeWindow();
	}

	#current: PeriodCounts = new Map();
	#previous: PeriodCounts = new Map();

	private constructor() {}

	add(vmId: string, caller: string, counts: OutcomeCounts): void {
		addCounts(this.#current, vmId, caller, counts);
	}

	/** Starts a new period and discards the oldest one. */
	advance(): void {
		this.#previous = this.#current;
		this.#current = new Map();
	}

	removeVm(vmId: string): void {
		this.#current.delete(vmId);
		this.#previous.delete(vmId);
	}

	/** Returns the counts of one VM by caller. */
	readVm(vmId: string): Map<string, OutcomeCounts> {
		const merged: PeriodCounts = new Map();
		for (const period of [this.#previous, this.#current]) {
			for (const [caller, counts] of period.get(vmId) ?? []) {
				addCounts(merged, vmId, caller, counts);
			}
		}

		return merged.get(vmId) ?? new Map<string, OutcomeCounts>();
	}

	/** Computes the share of a caller's other VMs on which most of its requests failed; `undefined` if it used no other. */
	computeFailingShare(caller: string, exceptVmId: string): number | undefined {
		const byVm = new Map<string, OutcomeCounts>();
		for (const period of [this.#previous, this.#current]) {
			for (const [vmId, callers] of period) {
				const counts = callers.get(caller);
				if (vmId !== exceptVmId && counts !== undefined) {
					const sum = byVm.get(vmId) ?? {successes: 0, failures: 0};
					byVm.set(vmId, {successes: sum.successes + counts.successes, failures: sum.failures + counts.failures});
				}
			}
		}

		const failing = [...byVm.values()].filter(counts => counts.failures > counts.successes).length;
		return byVm.size === 0 ? undefined : failing / byVm.size;
	}
}
