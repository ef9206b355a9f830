/**
 * A signal that wakes one waiter. Setting it several times before a wait has the effect of setting it once.
 */
export class Signal {
	static create(): Signal {
		return new Signal();
	}

	#isSet = false;
	#resolve: (() => void) | undefined;

	/** Sets the signal and wakes the waiter, if any; without one, the next `wait` returns immediately. */
	set(): void {
		this.#isSet = true;
		this.#resolve?.();
	}

	/** Waits until the signal is set, then clears it. */
	async wait(): Promise<void> {
		if (!this.#isSet) {
			await new Promise<void>(resolve => {
				this.#resolve = resolve;
			});
		}

		this.#resolve = undefined;
		this.#isSet = false;
	}
}
