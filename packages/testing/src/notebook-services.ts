/**
 * Implements the sample services of the Riga Notebook Platform: notebook cells, model refits and report refreshes.
 */
import {SeededRandom} from '@tamarackwind/core';

export type CellRequest = {
	readonly analyst: string;
	/** Exposures of a portfolio. */
	readonly exposures: readonly number[];
	readonly seed: number;
	readonly draws: number;
};

/** Simulated loss of a portfolio. */
export type CellResponse = {readonly analyst: string; readonly meanLoss: number; readonly valueAtRisk: number};

export type RefitRequest = {readonly analyst: string; readonly points: ReadonlyArray<readonly [x: number, y: number]>};

/** Least-squares line through the points. */
export type RefitResponse = {readonly analyst: string; readonly slope: number; readonly intercept: number};

export type RefreshRequest = {readonly analyst: string; readonly workbook: string; readonly figures: readonly number[]};

export type RefreshResponse = {readonly analyst: string; readonly workbook: string; readonly total: number};

const valueAtRiskQuantile = 0.99;

/** Probability of a loss in each draw. */
const lossProbability = 0.1;

/** Simulates the losses of a portfolio by Monte Carlo sampling. */
export function runCell({analyst, exposures, seed, draws}: CellRequest): CellResponse {
	const random = SeededRandom.create(seed);
	const losses = Array.from({length: draws}, () => {
		let loss = 0;
		for (const exposure of exposures) {
			loss += random.readFraction() < lossProbability ? exposure : 0;
		}

		return loss;
	});
	losses.sort((a, b) => a - b);
	let sum = 0;
	for (const loss of losses) {
		sum += loss;
	}

	return {analyst, meanLoss: sum / draws, valueAtRisk: losses[Math.floor(draws * valueAtRiskQuantile)]!};
}

/** Fits a line to points by least squares. */
export function runRefit({analyst, points}: RefitRequest): RefitResponse {
	let [sumX, sumY, sumXx, sumXy] = [0, 0, 0, 0];
	for (const [x, y] of points) {
		sumX += x;
		sumY += y;
		sumXx += x * x;
		sumXy += x * y;
	}

	const slope = ((points.length * sumXy) - (sumX * sumY)) / ((points.length * sumXx) - (sumX * sumX));
	return {analyst, slope, intercept: (sumY - (slope * sumX)) / points.length};
}

/** Computes the total that a refresh writes into a shared workbook. */
export function runRefresh({analyst, workbook, figures}: RefreshRequest): RefreshResponse {
	let total = 0;
	for (const figure of figures) {
		total += figure;
	}

	return {analyst, workbook, total};
}
