/**
 * Pace of tasks that fill beside tasks that serve. Answers interference: the fillers give way as soon as a target is near.
 */

/** Share of its target at which a serving task counts as strained. */
const strainedShare = 0.9;
/** Share of its target below which fillers may speed up again. */
const relaxedShare = 0.6;
/** Step by which a filler speeds up, in percent. */
const raiseStep = 25;
const fullPace = 100;

/**
 * Chooses the pace of a filler in percent; `strain` is the worst tail of the serving tasks beside it as a share of its target.
 *
 * @example
 * choosePace(100, 1.2); // 0
 */
export function choosePace(pace: number, strain: number): number {
	if (strain >= strainedShare) {
		return 0;
	}

	return strain < relaxedShare ? Math.min(fullPace, pace + raiseStep) : pace;
}
