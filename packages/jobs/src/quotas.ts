/**
 * Tracks the resources that teams use against their quotas, including what they borrow from other teams.
 */
import {type TaskResources} from '@tamarackwind/clients';
import {workClasses, type WorkClass} from '@tamarackwind/settings';
import {
	addResources, computeDominantShare, diffResources, isWithin, sumResources,
} from './nodes.js';

/** Team of the jobs whose caller has none; its quota is the capacity that the other quotas leave. */
export const noTeam = '';

/** Resources that a job allocates from its team's quota. */
export type TeamAllocation = {
	readonly team: string;
	readonly workClass: WorkClass;
	readonly size: TaskResources;
	readonly startedAt: number;
	readonly canCheckpoint: boolean;
};

const noResources: TaskResources = {cores: 0, memoryMb: 0, accelerators: 0};

/** Sums the resources of each team and compares them to its quota. Without quotas every team is entitled to any amount. */
export class QuotaUsage {
	/** Creates a record without any use; `capacity` is that of the whole fleet. */
	static create(quotas: ReadonlyMap<string, TaskResources>, capacity: TaskResources): QuotaUsage {
		return new QuotaUsage(quotas, capacity);
	}

	readonly #quotas: Map<string, TaskResources>;
	readonly #usedByTeam = new Map<string, TaskResources>();
	readonly #isLimited: boolean;

	private constructor(quotas: ReadonlyMap<string, TaskResources>, capacity: TaskResources) {
		const unassigned = diffResources(capacity, sumResources([...quotas.values()]));
		this.#quotas = new Map([[noTeam, unassigned], ...quotas]);
		this.#isLimited = quotas.size > 0;
	}

	/** Adds the resources of a run. */
	add(team: string, size: TaskResources): void {
		this.#usedByTeam.set(team, addResources(this.#usedByTeam.get(team) ?? noResources, size));
	}

	/** Subtracts the resources of a run. */
	remove(team: string, size: TaskResources): void {
		this.#usedByTeam.set(team, diffResources(this.#usedByTeam.get(team) ?? noResources, size));
	}

	/** Reports whether a team's quota covers `size` in addition to its current use. */
	isEntitled(team: string, size: TaskResources): boolean {
		return !this.#isLimited || isWithin(addResources(this.#usedByTeam.get(team) ?? noResources, size), this.#readQuota(team));
	}

	/** Reports whether a team uses more than its quota. */
	isBorrowing(team: string): boolean {
		return this.#isLimited && !isWithin(this.#usedByTeam.get(team) ?? noResources, this.#readQuota(team));
	}

	/** Computes the dominant share of its quota that a team uses. */
	computeShare(team: string): number {
		return computeDominantShare(this.#usedByTeam.get(team) ?? noResources, this.#readQuota(team));
	}

	#readQuota(team: string): TaskResources {
		return this.#quotas.get(team) ?? this.#quotas.get(noTeam)!;
	}
}

/** Compares allocations in the order of reclaiming: the least urgent class first, within a class the latest start first. */
export function compareForReclaim(a: TeamAllocation, b: TeamAllocation): number {
	return workClasses.indexOf(b.workClass) - workClasses.indexOf(a.workClass) || b.startedAt - a.startedAt;
}
