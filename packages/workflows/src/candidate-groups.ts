/**
 * Groups the workers of a planning pass by label, so that a demand which no worker can meet is recognised without looking at each of them.
 */
import {
	addResources, isWithin, type Candidate, type Resources,
} from '@tamarackwind/scheduling';

/** The candidates with one label, or all of them. */
export class CandidateGroup<T extends Candidate> {
	static create<T extends Candidate>(): CandidateGroup<T> {
		return new CandidateGroup<T>();
	}

	readonly candidates: T[] = [];
	/** Capacities of the candidates, each once. */
	readonly #capacities: Resources[] = [];
	/** Upper bound of the free resources of each candidate; they only shrink during a pass. */
	#maxFree: Resources | undefined;

	private constructor() {}

	add(candidate: T): void {
		this.candidates.push(candidate);
		if (!this.#capacities.some(capacity => isWithin(candidate.capacity, capacity) && isWithin(capacity, candidate.capacity))) {
			this.#capacities.push(candidate.capacity);
		}
	}

	/** Reports whether a candidate could meet a demand if all of its resources were free. */
	isEligible(required: Resources): boolean {
		return this.#capacities.some(capacity => isWithin(required, capacity));
	}

	/** Reports whether some candidate may have room for a demand; `false` is certain. */
	hasPossibleRoom(required: Resources): boolean {
		this.#maxFree ??= this.#computeMaxFree();
		return isWithin(required, this.#maxFree);
	}

	/** Reports whether some candidate may have room for a demand once `released` has become free; `false` is certain. */
	hasRoomAfter(required: Resources, released: Resources): boolean {
		this.#maxFree ??= this.#computeMaxFree();
		return this.isEligible(required) && isWithin(required, addResources(this.#maxFree, released));
	}

	/** Lowers the bound of the free resources after a demand within it found no room. */
	updateMaxFree(): void {
		this.#maxFree = this.#computeMaxFree();
	}

	#computeMaxFree(): Resources {
		let cpu = Number.NEGATIVE_INFINITY;
		let memory = Number.NEGATIVE_INFINITY;
		let gpu = Number.NEGATIVE_INFINITY;
		for (const {free} of this.candidates) {
			cpu = Math.max(cpu, free.cpu);
			memory = Math.max(memory, free.memory);
			gpu = Math.max(gpu, free.gpu);
		}

		return {cpu, memory, gpu};
	}
}

/** The candidates of a pass by label. */
export class CandidateGroups<T extends Candidate> {
	static create<T extends Candidate>(candidates: readonly T[]): CandidateGroups<T> {
		return new CandidateGroups<T>(candidates);
	}

	readonly #all = CandidateGroup.create<T>();
	readonly #byLabel = new Map<string, CandidateGroup<T>>();
	readonly #empty = CandidateGroup.create<T>();

	private constructor(candidates: readonly T[]) {
		for (const candidate of candidates) {
			this.#all.add(candidate);
			for (const label of new Set(candidate.labels)) {
				const group = this.#byLabel.get(label) ?? CandidateGroup.create<T>();
				this.#byLabel.set(label, group);
				group.add(candidate);
			}
		}
	}

	/** Returns the candidates that have the label; all candidates without a label. */
	get(requirement: string | undefined): CandidateGroup<T> {
		return requirement === undefined ? this.#all : this.#byLabel.get(requirement) ?? this.#empty;
	}
}
