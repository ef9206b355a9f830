/**
 * Random sources: the only source of randomness, replaceable by a seeded one in tests and simulations.
 */
import {randomBytes, randomUUID} from 'node:crypto';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const wordRange = 0x1_00_00_00_00;

/** A source of random numbers and tokens. */
export abstract class RandomSource {
	/** Returns a number from 0 up to but not including 1. */
	abstract readFraction(): number;

	/** Creates a unique token of 32 hexadecimal digits. */
	abstract createToken(): string;

	/** Returns an integer from 0 up to but not including `limit`. */
	pickIndex(limit: number): number {
		return Math.floor(this.readFraction() * limit);
	}

	/** Returns a random item of `items`, or `undefined` if it is empty. */
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

/** A random source that yields the same sequence for the same seed. */
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
