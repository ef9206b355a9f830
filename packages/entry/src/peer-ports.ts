/**
 * The peer port: the connections to other entries, the state that heartbeats carry, and the replies to fetches.
 */
import {
	type Clock, type EntryId, type IncarnationId, type Log, type RandomSource,
} from '@tamarackwind/core';
import {type FleetView} from '@tamarackwind/fleet';
import {
	GrpcPeerBus, type FetchSettingsReply, type FetchSettingsRequest, type PeerAddress, type ViewVersions,
} from '@tamarackwind/peer';
import {Gauge, type Registry} from 'prom-client';
import {createPeerCredentials} from './certificates.js';
import {type EntryConfig} from './configs.js';
import {type Membership} from './memberships.js';
import {registerCounter} from './metrics.js';
import {hashTree} from './settings-stores.js';
import {type SettingsView} from './settings-views.js';

export type PeerBusOptions = {
	readonly config: EntryConfig;
	readonly self: {readonly entryId: EntryId; readonly incarnation: IncarnationId};
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Log;
	readonly registry: Registry;
	readonly versions: ViewVersions;
	readonly settings: SettingsView;
	readonly fleet: FleetView;
	readonly membership: Membership;
	readonly isAnchored: () => boolean;
	readonly isStopping: () => boolean;
};

/** Opens the peer port, and connects to the other entries. */
export async function createPeerBus(options: PeerBusOptions): Promise<GrpcPeerBus> {
	const {config, versions, registry} = options;
	const credentials = createPeerCredentials(config.peer.tls, options.log);
	const bus = await GrpcPeerBus.create({
		...options,
		host: config.peer.host,
		port: config.peer.port,
		serverCredentials: credentials.server,
		createChannelCredentials: credentials.createChannel,
		listAddresses: () => listAddresses(options),
		readHeartbeatState: () => ({
			settingsVersion: versions.getVersion('settings'),
			fleetVersion: versions.getVersion('fleet'),
			membersVersion: versions.getVersion('members'),
			isStopping: options.isStopping(),
			isAnchored: options.isAnchored(),
		}),
		handleFetchSettings: request => createFetchReply(options, request),
	});
	versions.subscribe(() => {
		bus.sendHeartbeats();
	});
	registerMetrics(bus, registry);
	return bus;
}

function createFetchReply({settings, membership, fleet, versions}: PeerBusOptions, request: FetchSettingsRequest): FetchSettingsReply {
	const isNewer = settings.version > request.knownVersion;
	const fleetVersion = versions.getVersion('fleet');
	const copy = fleetVersion > request.knownFleetVersion ? fleet.createCopy() : undefined;
	return {
		version: settings.version,
		treeJson: isNewer ? JSON.stringify(settings.tree) : '',
		contentHash: isNewer ? hashTree(settings.tree) : '',
		membersVersion: membership.current.version,
		membersJson: JSON.stringify(membership.current),
		fleetVersion,
		fleetJson: copy === undefined ? '' : JSON.stringify(copy),
	};
}

function listAddresses({config, fleet}: PeerBusOptions): PeerAddress[] {
	const listed = fleet.listEntries().flatMap(({vmId, address, peerPort}) => peerPort === undefined ? [] : [{entryId: vmId as EntryId, address, port: peerPort}]);
	return listed.length > 0 ? listed : config.peers.map(peer => ({...peer, entryId: peer.entryId as EntryId}));
}

function registerMetrics(bus: GrpcPeerBus, registry: Registry): void {
	registerCounter(registry, 'tamarackwind_peer_sent_bytes_total', 'Bytes sent to other entries, framing of HTTP/2 included', () => bus.traffic.bytesSent);
	registerCounter(registry, 'tamarackwind_peer_received_bytes_total', 'Bytes received from other entries, framing of HTTP/2 included', () => bus.traffic.bytesReceived);
	registerCounter(registry, 'tamarackwind_peer_connects_total', 'Streams opened to other entries', () => bus.traffic.streamsOpened);
	registry.registerMetric(new Gauge({
		name: 'tamarackwind_peers_live',
		help: 'Other entries heard within the membership timeout',
		registers: [],
		collect() {
			this.set(bus.listPeers().length);
		},
	}));
}
