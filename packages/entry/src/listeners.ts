/**
 * Servers that the ports of an entry listen with.
 */
import {type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {serve} from '@hono/node-server';
import {type Hono} from 'hono';

type Fetch = Parameters<typeof serve>[0]['fetch'];

/** One port with an app behind it. */
export class Listener {
	/** Opens a port; resolves once it accepts connections. */
	static async create(app: Pick<Hono<any>, 'fetch'>, {host, port}: {readonly host: string; readonly port: number}): Promise<Listener> {
		const server = await new Promise<Server>((resolve, reject) => {
			const opened = serve({fetch: app.fetch as Fetch, hostname: host, port}, () => {
				resolve(opened);
			}) as Server;
			opened.once('error', reject);
		});
		return new Listener(server);
	}

	readonly server: Server;

	private constructor(server: Server) {
		this.server = server;
	}

	get port(): number {
		return (this.server.address() as AddressInfo).port;
	}

	/** Takes no new connections and waits until the open ones have ended. */
	async close(): Promise<void> {
		await new Promise(resolve => {
			this.server.close(resolve);
			this.server.closeIdleConnections();
		});
	}
}
