/**
 * Checks of notebook answers that share no code with what computed them.
 */
import {
	type CellAnswer, type CellRequest, type RefitAnswer, type RefitRequest, type RefreshAnswer, type RefreshRequest,
} from './notebooks.js';

const tolerance = 1e-6;

function findOwnerFaults(request: {readonly analyst: string}, answer: {readonly analyst: string}): string[] {
	return request.analyst === answer.analyst ? [] : [`the answer is for ${answer.analyst}, not ${request.analyst}`];
}

/** Lists the faults of a cell's answer: the mean loss stays within the exposures and below the tail loss. */
export function findCellFaults(request: CellRequest, answer: CellAnswer): string[] {
	const faults = findOwnerFaults(request, answer);
	const largest = request.exposures.reduce((sum, exposure) => sum + exposure, 0);
	if (!(answer.meanLoss >= 0 && answer.meanLoss <= answer.valueAtRisk && answer.valueAtRisk <= largest)) {
		faults.push(`losses ${answer.meanLoss} and ${answer.valueAtRisk} do not fit the exposures`);
	}

	return faults;
}

/** Lists the faults of a refit: the residuals of a least-squares line sum to 0 and are orthogonal to x. */
export function findRefitFaults(request: RefitRequest, answer: RefitAnswer): string[] {
	const faults = findOwnerFaults(request, answer);
	let sum = 0;
	let moment = 0;
	for (const [x, y] of request.points) {
		const residual = y - ((answer.slope * x) + answer.intercept);
		sum += residual;
		moment += residual * x;
	}

	if (Math.abs(sum) > tolerance * request.points.length || Math.abs(moment) > tolerance * (request.points.length ** 2)) {
		faults.push(`residuals ${sum} and ${moment} do not vanish`);
	}

	return faults;
}

/** Lists the faults of a refresh. */
export function findRefreshFaults(request: RefreshRequest, answer: RefreshAnswer): string[] {
	const faults = findOwnerFaults(request, answer);
	const total = request.figures.reduce((sum, figure) => sum + figure, 0);
	if (Math.abs(total - answer.total) > tolerance || request.workbook !== answer.workbook) {
		faults.push(`total ${answer.total} of workbook ${answer.workbook} is not ${total}`);
	}

	return faults;
}
