/**
 * Outgoing stream to one other entry, which is reopened when it ends or stalls.
 */
import {Metadata, type ChannelCredentials, type ClientDuplexStream} from '@grpc/grpc-js';
import {
	readErrorMessage, VerdictError, type Clock, type EntryId, type IncarnationId, type RandomSource,
} from '@tamarackwind/core';
import {type PeerBody} from './buses.js';
import {channelOptions} from './grpc-options.js';
import {
	PeerMessage, PeerServiceClient, type FetchSettingsReply, type FetchSettingsRequest, type Heartbeat, type Hello,
} from './gen/tamarackwind/peer/v1/peer.js';

/** Peer address of another entry. */
export type PeerAddress = {readonly entryId: EntryId; readonly address: string; readonly port: number};

/** Versions and state that a heartbeat carries. */
export type HeartbeatState = Omit<Heartbeat, 'sequence' | 'acknowledgedSequence'>;

export type PeerLinkOptions = {
	readonly to: PeerAddress;
	readonly hello: Hello;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly heartbeatIntervalMs: number;
	/** Time without an acknowledged heartbeat after which the link reconnects, in milliseconds. */
	readonly stallTimeoutMs: number;
	readonly createCredentials: () => ChannelCredentials;
	readonly readHeartbeatState: () => HeartbeatState;
	/** Returns the next heartbeat sequence number, unique over all links of this incarnation. */
	readonly createSequence: () => number;
	/** Returns the highest heartbeat sequence number received from this incarnation of the peer. */
	readonly getReceivedSequence: (incarnation: IncarnationId) => number;
	readonly onBytesSent: (bytes: number) => void;
};

const minBackoffMs = 100;
const maxBackoffMs = 1000;
const fetchTimeoutMs = 2000;
const maxSendTimes = 128;
/** Queue length above which messages to a slow peer are dropped. */
const maxQueuedMessages = 256;

/** Bytes that gRPC and HTTP/2 framing add to a message. */
export const messageFramingBytes = 14;

/** Keeps a stream to one peer open and writes messages to it. */
export class PeerLink {
	static create(options: PeerLinkOptions): PeerLink {
		return new PeerLink(options);
	}

	readonly to: PeerAddress;
	readonly #options: PeerLinkOptions;
	readonly #controller = new AbortController();
	readonly #sendTimes = new Map<number, number>();
	readonly #finished: Promise<void>;
	#client: PeerServiceClient | undefined;
	#stream: ClientDuplexStream<PeerMessage, PeerMessage> | undefined;
	#incarnation: IncarnationId | undefined;
	#acknowledgedSequence = 0;
	#streamCount = 0;

	private constructor(options: PeerLinkOptions) {
		this.#options = options;
		this.to = options.to;
		this.#finished = this.#run();
	}

	/** Number of streams opened since the link was created. */
	get streamCount(): number {
		return this.#streamCount;
	}

	/** Sends a message; drops it when the stream is closed or its queue is full. */
	send(body: PeerBody): void {
		const stream = this.#stream;
		if (stream === undefined || stream.writableLength > maxQueuedMessages) {
			return;
		}

		const message = {body};
		this.#options.onBytesSent(PeerMessage.encode(message).finish().length + messageFramingBytes);
		stream.write(message);
	}

