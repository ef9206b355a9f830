/**
 * Registered entries, whose acknowledgements a change of the settings or the fleet requires.
 */
import {type EntryId} from '@tamarackwind/core';

/** One registered entry. */
export type MemberRecord = {
	readonly entryId: EntryId;
	/** Registration time, in milliseconds since the Unix epoch by the clock of the registered entry. */
	readonly registeredAt: number;
};

/** Entries that were registered between two versions of the members. */
export type MemberSet = readonly MemberRecord[];

/** Value of the members row. */
export type Members = {
	readonly version: number;
	/** Sets that an entry may still use to count a majority; the last one is in force. */
	readonly sets: readonly MemberSet[];
	/** Entries of earlier sets that deregistered and have not registered again. */
	readonly left: readonly EntryId[];
};

/** Members before the first registration. */
export const emptyMembers: Members = {version: 0, sets: [[]], left: []};

/** Returns the set in force. */
export function getLatestSet(members: Members): MemberSet {
	return members.sets.at(-1) ?? [];
}

/** Reports whether an entry is in the set in force. */
export function hasMember(members: Members, entryId: EntryId): boolean {
	return getLatestSet(members).some(member => member.entryId === entryId);
}

/** Returns the number of entries that form a majority of a set. */
export function countMajority(set: MemberSet): number {
	return Math.floor(set.length / 2) + 1;
}

/** Adds an entry, or registers one again that had left. */
export function addMember(members: Members, member: MemberRecord): Members {
	const set = [...getLatestSet(members).filter(({entryId}) => entryId !== member.entryId), member];
	return {
		version: members.version + 1,
		sets: appendMemberSet(members, set),
		left: members.left.filter(entryId => entryId !== member.entryId),
	};
}

/** Removes entries that no longer run. */
export function removeMembers(members: Members, entryIds: ReadonlySet<EntryId>): Members {
	const set = getLatestSet(members).filter(({entryId}) => !entryIds.has(entryId));
	return {
		version: members.version + 1,
		sets: appendMemberSet(members, set),
		left: [...new Set([...members.left, ...entryIds])],
	};
}

/** Drops all sets except the one in force; call it once no entry can use the others to count a majority. */
export function trimMemberSets(members: Members): Members {
	return {version: members.version + 1, sets: [getLatestSet(members)], left: []};
}

function appendMemberSet(members: Members, set: MemberSet): MemberSet[] {
	return [...members.sets.filter(known => known.length > 0), set];
}
