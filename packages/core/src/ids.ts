/**
 * Branded ids. A branded id is a string at run time and a distinct type at compile time.
 */

declare const brand: unique symbol;

/** A `T` that only the parser of `Name` produces. */
export type Branded<T, Name extends string> = T & {readonly [brand]: Name};

/** Id of a VM, unique in the deployment. */
export type VmId = Branded<string, 'VmId'>;
/** Name of a pool of VMs. */
export type PoolName = Branded<string, 'PoolName'>;
/** Name of a service, the first segment of a caller's path. */
export type ServiceName = Branded<string, 'ServiceName'>;
/** Id of a caller, the principal behind a bearer token. */
export type CallerId = Branded<string, 'CallerId'>;
/** Name of a client account, the owner of jobs on the users' platform. */
export type AccountName = Branded<string, 'AccountName'>;
/** Id of an operator, the principal behind an operator's bearer token. */
export type OperatorId = Branded<string, 'OperatorId'>;
/** Name of a team with a quota. */
export type TeamName = Branded<string, 'TeamName'>;
/** Id of an entry VM. */
export type EntryId = Branded<string, 'EntryId'>;
/** Id of one run of an entry process; a restarted entry has a new one. */
export type IncarnationId = Branded<string, 'IncarnationId'>;
/** Id of one dispatch of a request to an upstream. */
export type RequestId = Branded<string, 'RequestId'>;
/** Id of a maintenance wave. */
export type WaveId = Branded<string, 'WaveId'>;
/** Id of a move of VMs between pools. */
export type MoveId = Branded<string, 'MoveId'>;
/** Id of a job. */
export type JobId = Branded<string, 'JobId'>;
/** Id of a change of settings, chosen by the operator's client. */
export type ChangeId = Branded<string, 'ChangeId'>;
/** Name of an availability zone. */
export type ZoneName = Branded<string, 'ZoneName'>;
/** Name of a rack. */
export type RackName = Branded<string, 'RackName'>;
/** Name of a region. */
export type RegionName = Branded<string, 'RegionName'>;

/** Longest id, in characters. */
export const maxIdLength = 128;

const idPattern = /^[A-Za-z\d](?:[\w.:]|-)*$/v;

/** Reports whether `text` is a valid id of letters, digits, `_`, `.`, `:` and `-`. */
export function isId(text: string): boolean {
	return text.length <= maxIdLength && idPattern.test(text);
}

/**
 * Parses an id of any kind.
 *
 * @example
 * const vm = parseId<VmId>('vm-17');
 * @throws {RangeError} if `text` is not a valid id.
 */
export function parseId<Id extends Branded<string, string>>(text: string): Id {
	if (!isId(text)) {
		throw new RangeError(`id ${JSON.stringify(text.slice(0, maxIdLength))} is not made of letters, digits, "_", ".", ":" and "-"`);
	}

	return text as Id;
}
