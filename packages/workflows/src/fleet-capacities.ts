/**
 * Capacity of the VMs of all pools, by which demand is recognised that no move of VMs can meet.
 */
import {
	countPlaces, isEligible, type Resources, type StepSpec,
} from '@tamarackwind/scheduling';
import {type FleetVm} from './workers.js';

/** VMs with the same labels and resources. */
type VmKind = {readonly labels: readonly string[]; readonly capacity: Resources; readonly free: Resources; count: number};

/** What the VMs of a fleet could hold if nothing ran on them. */
export class FleetCapacity {
	static create(vms: ReadonlyArray<Pick<FleetVm, 'labels' | 'capacity'>>): FleetCapacity {
		const kinds = new Map<string, VmKind>();
		for (const {labels, capacity} of vms) {
			const {cpu, memory, gpu} = capacity;
			const key = JSON.stringify([cpu, memory, gpu, ...labels]);
			const kind = kinds.get(key) ?? {
				labels, capacity, free: capacity, count: 0,
			};
			kinds.set(key, kind);
			kind.count++;
		}

		return new FleetCapacity(kinds);
	}

	readonly #kinds: ReadonlyMap<string, VmKind>;
	readonly #known = new WeakMap<StepSpec, boolean>();

	private constructor(kinds: ReadonlyMap<string, VmKind>) {
		this.#kinds = kinds;
	}

	/** Reports whether another fleet has as many VMs of each kind. */
	isEqual(other: FleetCapacity): boolean {
		return other.#kinds.size === this.#kinds.size && [...this.#kinds].every(([key, {count}]) => other.#kinds.get(key)?.count === count);
	}

	/** Reports whether the fleet could run a task of a step, or all of them for a gang. */
	hasPlacesFor(step: StepSpec): boolean {
		const known = this.#known.get(step) ?? this.#countPlaces(step) >= (step.isGang ? step.count : 1);
		this.#known.set(step, known);
		return known;
	}

	#countPlaces(step: StepSpec): number {
		let places = 0;
		for (const kind of this.#kinds.values()) {
			places += isEligible(kind, step) ? countPlaces(step, [kind]) * kind.count : 0;
		}

		return places;
	}
}
