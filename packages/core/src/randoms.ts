/**
 * Random sources: the only source of chance for every decision.
 */
import {randomBytes, randomUUID} from 'node:crypto';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const wordRange = 0x1_00_00_00_00;

/** A source of chance. */
export abstract class RandomSource {
	/** A number from 0 up to but not including 1. */
	abstract readFraction(): number;

	/** A fresh unique token of 32 hexadecimal digits. */
	abstract createToken(): string;

	/** An integer from 0 up to but not including `limit`. */
	pickIndex(limit: number): number {
		return Math.floor(this.readFraction() * limit);
	}

	/** One item of `items`, or `undefined` when there is none. */
	pickItem<T>(items: readonly T[]): T | undefined {
		return items[this.pickIndex(items.length)];
	}
}

/** The random source of the operating system. */
export class SystemRandom extends RandomSource {
	static create(): SystemRandom {
		return new SystemRandom();
	}

	override readFraction(): number {
		return randomBytes(4).readUInt32LE() / wordRange;
	}

	override createToken(): string {
		return randomUUID().replaceAll('-', '');
	}
}

/** A random source that repeats itself for the same seed. */
export class SeededRandom extends RandomSource {
	static create(seed: number): SeededRandom {
		return new SeededRandom(seed);
	}

	readonly #generator: ReturnType<typeof xoroshiro128plus>;

	private constructor(seed: number) {
		super();
		this.#generator = xoroshiro128plus(seed);
	}

	override readFraction(): number {
		return (this.#generator.next() >>> 0) / wordRange;
	}

	override createToken(): string {
		let token = '';
		while (token.length < 32) {
			token += (this.#generator.next() >>> 0).toString(16).padStart(8, '0');
		}

		return token;
	}
}
