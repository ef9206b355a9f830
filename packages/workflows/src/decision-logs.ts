/**
 * The log of decisions: what a process has decided and what made it believe so, bounded in lines a second.
 */
import {type Clock, type Log, type LogFields} from '@tamarackwind/core';

/** Lines of one message a second beyond which further ones are only counted. */
const linesPerSecond = 20;
const windowMs = 1000;

type Window = {startedAt: number; lines: number; left: number};

/** Writes decisions, at most some lines of each message a second; the next line tells how many were left out. */
export class DecisionLog {
	static create(log: Log, clock: Clock): DecisionLog {
		return new DecisionLog(log, clock);
	}

	readonly #windows = new Map<string, Window>();
	#dropped = 0;

	private constructor(readonly log: Log, readonly clock: Clock) {}

	/** Lines left out so far. */
	get dropped(): number {
		return this.#dropped;
	}

	/** Writes a decision. */
	info(message: string, fields: LogFields = {}): void {
		this.#write('info', message, fields);
	}

	/** Writes something that an operator may have to act upon. */
	warn(message: string, fields: LogFields = {}): void {
		this.#write('warn', message, fields);
	}

	#write(level: 'info' | 'warn', message: string, fields: LogFields): void {
		const now = this.clock.readMonotonic();
		let window = this.#windows.get(message);
		let left = 0;
		if (window === undefined || now - window.startedAt >= windowMs) {
			left = window?.left ?? 0;
			window = {startedAt: now, lines: 0, left: 0};
			this.#windows.set(message, window);
		}

		if (window.lines >= linesPerSecond) {
			window.left++;
			this.#dropped++;
			return;
		}

		window.lines++;
		this.log[level](message, left === 0 ? fields : {...fields, leftOut: left});
	}
}
