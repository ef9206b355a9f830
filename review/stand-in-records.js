/**
 * Record of one play: what was sent, answered and run, in the order of time.
 */
import {writeFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';

/** Collects timed lines and writes them to a file. */
export class PlayRecord {
	static create(file) {
		return new PlayRecord(file);
	}

	#file;
	#lines = [];
	#startedAt = performance.now();

	constructor(file) {
		this.#file = file;
	}

	/** Milliseconds since the start of the play. */
	get nowMs() {
		return performance.now() - this.#startedAt;
	}

	add(text) {
		this.#lines.push(`${(this.nowMs / 1000).toFixed(3).padStart(8)} ${text}`);
	}

	save() {
		writeFileSync(this.#file, `${this.#lines.join('\n')}\n`);
	}
}
