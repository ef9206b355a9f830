/**
 * A signal that one task waits for and others set.
 */
export class Signal {
	static create(): Signal {
		return new Signal();
	}

	#isSet = false;
	#resolve: (() => void) | undefined;

	/** Wakes the waiter, or the next one if nobody waits. */
	set(): void {
		this.#isSet = true;
		this.#resolve?.();
	}

	/** Resolves once the signal is set, and clears it. */
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
