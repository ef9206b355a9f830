/**
 * Keeps the entry's view of settings, fleet and members up to date: polls the platform for versions, and fetches newer
 * versions from peers.
 */
import {
	Loop, VerdictError, readErrorMessage, type Clock, type EntryId, type Log,
} from '@tamarackwind/core';
import {type FleetCopy, type FleetView} from '@tamarackwind/fleet';
import {
	hasMember, type FetchSettingsReply, type GrpcPeerBus, type Members, type QuorumLease, type VersionBarrier, type VersionSet, type ViewVersions,
} from '@tamarackwind/peer';
import {type Row, type RowKey, type TableService} from '@tamarackwind/clients';
import {membersKey, parseMembersRow, type Membership} from './memberships.js';
import {type SettingsStore} from './settings-stores.js';
import {currentSettingsKey, type CurrentSettings, type SettingsView} from './settings-views.js';

export type ViewPollerOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly tables: TableService;
	readonly store: SettingsStore;
	readonly settings: SettingsView;
	readonly fleet: FleetView;
	readonly membership: Membership;
	readonly versions: ViewVersions;
	readonly bus: GrpcPeerBus;
	readonly lease: QuorumLease;
	readonly barrier: VersionBarrier;
	/** Interval between two polls of the platform, in milliseconds. */
	readonly pollIntervalMs?: number;
};

/** Row that holds the current fleet version. */
const currentFleetKey: RowKey = {table: 'fleet', key: 'current'};
const defaultPollIntervalMs = 500;
/** Time since the last successful read of the platform after which the fleet is fetched from peers, in milliseconds. */
const platformTimeoutMs = 1200;

function readVersion(row: Row | undefined): number {
	return (row?.value as {readonly version: number} | undefined)?.version ?? 0;
}

/** Polls the platform and accepts newer versions into the entry's view. */
export class ViewPoller {
	static create(options: ViewPollerOptions): ViewPoller {
		return new ViewPoller(options);
	}

	readonly #options: ViewPollerOptions;
	readonly #loop: Loop;
	readonly #fetching = new Set<EntryId>();
	#failedPolls = 0;
	#lastReadAt = Number.NEGATIVE_INFINITY;

	private constructor(options: ViewPollerOptions) {
		this.#options = options;
		this.#loop = Loop.create({
			clock: options.clock,
			intervalMs: options.pollIntervalMs ?? defaultPollIntervalMs,
			run: async () => this.#readPlatform(),
			onError: error => {
				this.#failedPolls++;
				if (!(error instanceof VerdictError)) {
					options.log.error('failed to refresh the view', {reason: readErrorMessage(error)});
				}
			},
		});
	}

	/** Number of failed polls of the platform and fetches from peers. */
	get failedPolls(): number {
		return this.#failedPolls;
	}

	/**
	 * Fetches newer settings and members from a peer, with at most one fetch for each peer at a time. Fetches the fleet only
	 * while the platform is unreachable, because incremental reads of the fleet transfer less data.
	 */
	async fetchFromPeer(entryId: EntryId, wanted: VersionSet): Promise<void> {
		const {bus, settings, membership, versions, clock} = this.#options;
		const fleetVersion = versions.getVersion('fleet');
		const isPlatformUnreachable = clock.readMonotonic() - this.#lastReadAt > platformTimeoutMs;
		const needsFleet = isPlatformUnreachable && wanted.fleet > fleetVersion;
		const isBehind = needsFleet || wanted.settings > settings.version || wanted.members > membership.current.version;
		if (!isBehind || this.#fetching.has(entryId)) {
			return;
		}

		this.#fetching.add(entryId);
		try {
			const knownFleetVersion = needsFleet ? fleetVersion : Number.MAX_SAFE_INTEGER;
			this.#acceptReply(await bus.fetchSettings(entryId, {knownVersion: settings.version, knownFleetVersion}));
		} catch {
			this.#failedPolls++;
		} finally {
			this.#fetching.delete(entryId);
		}
	}

	async close(): Promise<void> {
		await this.#loop.close();
	}

	/**
	 * Accepts members after settings and fleet: an entry that knows a member set must know every change committed before
	 * it.
	 */
	#acceptMembers(members: Members, fleetVersion: number): void {
		if (this.#options.versions.getVersion('fleet') >= fleetVersion) {
			this.#options.membership.acceptMembers(members);
		}
	}

	#acceptReply(reply: FetchSettingsReply): void {
		const {settings} = this.#options;
		if (reply.treeJson !== '') {
			settings.acceptTree(reply.version, JSON.parse(reply.treeJson));
		}

		if (reply.fleetJson !== '') {
			this.#options.fleet.acceptCopy(JSON.parse(reply.fleetJson) as FleetCopy);
		}

		if (reply.membersJson !== '') {
			this.#acceptMembers(JSON.parse(reply.membersJson) as Members, reply.fleetVersion);
		}
	}

	async #readPlatform(): Promise<void> {
		const {clock, tables, store, settings, membership, lease, bus, barrier} = this.#options;
		const startedAt = clock.readMonotonic();
		const [settingsRow, fleetRow, membersRow] = await tables.getRows([currentSettingsKey, currentFleetKey, membersKey]);
		this.#lastReadAt = startedAt;
		const current = settingsRow?.value as CurrentSettings | undefined;
		if (current !== undefined && current.version > settings.version) {
			settings.acceptTree(current.version, await store.readTree(current));
		}

		const members = parseMembersRow(membersRow);
		this.#acceptMembers(members, readVersion(fleetRow));
		if (hasMember(members, bus.self.entryId)) {
			lease.recordRead(startedAt, {settings: readVersion(settingsRow), fleet: readVersion(fleetRow), members: readVersion(membersRow)});
		}

		await membership.register(membersRow);
		await membership.refresh(bus, barrier, membersRow);
	}
}
