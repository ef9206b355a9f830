/**
 * This entry's place among the registered entries.
 */
import {
	VerdictError, type Clock, type EntryId, type Log, type RandomSource,
} from '@tamarackwind/core';
import {type FleetView} from '@tamarackwind/fleet';
import {
	addMember, getLatestSet, hasMember, noMembers, removeMembers, trimSets,
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

/** Time within which a VM that registered appears in the platform's list, in milliseconds. */
const listLagBoundMs = 120_000;
/** Age up to which a read of the platform's list tells who is gone, in milliseconds. */
const maxListAgeMs = 5000;
const trimTimeoutMs = 10_000;
const leaveAttempts = 5;
const leaveRetryMs = 50;

/** Gives the members that a read of their row found. */
export function parseMembersRow(row: Row | undefined): Members {
	return (row?.value as Members | undefined) ?? noMembers;
}

/** Keeps this entry registered, and removes those whose VMs are gone. */
export class Membership {
	static create(options: MembershipOptions): Membership {
		return new Membership(options);
	}

	readonly #options: MembershipOptions;
	readonly #listed = new Set<string>();
	#members = noMembers;
	#isLeaving = false;
	#isTrimming = false;

	private constructor(options: MembershipOptions) {
		this.#options = options;
	}

	/** Members as this entry last saw them; their version never goes back. */
	get current(): Members {
		return this.#members;
	}

	/** Whether the set in force holds this entry. */
	get isRegistered(): boolean {
		return hasMember(this.#members, this.#options.selfId);
	}

	/** Works by these members from now on, unless a version as high is in force already. */
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

	/** Tells whether the VM of an entry has left the platform's list for good. */
	isGone(entryId: EntryId, registeredAt: number): boolean {
		const {fleet, clock} = this.#options;
		const {listing} = fleet;
		if (listing === undefined || clock.readMonotonic() - listing.readAt > maxListAgeMs) {
			return false;
		}

		if (listing.vms.some(vm => vm.vmId === entryId)) {
			this.#listed.add(entryId);
			return false;
		}

		return this.#listed.has(entryId) || clock.readWall() - registeredAt > listLagBoundMs;
	}

	/** Registers this entry when a read of the row did not find it. */
	async register(row: Row | undefined): Promise<void> {
		const {clock, selfId} = this.#options;
		const members = parseMembersRow(row);
		if (!this.#isLeaving && !hasMember(members, selfId)) {
			await this.#commit(row, addMember(members, {entryId: selfId, registeredAt: clock.readWall()}));
		}
	}

	/** Removes entries whose VMs are gone and forgets sets that no entry can count by; the first live entry does it. */
	async refresh(bus: PeerBus, barrier: VersionBarrier, row: Row | undefined): Promise<void> {
		const members = parseMembersRow(row);
		const gone = getLatestSet(members).filter(({entryId, registeredAt}) => this.isGone(entryId, registeredAt)).map(({entryId}) => entryId);
		const [first] = bus.listPeers();
		if (first !== undefined && first.entryId < this.#options.selfId) {
			return;
		}

		if (gone.length > 0) {
			this.#options.log.info('entries are gone', {entries: gone});
			await this.#commit(row, removeMembers(members, new Set(gone)));
		} else if (members.sets.length > 1 && !this.#isTrimming) {
			void this.#trim(barrier, members.version);
		}
	}

	/** Takes this entry out of the set; it must neither dispatch nor send heartbeats any more. */
	async removeSelf(): Promise<void> {
		const {clock, tables, selfId, log} = this.#options;
		this.#isLeaving = true;
		for (let attempt = 0; attempt < leaveAttempts; attempt++) {
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

			await clock.sleep(leaveRetryMs * (1 + this.#options.random.readFraction()));
		}

		log.warn('entry is still registered', {entry: selfId});
	}

	async #trim(barrier: VersionBarrier, version: number): Promise<void> {
		this.#isTrimming = true;
		try {
			const isInForce = await barrier.waitForVersion('members', version, trimTimeoutMs);
			const row = await this.#options.tables.getRow(membersKey);
			const members = parseMembersRow(row);
			if (isInForce && members.version === version) {
				await this.#commit(row, trimSets(members));
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
