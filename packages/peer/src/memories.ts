/**
 * A bus in memory, for tests and simulations of several entries in one process.
 */
import {type Clock, type EntryId, type IncarnationId} from '@tamarackwind/core';
import {PeerBus, type PeerBody, type PeerInfo} from './buses.js';
import {PeerMessage} from './gen/tamarackwind/peer/v1/peer.js';

/** Joins the buses of several entries. */
export class MemoryPeerHub {
	/** Joins entries by links of `delayMs` milliseconds. */
	static create(clock: Clock, delayMs = 0): MemoryPeerHub {
		return new MemoryPeerHub(clock, delayMs);
	}

	readonly #clock: Clock;
	readonly #delayMs: number;
	readonly #buses = new Map<EntryId, MemoryPeerBus>();
	readonly #cuts = new Set<string>();
	#messageCount = 0;
	#byteCount = 0;

	private constructor(clock: Clock, delayMs: number) {
		this.#clock = clock;
		this.#delayMs = delayMs;
	}

	/** Messages carried so far. */
	get messageCount(): number {
		return this.#messageCount;
	}

	/** Bytes of the encoded messages carried so far. */
	get byteCount(): number {
		return this.#byteCount;
	}

	createBus(entryId: EntryId): MemoryPeerBus {
		const bus = MemoryPeerBus.create(this, entryId);
		this.#buses.set(entryId, bus);
		return bus;
	}

	/** Cuts or restores the link between two entries, both ways. */
	setCut(one: EntryId, other: EntryId, isCut: boolean): void {
		for (const link of [`${one} ${other}`, `${other} ${one}`]) {
			if (isCut) {
				this.#cuts.add(link);
			} else {
				this.#cuts.delete(link);
			}
		}
	}

	listPeersOf(entryId: EntryId): PeerInfo[] {
		const heardAt = this.#clock.readMonotonic();
		return [...this.#buses.values()]
			.filter(bus => bus.self.entryId !== entryId && !this.#cuts.has(`${entryId} ${bus.self.entryId}`))
			.map(bus => ({...bus.self, heardAt}))
			.toSorted((a, b) => a.entryId.localeCompare(b.entryId));
	}

	async sendOver(from: MemoryPeerBus, to: EntryId, body: PeerBody): Promise<void> {
		if (this.#buses.get(from.self.entryId) !== from || this.#cuts.has(`${from.self.entryId} ${to}`)) {
			return;
		}

		this.#messageCount++;
		this.#byteCount += PeerMessage.encode({body}).finish().length;
		await this.#clock.sleep(this.#delayMs);
		this.#buses.get(to)?.accept({...from.self, heardAt: this.#clock.readMonotonic()}, body);
	}

	remove(entryId: EntryId): void {
		this.#buses.delete(entryId);
	}
}

/** The bus of one entry of a hub. */
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
		return this.#hub.listPeersOf(this.self.entryId);
	}

	override send(to: EntryId, body: PeerBody): void {
		void this.#hub.sendOver(this, to, body);
	}

	override async close(): Promise<void> {
		this.#hub.remove(this.self.entryId);
	}

	/** Takes a message that the hub carried. */
	accept(from: PeerInfo, body: PeerBody): void {
		this.receive(from, body);
	}
}
