/**
 * State transitions of jobs, derived from observations of their runs.
 */
import {type TaskStatus} from '@tamarackwind/clients';
import {match} from 'ts-pattern';
import {isRestartable} from './kinds.js';
import {type Run} from './run-monitors.js';
import {type JobRow} from './schemas.js';

/** Facts about a run beyond its observation on the worker. */
export type RunContext = {
	/** Whether the VM runs another incarnation than at the start of the run. */
	readonly isVmRestarted: boolean;
	/** Whether the lease has definitely expired, even if the worker is unreachable. */
	readonly isLeaseExpired: boolean;
	readonly isCancelled: boolean;
	/** Wall-clock time, in milliseconds. */
	readonly now: number;
	/** Counts the other workers that can hold the job and on which it has not failed. */
	readonly countRemainingWorkers: () => number;
};

/** Fields to write, and whether the run has ended; `undefined` if nothing changes. */
export type JobTransition = {readonly fields: Partial<JobRow>; readonly hasRunEnded: boolean} | undefined;

/** Number of distinct workers on which a job fails before it ends as failed. */
export const maxFailedWorkers = 3;

const clearedAssignment: Partial<JobRow> = {vmId: undefined, vmIncarnation: undefined, allocated: undefined};

/** Resolves the transition of a job whose run has definitely ended without a result. */
export function resolveInterrupted(row: JobRow, context: RunContext, reason: string, checkpoint = row.checkpoint): JobTransition {
	if (context.isCancelled) {
		return endJob({state: 'cancelled', reason: 'cancelled by the caller', endedAt: context.now});
	}

	if (isRestartable(row.spec.kind, checkpoint)) {
		return endRun({state: 'queued', reason, checkpoint});
	}

	return endJob({state: 'may-have-run', reason: `${reason}; the job may have run and is not started again`, endedAt: context.now});
}

/** Resolves the transition of a job from the state of its run. */
export function resolveRun(row: JobRow, run: Run, context: RunContext): JobTransition {
	if (run.startOutcome === 'refused') {
		return context.isCancelled ? resolveInterrupted(row, context, '') : endRun({state: 'queued', reason: `worker ${run.task.vmId} refused the start`});
	}

	if (run.evicted !== undefined) {
		return resolveEvicted(row, run, context);
	}

	if (run.observation === 'absent') {
		return resolveAbsent(row, run, context);
	}

	if (run.observation !== undefined && run.observation.state !== 'running') {
		return resolveEnded(row, run.observation, context);
	}

	if (context.isVmRestarted) {
		return resolveInterrupted(row, context, `worker ${run.task.vmId} started anew`);
	}

	if (context.isLeaseExpired) {
		return resolveInterrupted(row, context, `worker ${run.task.vmId} could not be reached and the lease lapsed`);
	}

	return resolveRunning(row, run);
}

function resolveRunning(row: JobRow, run: Run): JobTransition {
	const status = run.observation as TaskStatus | undefined;
	const isRunning = status !== undefined || run.startOutcome === 'started';
	const fields: Partial<JobRow> = {
		...(row.state === 'starting' && isRunning ? {state: 'running'} : {}),
		...(status?.checkpoint !== undefined && status.checkpoint !== row.checkpoint ? {checkpoint: status.checkpoint} : {}),
	};
	return Object.keys(fields).length === 0 ? undefined : {fields, hasRunEnded: false};
}

function resolveEnded(row: JobRow, status: TaskStatus, context: RunContext): JobTransition {
	const checkpoint = status.checkpoint ?? row.checkpoint;
	return match(status.state)
		.with('finished', () => endJob({
			state: 'finished', result: status.result, endedAt: context.now, reason: `finished on ${status.vmId}`,
		}))
		.with('failed', () => resolveFailed(row, status, context))
		.with('lapsed', () => resolveInterrupted(row, context, `the lease lapsed on ${status.vmId}`, checkpoint))
		.otherwise(() => resolveInterrupted(row, context, `the run was stopped on ${status.vmId}`, checkpoint));
}

function resolveFailed(row: JobRow, status: TaskStatus, context: RunContext): JobTransition {
	const failedVms = [...new Set([...row.failedVms, status.vmId])];
	const reason = `failed on ${failedVms.join(', ')}: ${status.reason ?? 'no reason given'}`;
	if (context.isCancelled) {
		return resolveInterrupted(row, context, reason);
	}

	const isLast = failedVms.length >= maxFailedWorkers || context.countRemainingWorkers() === 0 || row.spec.kind === 'refresh';
	return isLast
		? endJob({
			state: 'failed', reason, failedVms, endedAt: context.now,
		})
		: endRun({
			state: 'queued', reason, failedVms, checkpoint: status.checkpoint ?? row.checkpoint,
		});
}

/** A start that the worker did not receive may be repeated once the worker has confirmed that it will refuse the delayed start. */
function resolveAbsent(row: JobRow, run: Run, context: RunContext): JobTransition {
	if (row.state !== 'starting' || context.isVmRestarted) {
		return resolveInterrupted(row, context, `worker ${run.task.vmId} no longer knows the run`);
	}

	if (!run.isFenced) {
		return undefined;
	}

	return context.isCancelled ? resolveInterrupted(row, context, '') : endRun({state: 'queued', reason: `the start did not reach worker ${run.task.vmId}`});
}

function resolveEvicted(row: JobRow, run: Run, context: RunContext): JobTransition {
	const {checkpoint, reason, minSize} = run.evicted!;
	const transition = resolveInterrupted(row, context, reason, checkpoint);
	return transition!.fields.state === 'queued'
		? {...transition!, fields: {...transition!.fields, evictions: row.evictions + 1, minSize: minSize ?? row.minSize}}
		: transition;
}

function endRun(fields: Partial<JobRow>): JobTransition {
	return {fields: {...clearedAssignment, ...fields}, hasRunEnded: true};
}

function endJob(fields: Partial<JobRow>): JobTransition {
	return {fields, hasRunEnded: true};
}
