/**
 * Fault injection for fakes of the platform's services.
 */
import {VerdictError} from '@tamarackwind/core';

export type Faults = {
	/** Rejects every call before it takes effect. */
	readonly isDown?: boolean;
	/** Delays every call by this many milliseconds. */
	readonly delayMs?: number;
	/** Number of upcoming writes that take effect and whose response is lost. */
	readonly lostAnswers?: number;
};

/** Holds the active faults and applies them before and after a call. */
export class FaultInjector {
	static create(): FaultInjector {
		return new FaultInjector();
	}

	#faults: Faults = {};
	#lostAnswers = 0;

	/** Replaces the active faults; an empty object clears them. */
	setFaults(faults: Faults): void {
		this.#faults = faults;
		this.#lostAnswers = faults.lostAnswers ?? 0;
	}

	/** Applies the faults that occur before a call takes effect. */
	async applyBeforeCall(): Promise<void> {
		if (this.#faults.delayMs !== undefined) {
			await new Promise(resolve => {
				setTimeout(resolve, this.#faults.delayMs);
			});
		}

		if (this.#faults.isDown) {
			throw new VerdictError('platform is down', {verdict: 'not-run', code: 'platform_unavailable'});
		}
	}

	/** Applies the faults that occur after a write took effect. */
	applyAfterWrite(): void {
		if (this.#lostAnswers > 0) {
			this.#lostAnswers--;
			throw new VerdictError('answer of the platform was lost', {verdict: 'may-have-run', code: 'platform_unavailable'});
		}
	}
}
