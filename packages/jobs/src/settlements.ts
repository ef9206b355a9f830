/**
 * What becomes of a job by what was seen of its run.
 */
import {type TaskStatus} from '@tamarackwind/clients';
import {match} from 'ts-pattern';
import {isRestartable} from './kinds.js';
import {type Run} from './runs.js';
import {type JobRow} from './schemas.js';

/** What is known of a run besides what its worker says. */
export type RunFacts = {
	/** Whether the VM has started anew since, or is gone. */
	readonly isVmRestarted: boolean;
	/** Whether the lease has surely lapsed, though the worker can't be asked. */
	readonly isLapsed: boolean;
	readonly isCancelled: boolean;
	/** Wall-clock time, in milliseconds. */
	readonly now: number;
	/** Workers that the job may run on, beside the ones it failed on. */
	readonly remainingWorkers: number;
};

/** Fields to write; `undefined` when nothing changes. */
export type Settlement = {readonly fields: Partial<JobRow>; readonly isRunOver: boolean} | undefined;

/** Different workers on which a job may fail before it ends. */
export const maxFailedWorkers = 3;

const clearedPlace: Partial<JobRow> = {vmId: undefined, vmIncarnation: undefined, allocated: undefined};

/** Decides what becomes of a job whose run has surely ended without a result. */
export function resolveInterrupted(row: JobRow, facts: RunFacts, reason: string, checkpoint = row.checkpoint): Settlement {
	if (facts.isCancelled) {
		return finishJob({state: 'cancelled', reason: 'cancelled by the caller', endedAt: facts.now});
	}

	if (isRestartable(row.spec.kind, checkpoint)) {
		return finishRun({state: 'queued', reason, checkpoint});
	}

	return finishJob({state: 'may-have-run', reason: `${reason}; the job may have run and is not started again`, endedAt: facts.now});
}

/** Decides what becomes of a job by its run. */
export function resolveRun(row: JobRow, run: Run, facts: RunFacts): Settlement {
	if (run.startOutcome === 'refused') {
		return facts.isCancelled ? resolveInterrupted(row, facts, '') : finishRun({state: 'queued', reason: `worker ${run.task.vmId} refused the start`});
	}

	if (run.evicted !== undefined) {
		return resolveEvicted(row, run, facts);
	}

	if (run.observation === 'absent') {
		return resolveAbsent(row, run, facts);
	}

	if (run.observation !== undefined && run.observation.state !== 'running') {
		return resolveEnded(row, run.observation, facts);
	}

	if (facts.isVmRestarted) {
		return resolveInterrupted(row, facts, `worker ${run.task.vmId} started anew`);
	}

	if (facts.isLapsed) {
		return resolveInterrupted(row, facts, `worker ${run.task.vmId} could not be reached and the lease lapsed`);
	}

	return resolveRunning(row, run);
}

function resolveRunning(row: JobRow, run: Run): Settlement {
	const status = run.observation as TaskStatus | undefined;
	const isRunning = status !== undefined || run.startOutcome === 'started';
	const fields: Partial<JobRow> = {
		...(row.state === 'starting' && isRunning ? {state: 'running'} : {}),
		...(status?.checkpoint !== undefined && status.checkpoint !== row.checkpoint ? {checkpoint: status.checkpoint} : {}),
	};
	return Object.keys(fields).length === 0 ? undefined : {fields, isRunOver: false};
}

function resolveEnded(row: JobRow, status: TaskStatus, facts: RunFacts): Settlement {
	const checkpoint = status.checkpoint ?? row.checkpoint;
	return match(status.state)
		.with('finished', () => finishJob({
			state: 'finished', result: status.result, endedAt: facts.now, reason: `finished on ${status.vmId}`,
		}))
		.with('failed', () => resolveFailed(row, status, facts))
		.with('lapsed', () => resolveInterrupted(row, facts, `the lease lapsed on ${status.vmId}`, checkpoint))
		.otherwise(() => resolveInterrupted(row, facts, `the run was stopped on ${status.vmId}`, checkpoint));
}

function resolveFailed(row: JobRow, status: TaskStatus, facts: RunFacts): Settlement {
	const failedVms = [...new Set([...row.failedVms, status.vmId])];
	const reason = `failed on ${failedVms.join(', ')}: ${status.reason ?? 'no reason given'}`;
	if (facts.isCancelled) {
		return resolveInterrupted(row, facts, reason);
	}

	const isLast = failedVms.length >= maxFailedWorkers || facts.remainingWorkers === 0 || row.spec.kind === 'refresh';
	return isLast
		? finishJob({
			state: 'failed', reason, failedVms, endedAt: facts.now,
		})
		: finishRun({
			state: 'queued', reason, failedVms, checkpoint: status.checkpoint ?? row.checkpoint,
		});
}

/** A start that the worker never saw may be repeated, once the worker has promised not to accept it late. */
function resolveAbsent(row: JobRow, run: Run, facts: RunFacts): Settlement {
	if (row.state !== 'starting' || facts.isVmRestarted) {
		return resolveInterrupted(row, facts, `worker ${run.task.vmId} no longer knows the run`);
	}

	if (!run.isFenced) {
		return undefined;
	}

	return facts.isCancelled ? resolveInterrupted(row, facts, '') : finishRun({state: 'queued', reason: `the start did not reach worker ${run.task.vmId}`});
}

function resolveEvicted(row: JobRow, run: Run, facts: RunFacts): Settlement {
	const {checkpoint, reason, minSize} = run.evicted!;
	const settlement = resolveInterrupted(row, facts, reason, checkpoint);
	return settlement!.fields.state === 'queued'
		? {...settlement!, fields: {...settlement!.fields, evictions: row.evictions + 1, minSize: minSize ?? row.minSize}}
		: settlement;
}

function finishRun(fields: Partial<JobRow>): Settlement {
	return {fields: {...clearedPlace, ...fields}, isRunOver: true};
}

function finishJob(fields: Partial<JobRow>): Settlement {
	return {fields, isRunOver: true};
}
