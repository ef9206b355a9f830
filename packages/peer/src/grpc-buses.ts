/**
 * Messaging between entries over gRPC, with one outgoing and one incoming stream per peer.
 */
import {type ChannelCredentials, type ServerCredentials} from '@grpc/grpc-js';
import {
	Loop, VerdictError, type Clock, type EntryId, type IncarnationId, type Log, type RandomSource,
} from '@tamarackwind/core';
import {PeerBus, type PeerBody, type PeerInfo} from './buses.js';
import {
	type FetchSettingsReply, type FetchSettingsRequest, type Heartbeat, type Hello,
} from './gen/tamarackwind/peer/v1/peer.js';
import {PeerLink, type HeartbeatState, type PeerAddress} from './links.js';
import {PeerServer} from './servers.js';

export type GrpcPeerBusOptions = {
	readonly self: {readonly entryId: EntryId; readonly incarnation: IncarnationId};
	/** Listen address; port 0 selects a free port. */
	readonly host: string;
	readonly port: number;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Log;
	readonly serverCredentials: ServerCredentials;
	readonly createChannelCredentials: () => ChannelCredentials;
	/** Lists the entries to keep streams to; this entry is ignored. */
	readonly listAddresses: () => readonly PeerAddress[];
	/** Returns the versions and state that heartbeats carry. */
	readonly readHeartbeatState: () => HeartbeatState;
	/** Returns the settings, fleet and members that this entry uses. */
	readonly handleFetchSettings: (request: FetchSettingsRequest) => FetchSettingsReply;
	readonly heartbeatIntervalMs?: number;
	/** Time without a message after which a peer is no longer live, in milliseconds. */
	readonly membershipTimeoutMs?: number;
};

/** Traffic of the peer port. Byte counts include HTTP/2 framing and exclude TCP and IP. */
export type PeerTraffic = {readonly bytesSent: number; readonly bytesReceived: number; readonly streamsOpened: number};

type KnownPeer = PeerInfo & {readonly sequence: number};

const defaultHeartbeatIntervalMs = 500;
const defaultMembershipTimeoutMs = 2000;
const linkUpdateIntervalMs = 250;

/** Message bus of one entry over gRPC. */
export class GrpcPeerBus extends PeerBus {
	/** Opens the peer port and starts to connect to the peers. */
	static async create(options: GrpcPeerBusOptions): Promise<GrpcPeerBus> {
		const bus = new GrpcPeerBus(options);
		await bus.#open();
		return bus;
	}

	override readonly self: {readonly entryId: EntryId; readonly incarnation: IncarnationId};
	readonly #options: GrpcPeerBusOptions;
	readonly #membershipTimeoutMs: number;
	readonly #links = new Map<EntryId, PeerLink>();
	readonly #knownPeers = new Map<EntryId, KnownPeer>();
	#server!: PeerServer;
	#loop!: Loop;
	#bytesSent = 0;
	#bytesReceived = 0;
	#closedLinkStreams = 0;
	#livePeerIds = new Set<EntryId>();
	#heartbeatSequence = 0;

	private constructor(options: GrpcPeerBusOptions) {
		super();
		this.#options = options;
		this.self = options.self;
		this.#membershipTimeoutMs = options.membershipTimeoutMs ?? defaultMembershipTimeoutMs;
	}

	/** Port on which this entry accepts streams of its peers. */
	get port(): number {
		return this.#server.port;
	}

