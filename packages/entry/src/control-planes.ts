/**
 * The control plane of an entry: membership, the view lease, the audit trail, and settings with their changes.
 */
import {
	type Clock, type EntryId, type IncarnationId, type Log, type RandomSource,
} from '@tamarackwind/core';
import {type FleetView} from '@tamarackwind/fleet';
import {
	MemberBarrier, QuorumLease, type GrpcPeerBus, type ViewVersions,
} from '@tamarackwind/peer';
import {type PoolVmCounts} from '@tamarackwind/settings';
import {type Registry} from 'prom-client';
import {AuditLog} from './audits.js';
import {type EntryConfig} from './configs.js';
import {type PlatformClients} from './contexts.js';
import {Membership} from './memberships.js';
import {registerCounter} from './metrics.js';
import {createPeerBus} from './peer-ports.js';
import {Retention} from './retentions.js';
import {SettingsChanges} from './settings-changes.js';
import {SettingsStore} from './settings-stores.js';
import {type SettingsView} from './settings-views.js';
import {ViewPoller} from './view-pollers.js';

/** Components that coordinate with other entries. */
export type ControlPlane = {
	readonly bus: GrpcPeerBus;
	readonly membership: Membership;
	readonly lease: QuorumLease;
	readonly barrier: MemberBarrier;
	readonly audit: AuditLog;
	readonly settingsStore: SettingsStore;
	readonly settingsChanges: SettingsChanges;
	/** Notifies the peers that this entry is shutting down. */
	readonly markStopping: () => void;
	/** Deregisters the entry and closes the components. Call it only after dispatching has stopped. */
	readonly close: () => Promise<void>;
};

export type ControlPlaneOptions = {
	readonly config: EntryConfig;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Log;
	readonly registry: Registry;
	readonly platform: PlatformClients;
	readonly versions: ViewVersions;
	readonly settings: SettingsView;
	readonly fleet: FleetView;
};

const incarnationLength = 12;

/** Creates the components and connects to the other entries. */
export async function createControlPlane(options: ControlPlaneOptions): Promise<ControlPlane> {
	const {config, clock, random, log, registry, platform, versions, settings, fleet} = options;
	const {tables, objects} = platform;
	const selfId = config.entryId as EntryId;
	const membership = Membership.create({
		clock, random, log, tables, fleet, versions, selfId,
	});
	let isStopping = false;
	const lateBindings: {lease?: QuorumLease; poller?: ViewPoller} = {};
	const bus = await createPeerBus({
		...options,
		membership,
		self: {entryId: selfId, incarnation: random.createToken().slice(0, incarnationLength) as IncarnationId},
		isAnchored: () => lateBindings.lease?.isAnchored ?? false,
		isStopping: () => isStopping,
	});
	const lease = QuorumLease.create({
		clock,
		bus,
		versions,
		getMembers: () => membership.current,
		onNewerVersion(peer, wanted) {
			void lateBindings.poller?.fetchFromPeer(peer.entryId, wanted);
		},
	});
	lateBindings.lease = lease;
	const barrier = MemberBarrier.create({
		clock,
		bus,
		versions,
		readMembers: async () => membership.readMembers(),
		isPermanentlyRemoved: (entryId, registeredAt) => membership.isPermanentlyRemoved(entryId, registeredAt),
	});
	const audit = AuditLog.create({
		clock, random, tables, objects,
	});
	const settingsStore = SettingsStore.create(tables, objects);
	const settingsChanges = SettingsChanges.create({
		clock, store: settingsStore, audit, view: settings, barrier, countVms: () => countVms(config.deployment, fleet),
	});
	const poller = ViewPoller.create({
		clock, log, tables, store: settingsStore, settings, fleet, membership, versions, bus, lease, barrier,
	});
	lateBindings.poller = poller;
	const retention = Retention.create({
		clock, random, audit, settingsStore, versions,
	});
	registerCounter(registry, 'tamarackwind_retention_failed_turns_total', 'Turns of the retention of audit records and trees that failed', () => retention.failedRuns);
	registerCounter(registry, 'tamarackwind_view_failed_reads_total', 'Reads of versions from the platform or a peer that failed', () => poller.failedPolls);
	return {
		bus,
		membership,
		lease,
		barrier,
		audit,
		settingsStore,
		settingsChanges,
		markStopping() {
			isStopping = true;
			bus.sendHeartbeats();
		},
		async close() {
			await retention.close();
			await poller.close();
			await bus.close();
			await membership.removeSelf();
		},
	};
}

function countVms(deployment: string, fleet: FleetView): PoolVmCounts {
	const counts = new Map<string, number>();
	for (const {pool} of fleet.state?.vms.values() ?? []) {
		const key = `${deployment}/${pool}`;
		counts.set(key, (counts.get(key) ?? 0) + 1);
	}

	return counts;
}
