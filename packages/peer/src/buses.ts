/**
 * Messaging between entries, independent of the transport.
 */
import {type EntryId, type IncarnationId} from '@tamarackwind/core';
import {type PeerMessage} from './gen/tamarackwind/peer/v1/peer.js';

/** Body of a message between entries. */
export type PeerBody = NonNullable<PeerMessage['body']>;

/** Kind of a message between entries. */
export type PeerKind = PeerBody['$case'];

/** Body of a message of kind `Kind`. */
export type PeerBodyOf<Kind extends PeerKind> = Extract<PeerBody, {readonly $case: Kind}>;

/** Another entry whose last message arrived within the membership timeout. */
export type PeerInfo = {
	readonly entryId: EntryId;
	/** Changes each time the entry starts. */
	readonly incarnation: IncarnationId;
	/** Monotonic time at which the last message of the entry arrived, in milliseconds. */
	readonly heardAt: number;
	/** Monotonic time at which this entry sent the heartbeat that the peer's last heartbeat acknowledges, in milliseconds. */
	readonly acknowledgedAt?: number;
};

export type PeerHandler<Kind extends PeerKind> = (from: PeerInfo, body: PeerBodyOf<Kind>) => void;

/**
 * Sends messages to other entries and delivers theirs to subscribers. Delivery is best effort: a message to an
 * unreachable entry is dropped, and none is sent twice.
 */
export abstract class PeerBus {
	readonly #handlers = new Map<PeerKind, Array<PeerHandler<PeerKind>>>();

	/** Identity of this entry. */
	abstract readonly self: {readonly entryId: EntryId; readonly incarnation: IncarnationId};

	/** Lists the other live entries, sorted by id. */
	abstract listPeers(): readonly PeerInfo[];

	/** Sends a message to one entry. */
	abstract send(to: EntryId, body: PeerBody): void;

	abstract close(): Promise<void>;

	/** Sends a message to every live entry. */
	sendToAll(body: PeerBody): void {
		for (const {entryId} of this.listPeers()) {
			this.send(entryId, body);
		}
	}

	/** Calls `handler` for each received message of a kind. */
	subscribe<Kind extends PeerKind>(kind: Kind, handler: PeerHandler<Kind>): void {
		const handlers = this.#handlers.get(kind) ?? [];
		handlers.push(handler as unknown as PeerHandler<PeerKind>);
		this.#handlers.set(kind, handlers);
	}

	protected receive(from: PeerInfo, body: PeerBody): void {
		for (const handler of this.#handlers.get(body.$case) ?? []) {
			handler(from, body);
		}
	}
}
