/**
 * Seeds and runs of tests by generated cases.
 */
import process from 'node:process';

/** Parameters of a property test. */
export type FuzzParameters = {readonly seed: number; readonly numRuns: number};

const defaultRuns = 300;

/**
 * Gives a property test its own fixed seed, or what `npm run fuzz` sets.
 *
 * @example
 * fc.assert(property, readFuzzParameters(1));
 */
export function readFuzzParameters(seed: number, numRuns = defaultRuns): FuzzParameters {
	return {seed: Number(process.env.FUZZ_SEED ?? seed), numRuns: Number(process.env.FUZZ_RUNS ?? numRuns)};
}
