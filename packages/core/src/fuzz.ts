/**
 * Seeds and run counts of property tests.
 */
import process from 'node:process';

/** Parameters of a property test. */
export type FuzzParameters = {readonly seed: number; readonly numRuns: number};

const defaultRunCount = 300;

/**
 * Returns the fixed seed and run count of a property test, or those set by `npm run fuzz`.
 *
 * @example
 * fc.assert(property, readFuzzParameters(1));
 */
export function readFuzzParameters(seed: number, numRuns = defaultRunCount): FuzzParameters {
	return {seed: Number(process.env.FUZZ_SEED ?? seed), numRuns: Number(process.env.FUZZ_RUNS ?? numRuns)};
}
