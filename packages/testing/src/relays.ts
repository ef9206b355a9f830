/**
 * TCP relays that stand on the links of a deployment, so that one link can be cut.
 */
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {type VmRecord} from '@tamarackwind/clients';
import {type PlatformStandIn} from './platforms.js';

/** Passes bytes between its port and a target on loopback. */
export class Relay {
	static async create(targetPort: number): Promise<Relay> {
		const relay = new Relay(targetPort);
		await new Promise<void>(resolve => {
			relay.#server.listen(0, '127.0.0.1', resolve);
		});
		return relay;
	}

	targetPort: number;
	/** Bytes passed both ways so far. */
	byteCount = 0;
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();
	#isCut = false;

	private constructor(targetPort: number) {
		this.targetPort = targetPort;
		this.#server = createServer(socket => {
			this.#accept(socket);
		});
	}

	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	/** Resets the connections and refuses new ones, or lets them pass again. */
	setCut(isCut: boolean): void {
		this.#isCut = isCut;
		if (isCut) {
			for (const socket of this.#sockets) {
				socket.destroy();
			}
		}
	}

	async close(): Promise<void> {
		this.setCut(true);
		await new Promise(resolve => {
			this.#server.close(resolve);
		});
	}

	#accept(socket: Socket): void {
		if (this.#isCut) {
			socket.destroy();
			return;
		}

		const target = connect(this.targetPort, '127.0.0.1');
		for (const [one, other] of [[socket, target], [target, socket]] as const) {
			this.#sockets.add(one);
			one.setNoDelay(true);
			one.on('data', chunk => {
				this.byteCount += chunk.length;
			});
			one.pipe(other);
			one.on('error', () => {});
			one.on('close', () => {
				this.#sockets.delete(one);
				other.destroy();
			});
		}
	}
}

/** A relay on each link from an entry to the platform and to each other entry. */
export class RelayMesh {
	static create(platform: PlatformStandIn): RelayMesh {
		return new RelayMesh(platform);
	}

	readonly #platform: PlatformStandIn;
	readonly #platformLinks = new Map<string, Relay>();
	readonly #peerLinks = new Map<string, Relay>();
	readonly #cutLinks = new Set<string>();

	private constructor(platform: PlatformStandIn) {
		this.#platform = platform;
	}

	/** Gives the URL at which an entry reaches the platform. */
	async openPlatformLink(entryId: string): Promise<string> {
		const known = this.#platformLinks.get(entryId);
		if (known !== undefined) {
			return `http://127.0.0.1:${known.port}`;
		}

		const port = await this.#platform.openPort(vms => this.#mapVms(entryId, vms));
		const relay = await Relay.create(port);
		this.#platformLinks.set(entryId, relay);
		return `http://127.0.0.1:${relay.port}`;
	}

	/** Bytes passed so far on the streams that an entry opened to its peers, and on its link to the platform. */
	countBytes(entryId: string): {readonly peers: number; readonly platform: number} {
		let peers = 0;
		for (const [link, relay] of this.#peerLinks) {
			if (link.split(' ').includes(entryId)) {
				peers += relay.byteCount;
			}
		}

		return {peers, platform: this.#platformLinks.get(entryId)?.byteCount ?? 0};
	}

	cutPlatform(entryId: string, isCut: boolean): void {
		this.#platformLinks.get(entryId)?.setCut(isCut);
	}

	/** Cuts or restores the streams of two entries to each other. */
	cutPeers(one: string, other: string, isCut: boolean): void {
		for (const link of [`${one} ${other}`, `${other} ${one}`]) {
			this.#peerLinks.get(link)?.setCut(isCut);
			if (isCut) {
				this.#cutLinks.add(link);
			} else {
				this.#cutLinks.delete(link);
			}
		}
	}

	async close(): Promise<void> {
		await Promise.all([...this.#platformLinks.values(), ...this.#peerLinks.values()].map(async relay => relay.close()));
	}

	#mapVms(asker: string, vms: readonly VmRecord[]): VmRecord[] {
		return vms.flatMap(vm => {
			if (vm.peerPort === undefined || vm.vmId === asker) {
				return [vm];
			}

			const relay = this.#getPeerLink(`${asker} ${vm.vmId}`, vm.peerPort);
			return relay === undefined ? [] : [{...vm, peerPort: relay.port}];
		});
	}

	#getPeerLink(link: string, targetPort: number): Relay | undefined {
		const known = this.#peerLinks.get(link);
		if (known === undefined) {
			void this.#openPeerLink(link, targetPort);
			return undefined;
		}

		known.targetPort = targetPort;
		return known;
	}

	async #openPeerLink(link: string, targetPort: number): Promise<void> {
		const relay = await Relay.create(targetPort);
		if (this.#peerLinks.has(link)) {
			await relay.close();
			return;
		}

		relay.setCut(this.#cutLinks.has(link));
		this.#peerLinks.set(link, relay);
	}
}
