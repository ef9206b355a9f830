/**
 * Cordons of one worker, during which it gets no new work because its VM is about to be moved or maintained.
 */
import {type Clock} from '@tamarackwind/core';

export type CordonReason = 'move' | 'upkeep';

/** Holds the cordons of one worker. Each of them expires, since the answer to the order that it protects may never arrive. */
export class Cordons {
	static create(clock: Clock): Cordons {
		return new Cordons(clock);
	}

	/** Time at which the cordon for each reason expires, on the monotonic clock. */
	readonly #expiresAt = new Map<CordonReason, number>();

	private constructor(private readonly clock: Clock) {}

	/** Whether a cordon is in force. */
	get isActive(): boolean {
		const now = this.clock.readMonotonic();
		return [...this.#expiresAt.values()].some(at => now < at);
	}

	/** Reports whether the cordon for a reason is in force. */
	hasReason(reason: CordonReason): boolean {
		return this.clock.readMonotonic() < (this.#expiresAt.get(reason) ?? Number.NEGATIVE_INFINITY);
	}

	/** Cordons the worker for a reason; the cordon ends after `termMs` unless it is renewed. */
	renew(reason: CordonReason, termMs: number): void {
		this.#expiresAt.set(reason, this.clock.readMonotonic() + termMs);
	}

	/** Lifts the cordon for a reason; one for another reason stays in force. */
	clear(reason: CordonReason): void {
		this.#expiresAt.delete(reason);
	}
}
