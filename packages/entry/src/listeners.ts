/**
 * Servers that the ports of an entry listen with.
 */
import {type Server} from 'node:http';
import {createServer as createTlsServer, type Server as TlsServer} from 'node:https';
import {type AddressInfo} from 'node:net';
import {serve} from '@hono/node-server';
import {Log} from '@tamarackwind/core';
import {type Hono} from 'hono';
import {CertificateWatch, createTlsOptions, type TlsFiles} from './certificates.js';

type Fetch = Parameters<typeof serve>[0]['fetch'];

export type ListenerOptions = {readonly host: string; readonly port: number; readonly tls?: TlsFiles};

/** One port with an app behind it. */
export class Listener {
	/** Opens a port, with TLS when `tls` names a certificate; resolves once it accepts connections. */
	static async create(app: Pick<Hono<any>, 'fetch'>, {host, port, tls}: ListenerOptions, log = Log.createSilent()): Promise<Listener> {
		const secure = tls === undefined ? {} : {createServer: createTlsServer, serverOptions: createTlsOptions(tls)};
		const server = await new Promise<Server>((resolve, reject) => {
			const opened = serve({
				fetch: app.fetch as Fetch, hostname: host, port, ...secure,
			}, () => {
				resolve(opened);
			}) as Server;
			opened.once('error', reject);
		});
		return new Listener(server, tls === undefined ? undefined : watchCertificate(server as TlsServer, tls, log));
	}

	readonly server: Server;
	readonly #certificates: CertificateWatch | undefined;

	private constructor(server: Server, certificates: CertificateWatch | undefined) {
		this.server = server;
		this.#certificates = certificates;
	}

	get port(): number {
		return (this.server.address() as AddressInfo).port;
	}

	/** Takes no new connections and waits until the open ones have ended. */
	async close(): Promise<void> {
		this.#certificates?.close();
		await new Promise(resolve => {
			this.server.close(resolve);
			this.server.closeIdleConnections();
		});
	}
}

function watchCertificate(server: TlsServer, files: TlsFiles, log: Log): CertificateWatch {
	return CertificateWatch.create(files, log, contents => {
		server.setSecureContext(contents);
	});
}
