/**
 * The view lease of an entry in a group: renewed by reads of the platform, or by a majority of the entries.
 */
import {type Clock, type EntryId} from '@tamarackwind/core';
import {type PeerBus, type PeerInfo} from './buses.js';
import {type Heartbeat} from './gen/tamarackwind/peer/v1/peer.js';
import {ViewLease, type ViewPart, type ViewVersions} from './leases.js';
import {
	countMajority, getLatestSet, hasMember, type Members,
} from './members.js';

/** Versions of every part of a view. */
export type VersionSet = Readonly<Record<ViewPart, number>>;

export type QuorumLeaseOptions = {
	readonly clock: Clock;
	readonly bus: PeerBus;
	readonly versions: ViewVersions;
	/** Members that this entry knows. */
	readonly getMembers: () => Members;
	/** Called when a peer works by a higher version of some part. */
	readonly onBehind: (peer: PeerInfo, versions: VersionSet) => void;
	readonly termMs?: number;
};

/** Versions that were current elsewhere at `at`, by this entry's monotonic clock. */
type Evidence = {readonly at: number; readonly versions: VersionSet};

/** Time for which evidence renews a lease, in milliseconds. */
export const defaultLeaseTermMs = 2500;

const maxPendingEvidence = 8;
const viewParts: readonly ViewPart[] = ['settings', 'fleet', 'members'];

/** Gives the versions that a heartbeat tells. */
export function readHeartbeatVersions({settingsVersion, fleetVersion, membersVersion}: Heartbeat): VersionSet {
	return {settings: settingsVersion, fleet: fleetVersion, members: membersVersion};
}

/** Evidence from one source, of which only that counts whose versions this entry has reached. */
class EvidenceLog {
	#countedAt = Number.NEGATIVE_INFINITY;
	#pending: Evidence[] = [];

	get countedAt(): number {
		return this.#countedAt;
	}

	add(evidence: Evidence): void {
		this.#pending = [...this.#pending, evidence].slice(-maxPendingEvidence);
	}

	/** Counts the evidence whose versions `versions` has reached. */
	refresh(versions: ViewVersions): void {
		for (const {at} of this.#pending.filter(evidence => hasReached(versions, evidence.versions))) {
			this.#countedAt = Math.max(this.#countedAt, at);
		}

		this.#pending = this.#pending.filter(evidence => !hasReached(versions, evidence.versions));
	}
}

function hasReached(versions: ViewVersions, wanted: VersionSet): boolean {
	return viewParts.every(part => versions.getVersion(part) >= wanted[part]);
}

/**
 * Valid for a term after the last moment at which no newer view can have been in force without this entry knowing:
 * the start of a read of the platform, or the moment by which a majority had heard from this entry and told no higher
 * version. docs/DECISIONS.md, "Views", gives the proof.
 */
export class QuorumLease extends ViewLease {
	static create(options: QuorumLeaseOptions): QuorumLease {
		return new QuorumLease(options);
	}

	readonly #options: QuorumLeaseOptions;
	readonly #termMs: number;
	readonly #reads = new EvidenceLog();
	readonly #heard = new Map<EntryId, EvidenceLog>();
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

	/** Whether the platform or a majority has confirmed this entry's view since it started. */
	get isAnchored(): boolean {
		return this.#isAnchored;
	}

	override isValid(): boolean {
		return this.#options.clock.readMonotonic() - this.getRenewedAt() < this.#termMs;
	}

	/** Monotonic time from which the present term runs. */
	getRenewedAt(): number {
		return Math.max(this.#reads.countedAt, this.#computeMajorityAt());
	}

	/** Notes a read of the platform that began at `startedAt` and found `versions` and members with this entry. */
	noteRead(startedAt: number, versions: VersionSet): void {
		this.#reads.add({at: startedAt, versions});
		this.#refresh();
	}

	#handleHeartbeat(from: PeerInfo, heartbeat: Heartbeat): void {
		const versions = readHeartbeatVersions(heartbeat);
		if (!hasReached(this.#options.versions, versions)) {
			this.#options.onBehind(from, versions);
		}

		if (heartbeat.isAnchored && from.acknowledgedAt !== undefined) {
			const log = this.#heard.get(from.entryId) ?? new EvidenceLog();
			this.#heard.set(from.entryId, log);
			log.add({at: from.acknowledgedAt, versions});
			this.#refresh();
		}
	}

	#refresh(): void {
		for (const log of [this.#reads, ...this.#heard.values()]) {
			log.refresh(this.#options.versions);
		}

		this.#isAnchored ||= this.isValid();
	}

	/** The latest moment by which a majority of the set in force, this entry included once it is anchored, had spoken. */
	#computeMajorityAt(): number {
		const members = this.#options.getMembers();
		const {entryId: selfId} = this.#options.bus.self;
		if (!hasMember(members, selfId)) {
			return Number.NEGATIVE_INFINITY;
		}

		const set = getLatestSet(members);
		const selfAt = this.#isAnchored ? this.#options.clock.readMonotonic() : Number.NEGATIVE_INFINITY;
		const times = set.map(({entryId}) => entryId === selfId ? selfAt : this.#heard.get(entryId)?.countedAt ?? Number.NEGATIVE_INFINITY);
		return times.toSorted((a, b) => b - a)[countMajority(set) - 1] ?? Number.NEGATIVE_INFINITY;
	}
}
