/**
 * HTTP servers of the entry's ports.
 */
import {type Server} from 'node:http';
import {createServer as createTlsServer, type Server as TlsServer} from 'node:https';
import {type AddressInfo} from 'node:net';
import {serve} from '@hono/node-server';
import {Log} from '@tamarackwind/core';
import {type Hono} from 'hono';
import {CertificateWatcher, createTlsOptions, type TlsFiles} from './certificates.js';

type Fetch = Parameters<typeof serve>[0]['fetch'];

export type ListenerOptions = {readonly host: string; readonly port: number; readonly tls?: TlsFiles};

/** An HTTP or HTTPS server that serves an app on one port. */
export class Listener {
	/** Opens a port, with TLS if `tls` is given. Resolves once the server accepts connections. */
	static async create(app: Pick<Hono<any>, 'fetch'>, {host, port, tls}: ListenerOptions, log = Log.createSilent()): Promise<Listener> {
		const tlsOptions = tls === undefined ? {} : {createServer: createTlsServer, serverOptions: createTlsOptions(tls)};
		const server = await new Promise<Server>((resolve, reject) => {
			const opened = serve({
				fetch: app.fetch as Fetch, hostname: host, port, ...tlsOptions,
			}, () => {
				resolve(opened);
			}) as Server;
			opened.once('error', reject);
		});
		return new Listener(server, tls === undefined ? undefined : watchCertificate(server as TlsServer, tls, log));
	}

	readonly server: Server;
	readonly #certificates: CertificateWatcher | undefined;

	private constructor(server: Server, certificates: CertificateWatcher | undefined) {
		this.server = server;
		this.#certificates = certificates;
	}

	get port(): number {
		return (this.server.address() as AddressInfo).port;
	}

	/** Refuses new connections and waits until the open ones end. */
	async close(): Promise<void> {
		this.#certificates?.close();
		await new Promise(resolve => {
			this.server.close(resolve);
			this.server.closeIdleConnections();
		});
	}
}

function watchCertificate(server: TlsServer, files: TlsFiles, log: Log): CertificateWatcher {
	return CertificateWatcher.create(files, log, contents => {
		server.setSecureContext(contents);
	});
}
