/**
 * The registered entries: whose acknowledgements a change of settings or fleet waits for.
 */
import {type EntryId} from '@tamarackwind/core';

/** One registered entry. */
export type MemberRecord = {
	readonly entryId: EntryId;
	/** Milliseconds since the Unix epoch, by the clock of the entry that registered. */
	readonly registeredAt: number;
};

/** Entries that were registered from one version of the members until the next. */
export type MemberSet = readonly MemberRecord[];

/** Value of the row that holds the registered entries. */
export type Members = {
	readonly version: number;
	/** Sets by which some entry may still count a majority, the one in force last. */
	readonly sets: readonly MemberSet[];
	/** Entries of earlier sets that ended by themselves and have not come back. */
	readonly left: readonly EntryId[];
};

/** Members before the first entry has registered. */
export const noMembers: Members = {version: 0, sets: [[]], left: []};

/** Gives the set in force. */
export function getLatestSet(members: Members): MemberSet {
	return members.sets.at(-1) ?? [];
}

/** Tells whether an entry is in the set in force. */
export function hasMember(members: Members, entryId: EntryId): boolean {
	return getLatestSet(members).some(member => member.entryId === entryId);
}

/** Entries that make a majority of a set. */
export function countMajority(set: MemberSet): number {
	return Math.floor(set.length / 2) + 1;
}

/** Adds an entry, or takes back one that had left. */
export function addMember(members: Members, member: MemberRecord): Members {
	const set = [...getLatestSet(members).filter(({entryId}) => entryId !== member.entryId), member];
	return {
		version: members.version + 1,
		sets: appendSet(members, set),
		left: members.left.filter(entryId => entryId !== member.entryId),
	};
}

/** Removes entries that run no more. */
export function removeMembers(members: Members, entryIds: ReadonlySet<EntryId>): Members {
	const set = getLatestSet(members).filter(({entryId}) => !entryIds.has(entryId));
	return {
		version: members.version + 1,
		sets: appendSet(members, set),
		left: [...new Set([...members.left, ...entryIds])],
	};
}

/** Forgets all sets but the one in force, once no entry can count by the others. */
export function trimSets(members: Members): Members {
	return {version: members.version + 1, sets: [getLatestSet(members)], left: []};
}

function appendSet(members: Members, set: MemberSet): MemberSet[] {
	return [...members.sets.filter(known => known.length > 0), set];
}
