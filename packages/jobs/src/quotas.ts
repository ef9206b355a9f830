/**
 * Quotas of teams: what each holds, what it may hold by right, and what it has borrowed.
 */
import {type TaskResources} from '@tamarackwind/clients';
import {workClasses, type WorkClass} from '@tamarackwind/settings';
import {
	addResources, computeDominantShare, diffResources, isWithin, sumResources,
} from './nodes.js';

/** Team of the jobs whose caller has none; it may hold what the others' quotas leave. */
export const noTeam = '';

/** Something that holds resources of a team. */
export type TeamUse = {
	readonly team: string;
	readonly workClass: WorkClass;
	readonly size: TaskResources;
	readonly startedAt: number;
	readonly canCheckpoint: boolean;
};

const emptySize: TaskResources = {cores: 0, memoryMb: 0, accelerators: 0};

/** Counts what teams hold against their quotas. Without quotas everything is held by right. */
export class QuotaBook {
	/** `capacity` is the whole fleet's. */
	static create(quotas: ReadonlyMap<string, TaskResources>, capacity: TaskResources): QuotaBook {
		return new QuotaBook(quotas, capacity);
	}

	readonly #quotas: Map<string, TaskResources>;
	readonly #held = new Map<string, TaskResources>();
	readonly #isLimited: boolean;

	private constructor(quotas: ReadonlyMap<string, TaskResources>, capacity: TaskResources) {
		const rest = diffResources(capacity, sumResources([...quotas.values()]));
		this.#quotas = new Map([[noTeam, rest], ...quotas]);
		this.#isLimited = quotas.size > 0;
	}

	/** Adds what a run holds. */
	add(team: string, size: TaskResources): void {
		this.#held.set(team, addResources(this.#held.get(team) ?? emptySize, size));
	}

	/** Takes away what a run held. */
	remove(team: string, size: TaskResources): void {
		this.#held.set(team, diffResources(this.#held.get(team) ?? emptySize, size));
	}

	/** Tells whether a team may hold `size` more by right. */
	isEntitled(team: string, size: TaskResources): boolean {
		return !this.#isLimited || isWithin(addResources(this.#held.get(team) ?? emptySize, size), this.#readQuota(team));
	}

	/** Tells whether a team holds more than its quota. */
	isBorrowing(team: string): boolean {
		return this.#isLimited && !isWithin(this.#held.get(team) ?? emptySize, this.#readQuota(team));
	}

	/** Largest part of its quota that a team holds. */
	computeShare(team: string): number {
		return computeDominantShare(this.#held.get(team) ?? emptySize, this.#readQuota(team));
	}

	#readQuota(team: string): TaskResources {
		return this.#quotas.get(team) ?? this.#quotas.get(noTeam)!;
	}
}

/** Orders what may be taken back: the least urgent class first, in it the most recently started. */
export function compareForReclaim(a: TeamUse, b: TeamUse): number {
	return workClasses.indexOf(b.workClass) - workClasses.indexOf(a.workClass) || b.startedAt - a.startedAt;
}
