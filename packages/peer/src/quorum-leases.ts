/**
 * View lease of an entry in a group. Reads of the platform or a majority of the entries renew it.
 */
import {type Clock, type EntryId} from '@tamarackwind/core';
import {type PeerBus, type PeerInfo} from './buses.js';
import {type Heartbeat} from './gen/tamarackwind/peer/v1/peer.js';
import {ViewLease, type ViewPart, type ViewVersions} from './view-leases.js';
import {
	countMajority, getLatestSet, hasMember, type Members,
} from './members.js';

/** Versions of all parts of a view. */
export type VersionSet = Readonly<Record<ViewPart, number>>;

export type QuorumLeaseOptions = {
	readonly clock: Clock;
	readonly bus: PeerBus;
	readonly versions: ViewVersions;
	/** Returns the members known to this entry. */
	readonly getMembers: () => Members;
	/** Called when a peer uses a higher version of some part. */
	readonly onNewerVersion: (peer: PeerInfo, versions: VersionSet) => void;
	readonly termMs?: number;
};

/** Versions that the platform or a peer had at `confirmedAt`, a time of this entry's monotonic clock. */
type ViewConfirmation = {readonly confirmedAt: number; readonly versions: VersionSet};

/** Time for which a confirmation renews a lease, in milliseconds. */
export const defaultLeaseTermMs = 2500;

const maxPendingConfirmations = 8;
const viewParts: readonly ViewPart[] = ['settings', 'fleet', 'members'];

/** Reads the versions from a heartbeat. */
export function readHeartbeatVersions({settingsVersion, fleetVersion, membersVersion}: Heartbeat): VersionSet {
	return {settings: settingsVersion, fleet: fleetVersion, members: membersVersion};
}

/** Confirmations from one source. A confirmation counts only once this entry has reached its versions. */
class ConfirmationLog {
	#confirmedAt = Number.NEGATIVE_INFINITY;
	#pending: ViewConfirmation[] = [];

	get confirmedAt(): number {
		return this.#confirmedAt;
	}

	add(confirmation: ViewConfirmation): void {
		this.#pending = [...this.#pending, confirmation].slice(-maxPendingConfirmations);
	}

	/** Counts the pending confirmations whose versions `versions` has reached. */
	refresh(versions: ViewVersions): void {
		for (const {confirmedAt} of this.#pending.filter(confirmation => hasReached(versions, confirmation.versions))) {
			this.#confirmedAt = Math.max(this.#confirmedAt, confirmedAt);
		}

		this.#pending = this.#pending.filter(confirmation => !hasReached(versions, confirmation.versions));
	}
}

function hasReached(versions: ViewVersions, wanted: VersionSet): boolean {
	return viewParts.every(part => versions.getVersion(part) >= wanted[part]);
}

/**
 * Valid for one term after the latest time at which this entry certainly knew the view in force: the start of a read of
 * the platform, or the time by which a majority had received a heartbeat of this entry and reported no higher version.
 * docs/DECISIONS.md, "Views", contains the proof.
 */
export class QuorumLease extends ViewLease {
	static create(options: QuorumLeaseOptions): QuorumLease {
		return new QuorumLease(options);
	}

	readonly #options: QuorumLeaseOptions;
	readonly #termMs: number;
	readonly #platformReads = new ConfirmationLog();
	readonly #peerConfirmations = new Map<EntryId, ConfirmationLog>();
	#isAnchored = false;

	private constructor(options: QuorumLeaseOptions) {
		super();
		this.#options = options;
		this.#termMs = options.termMs ?? defaultLeaseTermMs;
		options.bus.subscribe('heartbeat', (from, {heartbeat}) => {
			this.#handleHeartbeat(from, heartbeat);
		});
		options.versions.subscribe(() => {
			this.#refresh();
		});
	}

	/** Whether the platform or a majority has confirmed this entry's view since the entry started. */
	get isAnchored(): boolean {
		return this.#isAnchored;
	}

	override isValid(): boolean {
		return this.#options.clock.readMonotonic() - this.getRenewedAt() < this.#termMs;
	}

	/** Returns the monotonic time at which the current term started. */
	getRenewedAt(): number {
		return Math.max(this.#platformReads.confirmedAt, this.#computeMajorityConfirmedAt());
	}

	/** Records a read of the platform that started at `startedAt` and returned `versions` and members that include this entry. */
	recordRead(startedAt: number, versions: VersionSet): void {
		this.#platformReads.add({confirmedAt: startedAt, versions});
		this.#refresh();
	}

	#handleHeartbeat(from: PeerInfo, heartbeat: Heartbeat): void {
		const versions = readHeartbeatVersions(heartbeat);
		if (!hasReached(this.#options.versions, versions)) {
			this.#options.onNewerVersion(from, versions);
		}

		if (heartbeat.isAnchored && from.acknowledgedAt !== undefined) {
			const log = this.#peerConfirmations.get(from.entryId) ?? new ConfirmationLog();
			this.#peerConfirmations.set(from.entryId, log);
			log.add({confirmedAt: from.acknowledgedAt, versions});
			this.#refresh();
		}
	}

	#refresh(): void {
		for (const log of [this.#platformReads, ...this.#peerConfirmations.values()]) {
			log.refresh(this.#options.versions);
		}

		this.#isAnchored ||= this.isValid();
	}

	/** Computes the latest time confirmed by a majority of the set in force, which includes this entry once it is anchored. */
	#computeMajorityConfirmedAt(): number {
		const members = this.#options.getMembers();
		const {entryId: selfId} = this.#options.bus.self;
		if (!hasMember(members, selfId)) {
			return Number.NEGATIVE_INFINITY;
		}

		const set = getLatestSet(members);
		const selfAt = this.#isAnchored ? this.#options.clock.readMonotonic() : Number.NEGATIVE_INFINITY;
		const times = set.map(({entryId}) => entryId === selfId ? selfAt : this.#peerConfirmations.get(entryId)?.confirmedAt ?? Number.NEGATIVE_INFINITY);
		return times.toSorted((a, b) => b - a)[countMajority(set) - 1] ?? Number.NEGATIVE_INFINITY;
	}
}
