/**
 * Switches that make a stand-in of the platform fail.
 */
import {VerdictError} from '@tamarackwind/core';

export type Faults = {
	/** Refuses every call before it takes effect. */
	readonly isDown?: boolean;
	/** Delays every call by this many milliseconds. */
	readonly delayMs?: number;
	/** Number of further writes whose answers are lost after they took effect. */
	readonly lostAnswers?: number;
};

/** Holds the faults in force and applies them around a call. */
export class FaultSwitch {
	static create(): FaultSwitch {
		return new FaultSwitch();
	}

	#faults: Faults = {};
	#lostAnswers = 0;

	/** Replaces the faults in force; an empty object ends them all. */
	setFaults(faults: Faults): void {
		this.#faults = faults;
		this.#lostAnswers = faults.lostAnswers ?? 0;
	}

	/** Applies the faults that come before a call takes effect. */
	async applyBefore(): Promise<void> {
		if (this.#faults.delayMs !== undefined) {
			await new Promise(resolve => {
				setTimeout(resolve, this.#faults.delayMs);
			});
		}

		if (this.#faults.isDown) {
			throw new VerdictError('platform is down', {verdict: 'not-run', code: 'platform_unavailable'});
		}
	}

	/** Applies the faults that come after a write took effect. */
	applyAfterWrite(): void {
		if (this.#lostAnswers > 0) {
			this.#lostAnswers--;
			throw new VerdictError('answer of the platform was lost', {verdict: 'may-have-run', code: 'platform_unavailable'});
		}
	}
}
