/**
 * Waits, after a change was committed, until no entry can dispatch with an older view.
 */
import {type Clock, type EntryId} from '@tamarackwind/core';
import {type PeerBus} from './buses.js';
import {VersionBarrier, type ViewPart, type ViewVersions} from './view-leases.js';
import {countMajority, type MemberSet, type Members} from './members.js';
import {defaultLeaseTermMs, readHeartbeatVersions, type VersionSet} from './quorum-leases.js';

export type MemberBarrierOptions = {
	readonly clock: Clock;
	readonly bus: PeerBus;
	readonly versions: ViewVersions;
	/** Reads the members from the platform; called after the change was committed. */
	readonly readMembers: () => Promise<Members>;
	/** Reports whether the VM of an entry was permanently removed from the platform's list. */
	readonly isPermanentlyRemoved: (entryId: EntryId, registeredAt: number) => boolean;
	readonly termMs?: number;
};

/** Maximum drift between two monotonic clocks over a lease term plus the delay of a timer, in milliseconds. */
const clockDriftMarginMs = 500;
const checkIntervalMs = 25;
const retryIntervalMs = 100;

/** Waits until all registered entries report a version, or until a majority does and the view leases of the others have expired. */
export class MemberBarrier extends VersionBarrier {
	static create(options: MemberBarrierOptions): MemberBarrier {
		return new MemberBarrier(options);
	}

	readonly #options: MemberBarrierOptions;
	readonly #leaseExpiryMs: number;
	readonly #reportedVersions = new Map<EntryId, VersionSet>();

	private constructor(options: MemberBarrierOptions) {
		super();
		this.#options = options;
		this.#leaseExpiryMs = (options.termMs ?? defaultLeaseTermMs) + clockDriftMarginMs;
		options.bus.subscribe('heartbeat', (from, {heartbeat}) => {
			this.#reportedVersions.set(from.entryId, readHeartbeatVersions(heartbeat));
		});
	}

	/** Versions that each peer last reported. */
	get reportedVersions(): ReadonlyMap<EntryId, VersionSet> {
		return this.#reportedVersions;
	}

	override async waitForVersion(part: ViewPart, version: number, timeoutMs: number): Promise<boolean> {
		const {clock} = this.#options;
		const endsAt = clock.readMonotonic() + timeoutMs;
		const members = await this.#readMembers(endsAt);
		if (members === undefined) {
			return false;
		}

		let majorityAt: number | undefined;
		for (;;) {
			const now = clock.readMonotonic();
			const missing = members.sets.map(set => this.#countMissing(members, set, part, version));
			if (missing.every(count => count === 0)) {
				return true;
			}

			if (members.sets.every((set, index) => set.length - missing[index]! >= countMajority(set))) {
				majorityAt ??= now;
			}

			if (majorityAt !== undefined && now - majorityAt > this.#leaseExpiryMs) {
				return true;
			}

			if (now >= endsAt) {
				return false;
			}

			await clock.sleep(checkIntervalMs);
		}
	}

	async #readMembers(endsAt: number): Promise<Members | undefined> {
		const {clock, readMembers} = this.#options;
		for (;;) {
			try {
				return await readMembers();
			} catch {
				if (clock.readMonotonic() >= endsAt) {
					return undefined;
				}

				await clock.sleep(retryIntervalMs);
			}
		}
	}

	#countMissing(members: Members, set: MemberSet, part: ViewPart, version: number): number {
		return set.filter(({entryId, registeredAt}) => !this.#hasReached(entryId, part, version)
			&& !members.left.includes(entryId)
			&& !this.#options.isPermanentlyRemoved(entryId, registeredAt)).length;
	}

	#hasReached(entryId: EntryId, part: ViewPart, version: number): boolean {
		const {bus, versions} = this.#options;
		if (entryId === bus.self.entryId) {
			return versions.getVersion(part) >= version;
		}

		return (this.#reportedVersions.get(entryId)?.[part] ?? 0) >= version;
	}
}
