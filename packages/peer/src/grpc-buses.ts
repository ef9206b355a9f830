/**
 * Messages between entries over gRPC: one stream to each other entry, one from each.
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
	/** Where to listen; port 0 picks a free one. */
	readonly host: string;
	readonly port: number;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Log;
	readonly serverCredentials: ServerCredentials;
	readonly createChannelCredentials: () => ChannelCredentials;
	/** Entries to keep streams to, this one included or not. */
	readonly listAddresses: () => readonly PeerAddress[];
	/** Versions that heartbeats carry. */
	readonly readState: () => HeartbeatState;
	/** Gives the settings that this entry works by. */
	readonly answerFetch: (request: FetchSettingsRequest) => FetchSettingsReply;
	readonly heartbeatIntervalMs?: number;
	/** Silence after which a peer is no longer live, in milliseconds. */
	readonly membershipTimeoutMs?: number;
};

/** Messages and bytes of the peer port, framing of HTTP/2 included, TCP and IP excluded. */
export type PeerTraffic = {readonly bytesSent: number; readonly bytesReceived: number; readonly reconnects: number};

type Member = PeerInfo & {readonly sequence: number};

const defaultHeartbeatIntervalMs = 500;
const defaultMembershipTimeoutMs = 2000;
const reconcileIntervalMs = 250;

/** The bus of one entry over gRPC. */
export class GrpcPeerBus extends PeerBus {
	/** Opens the peer port and begins to connect. */
	static async create(options: GrpcPeerBusOptions): Promise<GrpcPeerBus> {
		const bus = new GrpcPeerBus(options);
		await bus.#open();
		return bus;
	}

	override readonly self: {readonly entryId: EntryId; readonly incarnation: IncarnationId};
	readonly #options: GrpcPeerBusOptions;
	readonly #membershipTimeoutMs: number;
	readonly #links = new Map<EntryId, PeerLink>();
	readonly #members = new Map<EntryId, Member>();
	#server!: PeerServer;
	#loop!: Loop;
	#bytesSent = 0;
	#bytesReceived = 0;
	#closedReconnects = 0;
	#live = new Set<EntryId>();
	#sequence = 0;

	private constructor(options: GrpcPeerBusOptions) {
		super();
		this.#options = options;
		this.self = options.self;
		this.#membershipTimeoutMs = options.membershipTimeoutMs ?? defaultMembershipTimeoutMs;
	}

	/** Port that other entries connect to. */
	get port(): number {
		return this.#server.port;
	}

	get traffic(): PeerTraffic {
		const reconnects = [...this.#links.values()].reduce((sum, link) => sum + link.reconnects, this.#closedReconnects);
		return {bytesSent: this.#bytesSent, bytesReceived: this.#bytesReceived, reconnects};
	}

	override listPeers(): readonly PeerInfo[] {
		const since = this.#options.clock.readMonotonic() - this.#membershipTimeoutMs;
		return [...this.#members.values()]
			.filter(member => member.heardAt >= since)
			.toSorted((a, b) => a.entryId.localeCompare(b.entryId));
	}

	override send(to: EntryId, body: PeerBody): void {
		this.#links.get(to)?.send(body);
	}

	/** Tells every peer the present versions at once. */
	sendHeartbeats(): void {
		for (const link of this.#links.values()) {
			link.sendHeartbeat();
		}
	}

	/**
	 * Reads the settings, fleet and members that a peer works by, as far as they are newer than what is known.
	 *
	 * @throws {VerdictError} when the peer does not answer.
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
		const {host, port, serverCredentials, answerFetch, clock, log} = this.#options;
		this.#server = await PeerServer.create({
			host,
			port,
			credentials: serverCredentials,
			hello: this.self,
			answerFetch,
			isAdmitted: (hello, address) => this.#isAdmitted(hello, address),
			onMessage: (from, body) => this.#handleMessage(from, body),
			onReceived: bytes => {
				this.#bytesReceived += bytes;
			},
		});
		this.#loop = Loop.create({
			clock,
			intervalMs: reconcileIntervalMs,
			run: async () => this.#updateLinks(),
			onError(error) {
				log.error('links to peers were not updated', {reason: String(error)});
			},
		});
	}

	#isAdmitted(hello: Hello, address: string): boolean {
		return this.#options.listAddresses().some(peer => peer.entryId === hello.entryId && peer.address === address);
	}

	#handleMessage(from: Hello, body: PeerBody): boolean {
		const entryId = from.entryId as EntryId;
		const incarnation = from.incarnation as IncarnationId;
		const known = this.#members.get(entryId);
		if (body.$case !== 'hello' && known?.incarnation !== incarnation) {
			return false;
		}

		const heardAt = this.#options.clock.readMonotonic();
		const isSame = known?.incarnation === incarnation;
		const member: Member = isSame
			? {...known, heardAt}
			: {
				entryId, incarnation, heardAt, sequence: 0,
			};
		const noted = body.$case === 'heartbeat' ? this.#noteHeartbeat(member, body.heartbeat) : member;
		this.#members.set(entryId, noted);
		this.receive(noted, body);
		return true;
	}

	#noteHeartbeat(member: Member, {sequence, acknowledgedSequence}: Heartbeat): Member {
		const acknowledgedAt = this.#links.get(member.entryId)?.noteAcknowledgement(acknowledgedSequence);
		return {...member, sequence: Math.max(member.sequence, sequence), acknowledgedAt};
	}

	async #updateLinks(): Promise<void> {
		const addresses = new Map(this.#options.listAddresses().filter(({entryId}) => entryId !== this.self.entryId).map(peer => [peer.entryId, peer]));
		for (const [entryId, link] of this.#links) {
			const wanted = addresses.get(entryId);
			if (wanted?.address !== link.to.address || wanted.port !== link.to.port) {
				this.#links.delete(entryId);
				this.#closedReconnects += link.reconnects;
				await link.close();
			}
		}

		for (const [entryId, to] of addresses) {
			if (!this.#links.has(entryId)) {
				this.#links.set(entryId, this.#createLink(to));
			}
		}

		this.#logMembers();
	}

	#createLink(to: PeerAddress): PeerLink {
		const {clock, random, createChannelCredentials, readState, heartbeatIntervalMs} = this.#options;
		return PeerLink.create({
			to,
			hello: this.self,
			clock,
			random,
			heartbeatIntervalMs: heartbeatIntervalMs ?? defaultHeartbeatIntervalMs,
			stallTimeoutMs: this.#membershipTimeoutMs * 2,
			createCredentials: createChannelCredentials,
			readState,
			takeSequence: () => ++this.#sequence,
			getReceivedSequence: incarnation => {
				const member = this.#members.get(to.entryId);
				return member?.incarnation === incarnation ? member.sequence : 0;
			},
			onSent: bytes => {
				this.#bytesSent += bytes;
			},
		});
	}

	#logMembers(): void {
		const live = new Set(this.listPeers().map(({entryId}) => entryId));
		for (const entryId of live) {
			if (!this.#live.has(entryId)) {
				this.#options.log.info('peer is live', {peer: entryId});
			}
		}

		for (const entryId of this.#live) {
			if (!live.has(entryId)) {
				this.#options.log.warn('peer is silent', {peer: entryId});
			}
		}

		this.#live = live;
	}
}