	get traffic(): PeerTraffic {
		const streamsOpened = [...this.#links.values()].reduce((sum, link) => sum + link.streamCount, this.#closedLinkStreams);
		return {bytesSent: this.#bytesSent, bytesReceived: this.#bytesReceived, streamsOpened};
	}

	override listPeers(): readonly PeerInfo[] {
		const since = this.#options.clock.readMonotonic() - this.#membershipTimeoutMs;
		return [...this.#knownPeers.values()]
			.filter(peer => peer.heardAt >= since)
			.toSorted((a, b) => a.entryId.localeCompare(b.entryId));
	}

	override send(to: EntryId, body: PeerBody): void {
		this.#links.get(to)?.send(body);
	}

	/** Sends a heartbeat with the current versions to every peer at once. */
	sendHeartbeats(): void {
		for (const link of this.#links.values()) {
			link.sendHeartbeat();
		}
	}

	/**
	 * Fetches the settings, fleet and members that a peer uses, where they are newer than the versions in `known`.
	 *
	 * @throws {VerdictError} when the peer is unknown or does not respond.
	 */
	async fetchSettings(from: EntryId, known: FetchSettingsRequest): Promise<FetchSettingsReply> {
		const link = this.#links.get(from);
		if (link === undefined) {
			throw new VerdictError(`entry "${from}" is not known`, {verdict: 'not-run', code: 'peer_unavailable'});
		}

		return link.fetchSettings(known);
	}

	override async close(): Promise<void> {
		await this.#loop.close();
		await Promise.all([...this.#links.values()].map(async link => link.close()));
		await this.#server.close();
	}

	async #open(): Promise<void> {
		const {host, port, serverCredentials, handleFetchSettings, clock, log} = this.#options;
		this.#server = await PeerServer.create({
			host,
			port,
			credentials: serverCredentials,
			hello: this.self,
			handleFetchSettings,
			isAdmitted: (hello, address) => this.#isAdmitted(hello, address),
			onMessage: (from, body) => this.#handleMessage(from, body),
			onBytesReceived: bytes => {
				this.#bytesReceived += bytes;
			},
		});
		this.#loop = Loop.create({
			clock,
			intervalMs: linkUpdateIntervalMs,
			run: async () => this.#updateLinks(),
			onError(error) {
				log.error('failed to update the links to peers', {reason: String(error)});
			},
		});
	}

	#isAdmitted(hello: Hello, address: string): boolean {
		return this.#options.listAddresses().some(peer => peer.entryId === hello.entryId && peer.address === address);
	}

	#handleMessage(from: Hello, body: PeerBody): boolean {
		const entryId = from.entryId as EntryId;
		const incarnation = from.incarnation as IncarnationId;
		const known = this.#knownPeers.get(entryId);
		if (body.$case !== 'hello' && known?.incarnation !== incarnation) {
			return false;
		}

		const heardAt = this.#options.clock.readMonotonic();
		const isSameIncarnation = known?.incarnation === incarnation;
		const peer: KnownPeer = isSameIncarnation
			? {...known, heardAt}
			: {
				entryId, incarnation, heardAt, sequence: 0,
			};
		const updatedPeer = body.$case === 'heartbeat' ? this.#recordHeartbeat(peer, body.heartbeat) : peer;
		this.#knownPeers.set(entryId, updatedPeer);
		this.receive(updatedPeer, body);
		return true;
	}

	#recordHeartbeat(peer: KnownPeer, {sequence, acknowledgedSequence}: Heartbeat): KnownPeer {
		const acknowledgedAt = this.#links.get(peer.entryId)?.recordAcknowledgement(acknowledgedSequence);
		return {...peer, sequence: Math.max(peer.sequence, sequence), acknowledgedAt};
	}

	async #updateLinks(): Promise<void> {
		const addresses = new Map(this.#options.listAddresses().filter(({entryId}) => entryId !== this.self.entryId).map(peer => [peer.entryId, peer]));
		for (const [entryId, link] of this.#links) {
			const current = addresses.get(entryId);
			if (current?.address !== link.to.address || current.port !== link.to.port) {
				this.#links.delete(entryId);
				this.#closedLinkStreams += link.streamCount;
				await link.close();
			}
		}

		for (const [entryId, to] of addresses) {
			if (!this.#links.has(entryId)) {
				this.#links.set(entryId, this.#createLink(to));
			}
		}

		this.#logMembershipChanges();
	}

	#createLink(to: PeerAddress): PeerLink {
		const {clock, random, createChannelCredentials, readHeartbeatState, heartbeatIntervalMs} = this.#options;
		return PeerLink.create({
			to,
			hello: this.self,
			clock,
			random,
			heartbeatIntervalMs: heartbeatIntervalMs ?? defaultHeartbeatIntervalMs,
			stallTimeoutMs: this.#membershipTimeoutMs * 2,
			createCredentials: createChannelCredentials,
			readHeartbeatState,
			createSequence: () => ++this.#heartbeatSequence,
			getReceivedSequence: incarnation => {
				const peer = this.#knownPeers.get(to.entryId);
				return peer?.incarnation === incarnation ? peer.sequence : 0;
			},
			onBytesSent: bytes => {
				this.#bytesSent += bytes;
			},
		});
	}

	#logMembershipChanges(): void {
		const live = new Set(this.listPeers().map(({entryId}) => entryId));
		for (const entryId of live) {
			if (!this.#livePeerIds.has(entryId)) {
				this.#options.log.info('peer is live', {peer: entryId});
			}
		}

		for (const entryId of this.#livePeerIds) {
			if (!live.has(entryId)) {
				this.#options.log.warn('peer timed out', {peer: entryId});
			}
		}

		this.#livePeerIds = live;
	}
}
