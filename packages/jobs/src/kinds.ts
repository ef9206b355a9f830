/**
 * Kinds of jobs and their restart, checkpoint and maintenance policies.
 */

/** Every kind of job. */
export const jobKinds = ['build', 'refit', 'refresh', 'kernel'] as const;

/** Kind of a job. */
export type JobKind = (typeof jobKinds)[number];

/** What the scheduler may do with a job of a kind. */
export type KindPolicy = {
	/** When a job may run again after a run without a result. */
	readonly restart: 'always' | 'from-checkpoint' | 'never';
	/** Whether the job can be stopped at a checkpoint and resume on another worker. */
	readonly canCheckpoint: boolean;
	/** Whether maintenance must not interrupt the job. */
	readonly isHeld: boolean;
};

/** Policy of each kind. */
export const kindPolicies: Readonly<Record<JobKind, KindPolicy>> = {
	build: {restart: 'always', canCheckpoint: true, isHeld: false},
	refit: {restart: 'always', canCheckpoint: true, isHeld: false},
	refresh: {restart: 'never', canCheckpoint: false, isHeld: false},
	kernel: {restart: 'from-checkpoint', canCheckpoint: true, isHeld: true},
};

/** Reports whether a job may run again after a run that definitely stopped without a result. */
export function isRestartable(kind: JobKind, checkpoint: string | undefined): boolean {
	const {restart} = kindPolicies[kind];
	return restart === 'always' || (restart === 'from-checkpoint' && checkpoint !== undefined);
}
