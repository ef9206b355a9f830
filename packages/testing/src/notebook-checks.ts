/**
 * Checks the responses of the notebook services independently of the code that computes them.
 */
import {
	type CellResponse, type CellRequest, type RefitResponse, type RefitRequest, type RefreshResponse, type RefreshRequest,
} from './notebook-services.js';

const tolerance = 1e-6;

function findAnalystFaults(request: {readonly analyst: string}, response: {readonly analyst: string}): string[] {
	return request.analyst === response.analyst ? [] : [`the response is for ${response.analyst}, not ${request.analyst}`];
}

/** Lists the faults of a cell's response: 0 <= mean loss <= value at risk <= sum of the exposures. */
export function findCellFaults(request: CellRequest, response: CellResponse): string[] {
	const faults = findAnalystFaults(request, response);
	const maxLoss = request.exposures.reduce((sum, exposure) => sum + exposure, 0);
	if (!(response.meanLoss >= 0 && response.meanLoss <= response.valueAtRisk && response.valueAtRisk <= maxLoss)) {
		faults.push(`losses ${response.meanLoss} and ${response.valueAtRisk} do not fit the exposures`);
	}

	return faults;
}

/** Lists the faults of a refit: the residuals of a least-squares line must sum to 0 and be orthogonal to x. */
export function findRefitFaults(request: RefitRequest, response: RefitResponse): string[] {
	const faults = findAnalystFaults(request, response);
	let sum = 0;
	let weightedSum = 0;
	for (const [x, y] of request.points) {
		const residual = y - ((response.slope * x) + response.intercept);
		sum += residual;
		weightedSum += residual * x;
	}

	if (Math.abs(sum) > tolerance * request.points.length || Math.abs(weightedSum) > tolerance * (request.points.length ** 2)) {
		faults.push(`residuals ${sum} and ${weightedSum} are not 0`);
	}

	return faults;
}

/** Lists the faults of a refresh: the total must equal the sum of the figures, for the same workbook. */
export function findRefreshFaults(request: RefreshRequest, response: RefreshResponse): string[] {
	const faults = findAnalystFaults(request, response);
	const total = request.figures.reduce((sum, figure) => sum + figure, 0);
	if (Math.abs(total - response.total) > tolerance || request.workbook !== response.workbook) {
		faults.push(`total ${response.total} of workbook ${response.workbook} is not ${total}`);
	}

	return faults;
}
