/**
 * One outgoing stream to another entry, kept open by reconnecting.
 */
import {Metadata, type ChannelCredentials, type ClientDuplexStream} from '@grpc/grpc-js';
import {
	readErrorMessage, VerdictError, type Clock, type EntryId, type IncarnationId, type RandomSource,
} from '@tamarackwind/core';
import {type PeerBody} from './buses.js';
import {channelOptions} from './channels.js';
import {
	PeerMessage, PeerServiceClient, type FetchSettingsReply, type FetchSettingsRequest, type Heartbeat, type Hello,
} from './gen/tamarackwind/peer/v1/peer.js';

/** Where another entry listens for its peers. */
export type PeerAddress = {readonly entryId: EntryId; readonly address: string; readonly port: number};

/** Versions and state that a heartbeat tells. */
export type HeartbeatState = Omit<Heartbeat, 'sequence' | 'acknowledgedSequence'>;

export type PeerLinkOptions = {
	readonly to: PeerAddress;
	readonly hello: Hello;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly heartbeatIntervalMs: number;
	/** Reconnects when no heartbeat was acknowledged for this long, in milliseconds. */
	readonly stallTimeoutMs: number;
	readonly createCredentials: () => ChannelCredentials;
	readonly readState: () => HeartbeatState;
	/** Gives the next sequence of a heartbeat; no two links of an incarnation share one. */
	readonly takeSequence: () => number;
	/** Highest heartbeat received from this incarnation of the peer. */
	readonly getReceivedSequence: (incarnation: IncarnationId) => number;
	readonly onSent: (bytes: number) => void;
};

const minBackoffMs = 100;
const maxBackoffMs = 1000;
const fetchTimeoutMs = 2000;
const keptSendTimes = 128;
/** Messages are dropped while this many wait for a slow peer. */
const maxQueuedMessages = 256;

/** Bytes that gRPC and HTTP/2 put around a message. */
export const messageFramingBytes = 14;

/** Keeps a stream open to one address and writes messages to it. */
export class PeerLink {
	static create(options: PeerLinkOptions): PeerLink {
		return new PeerLink(options);
	}

	readonly to: PeerAddress;
	readonly #options: PeerLinkOptions;
	readonly #controller = new AbortController();
	readonly #sentAt = new Map<number, number>();
	readonly #done: Promise<void>;
	#client: PeerServiceClient | undefined;
	#stream: ClientDuplexStream<PeerMessage, PeerMessage> | undefined;
	#incarnation: IncarnationId | undefined;
	#acknowledgedSequence = 0;
	#reconnects = 0;

	private constructor(options: PeerLinkOptions) {
		this.#options = options;
		this.to = options.to;
		this.#done = this.#run();
	}

	/** Streams opened so far. */
	get reconnects(): number {
		return this.#reconnects;
	}

	/** Sends a message; it is dropped while the stream is not open. */
	send(body: PeerBody): void {
		const stream = this.#stream;
		if (stream === undefined || stream.writableLength > maxQueuedMessages) {
			return;
		}

		const message = {body};
		this.#options.onSent(PeerMessage.encode(message).finish().length + messageFramingBytes);
		stream.write(message);
	}

	/** Sends a heartbeat now; none goes out before the peer has named itself. */
	sendHeartbeat(): void {
		if (this.#stream === undefined || this.#incarnation === undefined) {
			return;
		}

		const sequence = this.#options.takeSequence();
		this.#noteSend(sequence);
		this.send({
			$case: 'heartbeat',
			heartbeat: {...this.#options.readState(), sequence, acknowledgedSequence: this.#options.getReceivedSequence(this.#incarnation)},
		});
	}

	/** Notes an acknowledgement and gives the monotonic time at which that heartbeat was sent. */
	noteAcknowledgement(sequence: number): number | undefined {
		const sentAt = this.#sentAt.get(sequence);
		if (sentAt !== undefined) {
			this.#acknowledgedSequence = Math.max(this.#acknowledgedSequence, sequence);
		}

		return sentAt;
	}

	/**
	 * Reads the settings that the peer works by.
	 *
	 * @throws {VerdictError} when the peer does not answer.
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
		await this.#done;
	}

	async #run(): Promise<void> {
		const {signal} = this.#controller;
		let backoffMs = minBackoffMs;
		while (!signal.aborted) {
			const wasOpen = await this.#runStream();
			backoffMs = wasOpen ? minBackoffMs : Math.min(maxBackoffMs, backoffMs * 2);
			await this.#options.clock.sleep(backoffMs * (0.5 + this.#options.random.readFraction()), signal);
		}
	}

	/** Opens a stream and sends heartbeats until it ends; tells whether the peer answered. */
	async #runStream(): Promise<boolean> {
		const {to, createCredentials, hello, clock, heartbeatIntervalMs} = this.#options;
		const client = new PeerServiceClient(`${to.address}:${to.port}`, createCredentials(), channelOptions);
		const stream = client.exchange();
		const ended = this.#watchEnd(stream);
		this.#client = client;
		this.#stream = stream;
		this.#reconnects++;
		this.send({$case: 'hello', hello});
		const openedAt = clock.readMonotonic();
		while (!ended.aborted && !this.#isStalled(openedAt)) {
			this.sendHeartbeat();
			await clock.sleep(heartbeatIntervalMs, ended);
		}

		const wasOpen = this.#incarnation !== undefined;
		this.#stream = undefined;
		this.#incarnation = undefined;
		this.#client = undefined;
		stream.cancel();
		client.close();
		return wasOpen;
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

	#noteSend(sequence: number): void {
		this.#sentAt.set(sequence, this.#options.clock.readMonotonic());
		if (this.#sentAt.size > keptSendTimes) {
			const [oldest] = this.#sentAt.keys();
			this.#sentAt.delete(oldest!);
		}
	}

	/** Tells whether the oldest heartbeat of this stream without an acknowledgement is too old. */
	#isStalled(openedAt: number): boolean {
		const {clock, stallTimeoutMs} = this.#options;
		const now = clock.readMonotonic();
		if (this.#incarnation === undefined) {
			return now - openedAt > stallTimeoutMs;
		}

		for (const [sequence, sentAt] of this.#sentAt) {
			if (sequence > this.#acknowledgedSequence && sentAt >= openedAt) {
				return now - sentAt > stallTimeoutMs;
			}
		}

		return false;
	}
}
