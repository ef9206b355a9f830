/**
 * Chooses the speed of filler tasks that share a worker with serving tasks. Fillers stop when a serving task comes close to its latency target.
 */

/** Ratio of tail latency to target at and above which fillers are stopped. */
const stopRatio = 0.9;
/** Ratio of tail latency to target below which fillers may speed up again. */
const increaseRatio = 0.6;
/** Step by which a filler's speed increases, in percent of full speed. */
const increaseStepPercent = 25;
const fullSpeedPercent = 100;

/**
 * Chooses the speed of a filler in percent; `latencyRatio` is the highest ratio of tail latency to target among the serving tasks on its worker.
 *
 * @example
 * chooseSpeed(100, 1.2); // 0
 */
export function chooseSpeed(speedPercent: number, latencyRatio: number): number {
	if (latencyRatio >= stopRatio) {
		return 0;
	}

	return latencyRatio < increaseRatio ? Math.min(fullSpeedPercent, speedPercent + increaseStepPercent) : speedPercent;
}
