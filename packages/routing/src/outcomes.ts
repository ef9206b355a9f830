/**
 * Counts of successes and failures by VM and caller over a sliding window.
 */

export type Counts = {successes: number; failures: number};

type Generation = Map<string, Map<string, Counts>>;

function addCounts(generation: Generation, vmId: string, caller: string, {successes, failures}: Counts): void {
	const callers = generation.get(vmId) ?? new Map<string, Counts>();
	generation.set(vmId, callers);
	const counts = callers.get(caller) ?? {successes: 0, failures: 0};
	callers.set(caller, counts);
	counts.successes += successes;
	counts.failures += failures;
}

/** Counts of the present and the last period. */
export class OutcomeWindow {
	static create(): OutcomeWindow {
		return new OutcomeWindow();
	}

	#current: Generation = new Map();
	#last: Generation = new Map();

	private constructor() {}

	add(vmId: string, caller: string, counts: Counts): void {
		addCounts(this.#current, vmId, caller, counts);
	}

	/** Begins a new period and forgets the one before the last. */
	advance(): void {
		this.#last = this.#current;
		this.#current = new Map();
	}

	removeVm(vmId: string): void {
		this.#current.delete(vmId);
		this.#last.delete(vmId);
	}

	/** Reads the counts of one VM by caller. */
	readVm(vmId: string): Map<string, Counts> {
		const merged: Generation = new Map();
		for (const generation of [this.#last, this.#current]) {
			for (const [caller, counts] of generation.get(vmId) ?? []) {
				addCounts(merged, vmId, caller, counts);
			}
		}

		return merged.get(vmId) ?? new Map<string, Counts>();
	}

	/** Part of the other VMs that a caller met at which most of its requests failed; `undefined` when it met none. */
	computeFailingPart(caller: string, exceptVmId: string): number | undefined {
		const byVm = new Map<string, Counts>();
		for (const generation of [this.#last, this.#current]) {
			for (const [vmId, callers] of generation) {
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
