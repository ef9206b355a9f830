/**
 * Where the rows of jobs stand in the tables.
 */
import {type JobId, type ServiceName} from '@tamarackwind/core';
import {type RowKey} from '@tamarackwind/clients';

/** Table of the rows that record which job holds what its holder has decided and learned. */
export const progressTable = 'progress';
/** Key of the row in a partition of `progress` that each transaction of the holder checks and writes anew. */
export const fenceKey = 'fence';
/** Tables over which the jobs of all services are spread; a service has one, so that its feed carries few others'. */
const jobTableCount = 64;

/** Partitions of a service's submitted jobs: a partition commits one transaction after the other, and at a slow store entries would wait for each other. */
const submissionPartitionCount = 8;

/** Name of the duty to schedule, and partition of its rows. */
export const schedulerDuty = 'scheduler';

/** Row of the orders for VMs that were written ahead: in the partition of the duty's lease, apart from the table that all entries watch. */
export const fleetOrdersKey: RowKey = {table: 'fleet-orders', partition: schedulerDuty, key: 'recent'};

const hashFactor = 31;

function hashText(text: string, modulus: number): number {
	let hash = 0;
	for (const character of text) {
		hash = ((hash * hashFactor) + character.codePointAt(0)!) % modulus;
	}

	return hash;
}

/** Names the table of a service's submitted jobs. */
export function getJobTable(service: ServiceName): string {
	return `jobs-${hashText(service, jobTableCount)}`;
}

/** Lists the partitions of the jobs that entries submit and cancel, apart from the holder's own writes. */
export function listSubmissionPartitions(service: ServiceName): string[] {
	return Array.from({length: submissionPartitionCount}, (_, index) => `submitted/${service}/${index}`);
}

/** Partition of one submitted job. */
export function getSubmissionPartition(service: ServiceName, job: JobId): string {
	return `submitted/${service}/${hashText(job, submissionPartitionCount)}`;
}

/** Partition of the holder's own rows. */
export function getProgressPartition(service: ServiceName): string {
	return `progress/${service}`;
}

/** Key of the row of a submitted job. */
export function getJobKey(service: ServiceName, job: JobId): RowKey {
	return {table: getJobTable(service), partition: getSubmissionPartition(service, job), key: job};
}

/** Ending of the key of a cancellation, which sorts right after its job. */
const cancelSuffix = '!';

/** Key of the row that cancels a job. */
export function getCancelKey(service: ServiceName, job: JobId): RowKey {
	return {...getJobKey(service, job), key: `${job}${cancelSuffix}`};
}

/** Gives the job that a cancellation's key names; `undefined` for the key of a job. */
export function parseCancelKey(key: string): JobId | undefined {
	return key.endsWith(cancelSuffix) ? key.slice(0, -cancelSuffix.length) as JobId : undefined;
}

/** Key of the row of a job's progress. */
export function getProgressKey(service: ServiceName, job: JobId): RowKey {
	return {table: progressTable, partition: getProgressPartition(service), key: job};
}

/** Key of the fence of a service. */
export function getFenceKey(service: ServiceName): RowKey {
	return {table: progressTable, partition: getProgressPartition(service), key: fenceKey};
}