	/** Sends a heartbeat at once; does nothing before the peer's `hello` arrived. */
	sendHeartbeat(): void {
		if (this.#stream === undefined || this.#incarnation === undefined) {
			return;
		}

		const sequence = this.#options.createSequence();
		this.#recordSendTime(sequence);
		this.send({
			$case: 'heartbeat',
			heartbeat: {...this.#options.readHeartbeatState(), sequence, acknowledgedSequence: this.#options.getReceivedSequence(this.#incarnation)},
		});
	}

	/** Records the acknowledgement of a heartbeat; returns the monotonic time at which it was sent, or `undefined` when it is unknown. */
	recordAcknowledgement(sequence: number): number | undefined {
		const sentAt = this.#sendTimes.get(sequence);
		if (sentAt !== undefined) {
			this.#acknowledgedSequence = Math.max(this.#acknowledgedSequence, sequence);
		}

		return sentAt;
	}

	/**
	 * Fetches the settings, fleet and members that the peer uses.
	 *
	 * @throws {VerdictError} when the peer does not respond.
	 */
	async fetchSettings(known: FetchSettingsRequest): Promise<FetchSettingsReply> {
		const client = this.#client;
		try {
			return await new Promise((resolve, reject) => {
				if (client === undefined) {
					reject(new Error('not connected'));
					return;
				}

				client.fetchSettings(known, new Metadata(), {deadline: Date.now() + fetchTimeoutMs}, (error, reply) => {
					if (error) {
						reject(error);
					} else {
						resolve(reply);
					}
				});
			});
		} catch (error) {
			throw new VerdictError(`entry "${this.to.entryId}" did not give its settings: ${readErrorMessage(error)}`, {verdict: 'not-run', code: 'peer_unavailable'});
		}
	}

	async close(): Promise<void> {
		this.#controller.abort();
		this.#stream?.cancel();
		await this.#finished;
	}

	async #run(): Promise<void> {
		const {signal} = this.#controller;
		let backoffMs = minBackoffMs;
		while (!signal.aborted) {
			const wasEstablished = await this.#runStream();
			backoffMs = wasEstablished ? minBackoffMs : Math.min(maxBackoffMs, backoffMs * 2);
			await this.#options.clock.sleep(backoffMs * (0.5 + this.#options.random.readFraction()), signal);
		}
	}

	/** Opens a stream and sends heartbeats until it ends or stalls; resolves to whether the peer's `hello` arrived. */
	async #runStream(): Promise<boolean> {
		const {to, createCredentials, hello, clock, heartbeatIntervalMs} = this.#options;
		const client = new PeerServiceClient(`${to.address}:${to.port}`, createCredentials(), channelOptions);
		const stream = client.exchange();
		const ended = this.#watchEnd(stream);
		this.#client = client;
		this.#stream = stream;
		this.#streamCount++;
		this.send({$case: 'hello', hello});
		const openedAt = clock.readMonotonic();
		while (!ended.aborted && !this.#isStalled(openedAt)) {
			this.sendHeartbeat();
			await clock.sleep(heartbeatIntervalMs, ended);
		}

		const wasEstablished = this.#incarnation !== undefined;
		this.#stream = undefined;
		this.#incarnation = undefined;
		this.#client = undefined;
		stream.cancel();
		client.close();
		return wasEstablished;
	}

	#watchEnd(stream: ClientDuplexStream<PeerMessage, PeerMessage>): AbortSignal {
		const ended = new AbortController();
		const end = (): void => {
			ended.abort();
		};

		stream.on('data', ({body}: PeerMessage) => {
			if (body?.$case === 'hello' && this.#stream === stream) {
				this.#incarnation = body.hello.incarnation as IncarnationId;
				this.sendHeartbeat();
			}
		});
		stream.on('error', end);
		stream.on('end', end);
		this.#controller.signal.addEventListener('abort', end, {signal: ended.signal});
		return ended.signal;
	}

	#recordSendTime(sequence: number): void {
		this.#sendTimes.set(sequence, this.#options.clock.readMonotonic());
		if (this.#sendTimes.size > maxSendTimes) {
			const [oldest] = this.#sendTimes.keys();
			this.#sendTimes.delete(oldest!);
		}
	}

	/** Reports whether the stall timeout passed since the oldest unacknowledged heartbeat, or since the stream opened if no `hello` arrived. */
	#isStalled(openedAt: number): boolean {
		const {clock, stallTimeoutMs} = this.#options;
		const now = clock.readMonotonic();
		if (this.#incarnation === undefined) {
			return now - openedAt > stallTimeoutMs;
		}

		for (const [sequence, sentAt] of this.#sendTimes) {
			if (sequence > this.#acknowledgedSequence && sentAt >= openedAt) {
				return now - sentAt > stallTimeoutMs;
			}
		}

		return false;
	}
}
