/**
 * Keeps an entry's view current: reads versions from the platform, and fetches from peers what they know before.
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

export type ViewPollOptions = {
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
	/** Time between two polls of the platform, in milliseconds. */
	readonly pollIntervalMs?: number;
};

/** Row that names the fleet version in force. */
const currentFleetKey: RowKey = {table: 'fleet', key: 'current'};
const defaultPollIntervalMs = 500;
/** Time without a read of the platform after which the fleet is fetched from peers, in milliseconds. */
const cutOffMs = 1200;

function readVersion(row: Row | undefined): number {
	return (row?.value as {readonly version: number} | undefined)?.version ?? 0;
}

/** Polls the platform for one entry. */
export class ViewPoll {
	static create(options: ViewPollOptions): ViewPoll {
		return new ViewPoll(options);
	}

	readonly #options: ViewPollOptions;
	readonly #loop: Loop;
	readonly #fetching = new Set<EntryId>();
	#failedPolls = 0;
	#lastReadAt = Number.NEGATIVE_INFINITY;

	private constructor(options: ViewPollOptions) {
		this.#options = options;
		this.#loop = Loop.create({
			clock: options.clock,
			intervalMs: options.pollIntervalMs ?? defaultPollIntervalMs,
			run: async () => this.#readPlatform(),
			onError: error => {
				this.#failedPolls++;
				if (!(error instanceof VerdictError)) {
					options.log.error('view was not refreshed', {reason: readErrorMessage(error)});
				}
			},
		});
	}

	/** Polls of the platform that failed so far. */
	get failedPolls(): number {
		return this.#failedPolls;
	}

	/**
	 * Fetches from a peer what it works by; one fetch from a peer at a time. The fleet is fetched only while the platform
	 * can't be read, since the fleet's own reads carry less.
	 */
	async fetchFrom(entryId: EntryId, wanted: VersionSet): Promise<void> {
		const {bus, settings, membership, versions, clock} = this.#options;
		const fleetVersion = versions.getVersion('fleet');
		const isCutOff = clock.readMonotonic() - this.#lastReadAt > cutOffMs;
		const needsFleet = isCutOff && wanted.fleet > fleetVersion;
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

	/** Members go last: an entry that knows them must know of every change that was committed before them. */
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
			lease.noteRead(startedAt, {settings: readVersion(settingsRow), fleet: readVersion(fleetRow), members: readVersion(membersRow)});
		}

		await membership.register(membersRow);
		await membership.refresh(bus, barrier, membersRow);
	}
}
