/**
 * Logs the decisions of a process and their inputs, with a rate limit for each message.
 */
import {type Clock, type Log, type LogFields} from '@tamarackwind/core';

/** Maximum number of lines per second with the same message; further lines are dropped and counted. */
const maxLinesPerSecond = 20;
const windowMs = 1000;

type Window = {startedAt: number; lines: number; dropped: number};

/** Rate-limited log of decisions; the first line after a limited window reports how many were dropped. */
export class RateLimitedLog {
	static create(log: Log, clock: Clock): RateLimitedLog {
		return new RateLimitedLog(log, clock);
	}

	readonly #windows = new Map<string, Window>();
	#dropped = 0;

	private constructor(readonly log: Log, readonly clock: Clock) {}

	/** Total number of dropped lines. */
	get dropped(): number {
		return this.#dropped;
	}

	/** Logs a decision. */
	info(message: string, fields: LogFields = {}): void {
		this.#write('info', message, fields);
	}

	/** Logs an event that may require action by an operator. */
	warn(message: string, fields: LogFields = {}): void {
		this.#write('warn', message, fields);
	}

	#write(level: 'info' | 'warn', message: string, fields: LogFields): void {
		const now = this.clock.readMonotonic();
		let window = this.#windows.get(message);
		let droppedBefore = 0;
		if (window === undefined || now - window.startedAt >= windowMs) {
			droppedBefore = window?.dropped ?? 0;
			window = {startedAt: now, lines: 0, dropped: 0};
			this.#windows.set(message, window);
		}

		if (window.lines >= maxLinesPerSecond) {
			window.dropped++;
			this.#dropped++;
			return;
		}

		window.lines++;
		this.log[level](message, droppedBefore === 0 ? fields : {...fields, leftOut: droppedBefore});
	}
}
