/**
 * Kinds of jobs and what may be done with each.
 */

/** Every kind of job. */
export const jobKinds = ['build', 'refit', 'refresh', 'kernel'] as const;

/** Kind of a job. */
export type JobKind = (typeof jobKinds)[number];

/** What the scheduler may do with a job of a kind. */
export type KindPolicy = {
	/** When a run that ended without a result may be followed by another. */
	readonly restart: 'always' | 'from-checkpoint' | 'never';
	/** Whether the job can be stopped at a checkpoint and go on elsewhere. */
	readonly canCheckpoint: boolean;
	/** Whether maintenance has to respect the job where it runs. */
	readonly isHeld: boolean;
};

/** Policy of each kind. */
export const kindPolicies: Readonly<Record<JobKind, KindPolicy>> = {
	build: {restart: 'always', canCheckpoint: true, isHeld: false},
	refit: {restart: 'always', canCheckpoint: true, isHeld: false},
	refresh: {restart: 'never', canCheckpoint: false, isHeld: false},
	kernel: {restart: 'from-checkpoint', canCheckpoint: true, isHeld: true},
};

/** Tells whether a job may start again after a run that surely stopped without a result. */
export function isRestartable(kind: JobKind, checkpoint: string | undefined): boolean {
	const {restart} = kindPolicies[kind];
	return restart === 'always' || (restart === 'from-checkpoint' && checkpoint !== undefined);
}
