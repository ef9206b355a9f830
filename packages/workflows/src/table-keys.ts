/**
 * Tables, partitions and keys of the rows of jobs.
 */
import {type JobId, type ServiceName} from '@tamarackwind/core';
import {type RowKey} from '@tamarackwind/clients';

/** Table of the progress rows, in which a holder records the state of each job. */
export const progressTable = 'progress';
/** Key of the fence row in a partition of `progress`, which each transaction of the holder checks and rewrites. */
export const fenceKey = 'fence';
/** Number of tables over which the jobs of all services are spread; each service uses one table, so that its change feed has few changes of other services. */
const jobTableCount = 64;

/** Number of partitions of a service's submitted jobs: a partition commits transactions one at a time, so entries would wait for each other at a slow store. */
const submissionPartitionCount = 32;

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

/** Returns the table of a service's submitted jobs. */
export function getJobTable(service: ServiceName): string {
	return `jobs-${hashText(service, jobTableCount)}`;
}

/** Lists the partitions in which entries submit and cancel jobs; they are separate from the holder's own writes. */
export function listSubmissionPartitions(service: ServiceName): string[] {
	return Array.from({length: submissionPartitionCount}, (_, index) => `submitted/${service}/${index}`);
}

/** Returns the partition of a submitted job. */
export function getSubmissionPartition(service: ServiceName, job: JobId): string {
	return `submitted/${service}/${hashText(job, submissionPartitionCount)}`;
}

/** Returns the partition of the rows that the holder writes. */
export function getProgressPartition(service: ServiceName): string {
	return `progress/${service}`;
}

/** Returns the key of a submitted job's row. */
export function getJobKey(service: ServiceName, job: JobId): RowKey {
	return {table: getJobTable(service), partition: getSubmissionPartition(service, job), key: job};
}

/** Suffix of a cancellation's key, which sorts it directly after its job. */
const cancelSuffix = '!';

/** Returns the key of a job's cancellation row. */
export function getCancelKey(service: ServiceName, job: JobId): RowKey {
	return {...getJobKey(service, job), key: `${job}${cancelSuffix}`};
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
