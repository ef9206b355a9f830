/**
 * Time limits that the platform sets for a deployment.
 */

/** Time limits of a deployment, each in milliseconds. */
export type Bounds = {
	/** Maximum lease of the runs of a worker; a longer lease is shortened to it. */
	readonly maxWorkerLeaseMs: number;
	/** Minimum time between orders of different holders of the scheduler lease for one VM. */
	readonly fleetLeaseMs: number;
	/** Time within which a configuration must apply at every entry. */
	readonly configurationMs: number;
	/** Time within which a revoked key must be refused even by an entry that can't reach the store; infinite where that is not required. */
	readonly revocationMs: number;
	/** Time within which a cancelled job must not start further tasks. */
	readonly cancellationMs: number;
	/** Time within which an accepted job must be visible to callers. */
	readonly visibilityMs: number;
	/** Time for which a gang member waits for the other members of its run. */
	readonly gangStartMs: number;
	/** Time after which a VM that is not at work counts as lost for good. */
	readonly lossDetectionMs: number;
	/** Time after a drain was acknowledged from which a worker must get no new work. */
	readonly workerDrainMs: number;
	/** Time that a VM takes to return from a move or from maintenance, whichever is longer. */
	readonly returnMs: number;
	/** Interval at which workers update their registry entries. */
	readonly heartbeatMs: number;
	/** Time from SIGTERM to SIGKILL. */
	readonly graceMs: number;
	/** Time without disruption after which an entry counts as in contact with the platform. */
	readonly contactMs: number;
};

/** Bounds of a deployment whose settings omit them. */
export const defaultBounds: Bounds = {
	maxWorkerLeaseMs: 10_000,
	fleetLeaseMs: 3000,
	configurationMs: 2000,
	revocationMs: Number.POSITIVE_INFINITY,
	cancellationMs: 3000,
	visibilityMs: 3000,
	gangStartMs: 3000,
	lossDetectionMs: 4500,
	workerDrainMs: 2000,
	returnMs: 2000,
	heartbeatMs: 1500,
	graceMs: 6000,
	contactMs: 3000,
};
