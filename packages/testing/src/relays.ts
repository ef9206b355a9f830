/**
 * TCP relays between the processes of a deployment. Each relay can interrupt its link.
 */
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {type VmRecord} from '@tamarackwind/clients';
import {type FakePlatform} from './fake-platforms.js';

/** Forwards TCP connections from its port to a target port on loopback. */
export class TcpRelay {
	static async create(targetPort: number): Promise<TcpRelay> {
		const relay = new TcpRelay(targetPort);
		await new Promise<void>(resolve => {
			relay.#server.listen(0, '127.0.0.1', resolve);
		});
		return relay;
	}

	targetPort: number;
	/** Bytes forwarded in both directions so far. */
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

	/** Closes all connections and rejects new ones, or accepts connections again. */
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
		for (const [source, destination] of [[socket, target], [target, socket]] as const) {
			this.#sockets.add(source);
			source.setNoDelay(true);
			source.on('data', chunk => {
				this.byteCount += chunk.length;
			});
			source.pipe(destination);
			source.on('error', () => {});
			source.on('close', () => {
				this.#sockets.delete(source);
				destination.destroy();
			});
		}
	}
}

/** Holds one relay for each link from an entry to the platform or to another entry. */
export class RelayMesh {
	static create(platform: FakePlatform): RelayMesh {
		return new RelayMesh(platform);
	}

	readonly #platform: FakePlatform;
	readonly #platformLinks = new Map<string, TcpRelay>();
	readonly #peerLinks = new Map<string, TcpRelay>();
	readonly #cutLinks = new Set<string>();

	private constructor(platform: FakePlatform) {
		this.#platform = platform;
	}

	/** Returns the URL at which an entry reaches the platform; creates the relay if needed. */
	async openPlatformLink(entryId: string): Promise<string> {
		const existing = this.#platformLinks.get(entryId);
		if (existing !== undefined) {
			return `http://127.0.0.1:${existing.port}`;
		}

		const port = await this.#platform.openPort(vms => this.#replacePeerPorts(entryId, vms));
		const relay = await TcpRelay.create(port);
		this.#platformLinks.set(entryId, relay);
		return `http://127.0.0.1:${relay.port}`;
	}

	/** Returns the bytes forwarded so far on the links between an entry and its peers, and on its link to the platform. */
	countBytes(entryId: string): {readonly peers: number; readonly platform: number} {
		let peers = 0;
		for (const [link, relay] of this.#peerLinks) {
			if (link.split(' ').includes(entryId)) {
				peers += relay.byteCount;
			}
		}

		return {peers, platform: this.#platformLinks.get(entryId)?.byteCount ?? 0};
	}

	setPlatformLinkCut(entryId: string, isCut: boolean): void {
		this.#platformLinks.get(entryId)?.setCut(isCut);
	}

	/** Interrupts or restores the links between two entries in both directions. */
	setPeerLinksCut(entryId: string, otherEntryId: string, isCut: boolean): void {
		for (const link of [`${entryId} ${otherEntryId}`, `${otherEntryId} ${entryId}`]) {
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

	#replacePeerPorts(entryId: string, vms: readonly VmRecord[]): VmRecord[] {
		return vms.flatMap(vm => {
			if (vm.peerPort === undefined || vm.vmId === entryId) {
				return [vm];
			}

			const relay = this.#getPeerLink(`${entryId} ${vm.vmId}`, vm.peerPort);
			return relay === undefined ? [] : [{...vm, peerPort: relay.port}];
		});
	}

	#getPeerLink(link: string, targetPort: number): TcpRelay | undefined {
		const existing = this.#peerLinks.get(link);
		if (existing === undefined) {
			void this.#openPeerLink(link, targetPort);
			return undefined;
		}

		existing.targetPort = targetPort;
		return existing;
	}

	async #openPeerLink(link: string, targetPort: number): Promise<void> {
		const relay = await TcpRelay.create(targetPort);
		if (this.#peerLinks.has(link)) {
			await relay.close();
			return;
		}

		relay.setCut(this.#cutLinks.has(link));
		this.#peerLinks.set(link, relay);
	}
}
