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

const hashFactor = 31;

/** Names the table of a service's submitted jobs. */
export function getJobTable(service: ServiceName): string {
	let hash = 0;
	for (const character of service) {
		hash = ((hash * hashFactor) + character.codePointAt(0)!) % jobTableCount;
	}

	return `jobs-${hash}`;
}

/** Partition of the jobs that entries submit and cancel, apart from the holder's own writes. */
export function getSubmissionPartition(service: ServiceName): string {
	return `submitted/${service}`;
}

/** Partition of the holder's own rows. */
export function getProgressPartition(service: ServiceName): string {
	return `progress/${service}`;
}

/** Key of the row of a submitted job. */
export function getJobKey(service: ServiceName, job: JobId): RowKey {
	return {table: getJobTable(service), partition: getSubmissionPartition(service), key: job};
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
