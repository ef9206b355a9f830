/**
 * Record of a play: what was sent, answered and run, with the time since its begin.
 */
import {writeFileSync} from 'node:fs';

export class PlayRecord {
	static create() {
		return new PlayRecord();
	}

	#startedAt = performance.now();
	#lines = [];

	/** Time since the begin of the play, in milliseconds. */
	get nowMs() {
		return performance.now() - this.#startedAt;
	}

	add(text) {
		this.#lines.push(`${(this.nowMs / 1000).toFixed(3).padStart(8)} ${text}`);
	}

	save(file) {
		writeFileSync(file, `${this.#lines.join('\n')}\n`);
	}
}
