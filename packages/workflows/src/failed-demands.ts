/**
 * Remembers the demands for which a planning pass found no place, so that steps which ask for at least as much cost constant work.
 */
import {type Demand} from './demands.js';
import {type WaitReason} from './wait-reasons.js';

/** Maximum number of demands by requirement to which a further one is compared: bounds the cost of many different demands. */
const maxCompared = 8;

type FailureGroup = {
	readonly reasons: Map<string, WaitReason>;
	/** Demands of which none asks for as much as another. */
	smallest: Demand[];
};

/** Holds the failed demands of one pass, during which free resources only shrink. */
export class FailedDemands {
	static create(): FailedDemands {
		return new FailedDemands();
	}

	readonly #groups = new Map<string | undefined, FailureGroup>();

	private constructor() {}

	/** Returns the reason for which a demand, or one that asks for no more, found no place; `undefined` if none is known. */
	getReason(demand: Demand): WaitReason | undefined {
		const group = this.#groups.get(demand.requirement);
		if (group === undefined) {
			return undefined;
		}

		const known = group.reasons.get(demand.key);
		const smaller = known === undefined ? group.smallest.find(failed => failed.isAtMost(demand)) : undefined;
		return known ?? (smaller === undefined ? undefined : group.reasons.get(smaller.key));
	}

	add(demand: Demand, reason: WaitReason): void {
		const group = this.#groups.get(demand.requirement) ?? {reasons: new Map<string, WaitReason>(), smallest: []};
		this.#groups.set(demand.requirement, group);
		group.reasons.set(demand.key, reason);
		group.smallest = [...group.smallest.filter(other => !demand.isAtMost(other)), demand].slice(-maxCompared);
	}
}
