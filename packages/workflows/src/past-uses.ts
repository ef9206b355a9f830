/**
 * Averages of what accounts have used over the last seconds.
 */
import {type AccountName, type Clock} from '@tamarackwind/core';
import {addResources, noResources, type Resources} from '@tamarackwind/scheduling';

/** Time in which the weight of past use falls to a third, in milliseconds: some tasks of the shortest kinds, and less than a burst of demand. */
const decayMs = 3000;
/** Amount below which the average of an account that uses nothing is dropped, in thousandths of a core and MB. */
const negligible = 1;

type PastUse = {average: Resources; used: Resources; at: number};

/** Exponentially weighted averages of the use of each account. */
export class PastUses {
	static create(clock: Pick<Clock, 'readMonotonic'>): PastUses {
		return new PastUses(clock);
	}

	readonly #pasts = new Map<AccountName | undefined, PastUse>();

	private constructor(private readonly clock: Pick<Clock, 'readMonotonic'>) {}

	/** Notes what an account uses from now on. */
	record(account: AccountName | undefined, used: Resources): void {
		const past = this.#pasts.get(account);
		if (past === undefined) {
			this.#pasts.set(account, {average: noResources, used, at: this.clock.readMonotonic()});
		} else {
			this.#advance(past);
			past.used = used;
		}
	}

	/** Returns the average use of an account. */
	get(account: AccountName | undefined): Resources {
		const past = this.#pasts.get(account);
		if (past === undefined) {
			return noResources;
		}

		this.#advance(past);
		const {average, used} = past;
		if (used.cpu + used.memory + used.gpu === 0 && average.cpu + average.memory < negligible) {
			this.#pasts.delete(account);
		}

		return average;
	}

	#advance(past: PastUse): void {
		const now = this.clock.readMonotonic();
		if (now > past.at) {
			const kept = Math.exp((past.at - now) / decayMs);
			past.average = addResources(past.used, addResources(past.average, past.used, -1), kept);
			past.at = now;
		}
	}
}
