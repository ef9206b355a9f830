/**
 * In-memory message bus, for tests and simulations of several entries in one process.
 */
import {type Clock, type EntryId, type IncarnationId} from '@tamarackwind/core';
import {PeerBus, type PeerBody, type PeerInfo} from './buses.js';
import {PeerMessage} from './gen/tamarackwind/peer/v1/peer.js';

/** Connects the buses of several entries. */
export class MemoryPeerHub {
	/** Creates a hub whose links have a delay of `delayMs` milliseconds. */
	static create(clock: Clock, delayMs = 0): MemoryPeerHub {
		return new MemoryPeerHub(clock, delayMs);
	}

	readonly #clock: Clock;
	readonly #delayMs: number;
	readonly #buses = new Map<EntryId, MemoryPeerBus>();
	readonly #cutLinks = new Set<string>();
	readonly #unresponsiveEntries = new Set<EntryId>();
	#messageCount = 0;
	#byteCount = 0;

	private constructor(clock: Clock, delayMs: number) {
		this.#clock = clock;
		this.#delayMs = delayMs;
	}

	/** Number of messages delivered since the start. */
	get messageCount(): number {
		return this.#messageCount;
	}

	/** Bytes of the encoded messages delivered since the start. */
	get byteCount(): number {
		return this.#byteCount;
	}

	createBus(entryId: EntryId): MemoryPeerBus {
		const bus = MemoryPeerBus.create(this, entryId);
		this.#buses.set(entryId, bus);
		return bus;
	}

	/** Cuts or restores the link between two entries in both directions. */
	setLinkCut(one: EntryId, other: EntryId, isCut: boolean): void {
		for (const link of [`${one} ${other}`, `${other} ${one}`]) {
			if (isCut) {
				this.#cutLinks.add(link);
			} else {
				this.#cutLinks.delete(link);
			}
		}
	}

	/** Drops or restores all messages from and to an entry. Its peers still list it, as if it were frozen and they had not detected that yet. */
	setUnresponsive(entryId: EntryId, isUnresponsive: boolean): void {
		if (isUnresponsive) {
			this.#unresponsiveEntries.add(entryId);
		} else {
			this.#unresponsiveEntries.delete(entryId);
		}
	}

	listPeers(entryId: EntryId): PeerInfo[] {
		const heardAt = this.#clock.readMonotonic();
		return [...this.#buses.values()]
			.filter(bus => bus.self.entryId !== entryId && !this.#cutLinks.has(`${entryId} ${bus.self.entryId}`))
			.map(bus => ({...bus.self, heardAt}))
			.toSorted((a, b) => a.entryId.localeCompare(b.entryId));
	}

	async send(from: MemoryPeerBus, to: EntryId, body: PeerBody): Promise<void> {
		if (this.#buses.get(from.self.entryId) !== from || this.#unresponsiveEntries.has(from.self.entryId) || this.#unresponsiveEntries.has(to) || this.#cutLinks.has(`${from.self.entryId} ${to}`)) {
			return;
		}

		this.#messageCount++;
		this.#byteCount += PeerMessage.encode({body}).finish().length;
		await this.#clock.sleep(this.#delayMs);
		this.#buses.get(to)?.accept({...from.self, heardAt: this.#clock.readMonotonic()}, body);
	}

	removeBus(entryId: EntryId): void {
		this.#buses.delete(entryId);
	}
}

/** Message bus of one entry of a hub. */
export class MemoryPeerBus extends PeerBus {
	static create(hub: MemoryPeerHub, entryId: EntryId): MemoryPeerBus {
		return new MemoryPeerBus(hub, entryId);
	}

	override readonly self: {readonly entryId: EntryId; readonly incarnation: IncarnationId};
	readonly #hub: MemoryPeerHub;

	private constructor(hub: MemoryPeerHub, entryId: EntryId) {
		super();
		this.#hub = hub;
		this.self = {entryId, incarnation: '1' as IncarnationId};
	}

	override listPeers(): readonly PeerInfo[] {
		return this.#hub.listPeers(this.self.entryId);
	}

	override send(to: EntryId, body: PeerBody): void {
		void this.#hub.send(this, to, body);
	}

	override async close(): Promise<void> {
		this.#hub.removeBus(this.self.entryId);
	}

	/** Receives a message from the hub. */
	accept(from: PeerInfo, body: PeerBody): void {
		this.receive(from, body);
	}
}
