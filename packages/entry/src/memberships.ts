/**
 * Registration of this entry, and removal of entries whose VMs no longer exist.
 */
import {
	VerdictError, type Clock, type EntryId, type Log, type RandomSource,
} from '@tamarackwind/core';
import {type FleetView} from '@tamarackwind/fleet';
import {
	addMember, getLatestSet, hasMember, emptyMembers, removeMembers, trimMemberSets,
	type Members, type PeerBus, type VersionBarrier, type ViewVersions,
} from '@tamarackwind/peer';
import {absentVersion, type Row, type TableService} from '@tamarackwind/clients';

/** Row that holds the registered entries. */
export const membersKey = {table: 'entries', key: 'members'} as const;

export type MembershipOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Log;
	readonly tables: TableService;
	readonly fleet: FleetView;
	readonly versions: ViewVersions;
	readonly selfId: EntryId;
};

/** Longest delay until the VM of a registered entry appears in the platform's VM list, in milliseconds. */
const maxListLagMs = 120_000;
/** Longest age of a VM list from which missing VMs are inferred, in milliseconds. */
const maxListAgeMs = 5000;
const trimTimeoutMs = 10_000;
const maxLeaveAttempts = 5;
const leaveRetryIntervalMs = 50;

/** Parses the row of the registered entries. */
export function parseMembersRow(row: Row | undefined): Members {
	return (row?.value as Members | undefined) ?? emptyMembers;
}

/** Registers this entry, and removes entries whose VMs no longer exist. */
export class Membership {
	static create(options: MembershipOptions): Membership {
		return new Membership(options);
	}

	readonly #options: MembershipOptions;
	readonly #seenEntryIds = new Set<string>();
	#members = emptyMembers;
	#isLeaving = false;
	#isTrimming = false;

	private constructor(options: MembershipOptions) {
		this.#options = options;
	}

	/** Latest members known to this entry; their version never decreases. */
	get current(): Members {
		return this.#members;
	}

	/** Whether the current member set contains this entry. */
	get isRegistered(): boolean {
		return hasMember(this.#members, this.#options.selfId);
	}

	/** Replaces the current members if the given version is newer. */
	acceptMembers(members: Members): void {
		if (members.version > this.#members.version) {
			this.#members = members;
			this.#options.versions.setVersion('members', members.version);
		}
	}

	/** Reads the members from the platform. */
	async readMembers(): Promise<Members> {
		return parseMembersRow(await this.#options.tables.getRow(membersKey));
	}

	/** Reports whether the VM of an entry has been removed from the platform's VM list. */
	isPermanentlyRemoved(entryId: EntryId, registeredAt: number): boolean {
		const {fleet, clock} = this.#options;
		const {listing} = fleet;
		if (listing === undefined || clock.readMonotonic() - listing.readAt > maxListAgeMs) {
			return false;
		}

		if (listing.vms.some(vm => vm.vmId === entryId)) {
			this.#seenEntryIds.add(entryId);
			return false;
		}

		return this.#seenEntryIds.has(entryId) || clock.readWall() - registeredAt > maxListLagMs;
	}

	/** Registers this entry if the given row does not contain it. */
	async register(row: Row | undefined): Promise<void> {
		const {clock, selfId} = this.#options;
		const members = parseMembersRow(row);
		if (!this.#isLeaving && !hasMember(members, selfId)) {
			await this.#commit(row, addMember(members, {entryId: selfId, registeredAt: clock.readWall()}));
		}
	}

	/**
	 * Removes entries whose VMs no longer exist, and drops member sets that no entry uses for a quorum any more. Only
	 * the live entry with the lowest id does this.
	 */
	async refresh(bus: PeerBus, barrier: VersionBarrier, row: Row | undefined): Promise<void> {
		const members = parseMembersRow(row);
		const removedIds = getLatestSet(members).filter(({entryId, registeredAt}) => this.isPermanentlyRemoved(entryId, registeredAt)).map(({entryId}) => entryId);
		const [peerWithLowestId] = bus.listPeers();
		if (peerWithLowestId !== undefined && peerWithLowestId.entryId < this.#options.selfId) {
			return;
		}

		if (removedIds.length > 0) {
			this.#options.log.info('removing entries whose VMs no longer exist', {entries: removedIds});
			await this.#commit(row, removeMembers(members, new Set(removedIds)));
		} else if (members.sets.length > 1 && !this.#isTrimming) {
			void this.#trim(barrier, members.version);
		}
	}

	/** Removes this entry from the member set. The entry must already have stopped dispatching and sending heartbeats. */
	async removeSelf(): Promise<void> {
		const {clock, tables, selfId, log} = this.#options;
		this.#isLeaving = true;
		for (let attempt = 0; attempt < maxLeaveAttempts; attempt++) {
			try {
				const row = await tables.getRow(membersKey);
				const members = parseMembersRow(row);
				if (!hasMember(members, selfId) || await this.#commit(row, removeMembers(members, new Set([selfId])))) {
					return;
				}
			} catch (error) {
				if (!(error instanceof VerdictError)) {
					throw error;
				}
			}

			await clock.sleep(leaveRetryIntervalMs * (1 + this.#options.random.readFraction()));
		}

		log.warn('failed to deregister the entry', {entry: selfId});
	}

	async #trim(barrier: VersionBarrier, version: number): Promise<void> {
		this.#isTrimming = true;
		try {
			const isInForce = await barrier.waitForVersion('members', version, trimTimeoutMs);
			const row = await this.#options.tables.getRow(membersKey);
			const members = parseMembersRow(row);
			if (isInForce && members.version === version) {
				await this.#commit(row, trimMemberSets(members));
			}
		} catch (error) {
			if (!(error instanceof VerdictError)) {
				throw error;
			}
		} finally {
			this.#isTrimming = false;
		}
	}

	async #commit(row: Row | undefined, members: Members): Promise<boolean> {
		const outcome = await this.#options.tables.commit({
			checks: [{...membersKey, version: row?.version ?? absentVersion}],
			writes: [{...membersKey, value: members}],
		});
		return outcome.status === 'committed';
	}
}
