/**
 * Tables, partitions and keys of the rows of jobs.
 */
import {type JobId, type ServiceName} from '@tamarackwind/core';
import {type RowKey} from '@tamarackwind/clients';

/** Table of the progress rows, in which a holder records the state of each job. */
export const progressTable = 'progress';
/** Key of the fence row in a partition of `progress`, which each transaction of the holder checks and rewrites. */
export const fenceKey = 'fence';
/** Table of the submitted jobs of all services. */
export const jobTable = 'jobs';
/** Number of partitions of the submitted jobs: a partition commits transactions one at a time, so entries would wait for each other at a slow store. */
const submissionPartitionCount = 128;
/** Distance between the partitions of a job and of its advance cancellation. */
const advanceCancelOffset = submissionPartitionCount / 2;

/** Role of the scheduler lease, and partition of its rows. */
export const schedulerRole = 'scheduler';

/** Row in which VM orders are recorded before they are sent: in the partition of the scheduler lease, but not in the table that all entries watch. */
export const fleetOrdersKey: RowKey = {table: 'fleet-orders', partition: schedulerRole, key: 'recent'};

const hashFactor = 31;

function hashText(text: string, modulus: number): number {
	let hash = 0;
	for (const character of text) {
		hash = ((hash * hashFactor) + character.codePointAt(0)!) % modulus;
	}

	return hash;
}

function formatSubmissionPartition(index: number): string {
	return `submitted/${index}`;
}

/** Lists the partitions in which entries submit and cancel jobs; they are separate from the holder's own writes. */
export function listSubmissionPartitions(): string[] {
	return Array.from({length: submissionPartitionCount}, (_, index) => formatSubmissionPartition(index));
}

/** Returns the partition of a submitted job. It depends on the id alone, so that a job has one row even if its queue moves to another service. */
export function getSubmissionPartition(job: JobId): string {
	return formatSubmissionPartition(hashText(job, submissionPartitionCount));
}

/** Returns the partition of the rows that the holder writes. */
export function getProgressPartition(service: ServiceName): string {
	return `progress/${service}`;
}

/** Returns the key of a submitted job's row. */
export function getJobKey(job: JobId): RowKey {
	return {table: jobTable, partition: getSubmissionPartition(job), key: job};
}

/** Suffix of a cancellation's key, which sorts it directly after its job. */
const cancelSuffix = '!';

/** Returns the key of a job's cancellation row. */
export function getCancelKey(job: JobId): RowKey {
	return {...getJobKey(job), key: `${job}${cancelSuffix}`};
}

/**
 * Returns the key of the row that cancels a job which is not stored. It lies in another partition than the job: it must not wait behind the
 * submission that it overtakes.
 */
export function getAdvanceCancelKey(job: JobId): RowKey {
	const index = (hashText(job, submissionPartitionCount) + advanceCancelOffset) % submissionPartitionCount;
	return {table: jobTable, partition: formatSubmissionPartition(index), key: `${job}${cancelSuffix}`};
}

/** Returns the job id in a cancellation's key; `undefined` for the key of a job. */
export function parseCancelKey(key: string): JobId | undefined {
	return key.endsWith(cancelSuffix) ? key.slice(0, -cancelSuffix.length) as JobId : undefined;
}

/** Returns the key of a job's progress row. */
export function getProgressKey(service: ServiceName, job: JobId): RowKey {
	return {table: progressTable, partition: getProgressPartition(service), key: job};
}

/** Returns the key of a service's fence row. */
export function getFenceKey(service: ServiceName): RowKey {
	return {table: progressTable, partition: getProgressPartition(service), key: fenceKey};
}
