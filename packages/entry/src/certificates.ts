/**
 * TLS certificates of the entry's ports, reloaded when their files change.
 */
import {readFileSync, watchFile, unwatchFile} from 'node:fs';
import process from 'node:process';
import {createSecureContext, type TlsOptions} from 'node:tls';
import {ChannelCredentials, ServerCredentials, experimental} from '@grpc/grpc-js';
import {readErrorMessage, type Log} from '@tamarackwind/core';
import {type EntryConfig} from './configs.js';

/** Paths of a certificate, its private key, and the CA certificate that verifies the other side. */
export type TlsFiles = NonNullable<EntryConfig['caller']['tls']>;

/** Contents of the TLS files, in PEM. */
export type TlsContents = {readonly cert: string; readonly key: string; readonly ca?: string};

/** Interval at which the files are polled for changes, in milliseconds. */
const filePollIntervalMs = 1000;

/**
 * Reads the TLS files.
 *
 * @throws {Error} if a file cannot be read.
 */
export function readTlsFiles({certFile, keyFile, caFile}: TlsFiles): TlsContents {
	return {cert: readFileSync(certFile, 'utf8'), key: readFileSync(keyFile, 'utf8'), ca: caFile === undefined ? undefined : readFileSync(caFile, 'utf8')};
}

/** Creates the TLS options of a server. With a CA file, clients must present a certificate. */
export function createTlsOptions(files: TlsFiles): TlsOptions {
	const isMutual = files.caFile !== undefined;
	return {...readTlsFiles(files), requestCert: isMutual, rejectUnauthorized: isMutual};
}

/** Watches the TLS files and reports each new certificate with a matching key. */
export class CertificateWatcher {
	static create(files: TlsFiles, log: Log, onReload: (contents: TlsContents) => void): CertificateWatcher {
		return new CertificateWatcher(files, log, onReload);
	}

	readonly #paths: readonly string[];
	readonly #reload: () => void;

	private constructor(files: TlsFiles, log: Log, onReload: (contents: TlsContents) => void) {
		this.#paths = [files.certFile, files.keyFile, ...(files.caFile === undefined ? [] : [files.caFile])];
		this.#reload = () => {
			try {
				const contents = readTlsFiles(files);
				// Throws if only one of the certificate and the key has been replaced so far.
				createSecureContext(contents);
				onReload(contents);
				log.info('certificate reloaded', {file: files.certFile});
			} catch (error) {
				log.warn('failed to reload the certificate', {file: files.certFile, reason: readErrorMessage(error)});
			}
		};

		for (const path of this.#paths) {
			watchFile(path, {interval: filePollIntervalMs, persistent: false}, this.#reload);
		}
	}

	close(): void {
		for (const path of this.#paths) {
			unwatchFile(path, this.#reload);
		}
	}
}

type Provider = Parameters<typeof experimental.createCertificateProviderServerCredentials>[0];
type CaListener = Parameters<Provider['addCaCertificateListener']>[0];
type IdentityListener = Parameters<Provider['addIdentityCertificateListener']>[0];

/** Provides the peer port with the current certificates, including after a reload. */
class PeerCertificateProvider implements Provider {
	readonly #caListeners = new Set<CaListener>();
	readonly #identityListeners = new Set<IdentityListener>();
	#contents: TlsContents;

	constructor(files: TlsFiles, log: Log) {
		this.#contents = readTlsFiles(files);
		CertificateWatcher.create(files, log, contents => {
			this.#contents = contents;
			for (const listener of this.#caListeners) {
				this.#sendCa(listener);
			}

			for (const listener of this.#identityListeners) {
				this.#sendIdentity(listener);
			}
		});
	}

	addCaCertificateListener(listener: CaListener): void {
		this.#caListeners.add(listener);
		this.#sendCa(listener);
	}

	removeCaCertificateListener(listener: CaListener): void {
		this.#caListeners.delete(listener);
	}

	addIdentityCertificateListener(listener: IdentityListener): void {
		this.#identityListeners.add(listener);
		this.#sendIdentity(listener);
	}

	removeIdentityCertificateListener(listener: IdentityListener): void {
		this.#identityListeners.delete(listener);
	}

	createChannel(): ChannelCredentials {
		const {cert, key, ca} = this.#contents;
		return ChannelCredentials.createSsl(Buffer.from(ca!), Buffer.from(key), Buffer.from(cert));
	}

	#sendCa(listener: CaListener): void {
		process.nextTick(listener, {caCertificate: Buffer.from(this.#contents.ca!)});
	}

	#sendIdentity(listener: IdentityListener): void {
		process.nextTick(listener, {certificate: Buffer.from(this.#contents.cert), privateKey: Buffer.from(this.#contents.key)});
	}
}

/** Credentials of the peer port, as server and as client. */
export type PeerCredentials = {readonly server: ServerCredentials; readonly createChannel: () => ChannelCredentials};

/** Creates the credentials of the peer port: mutual TLS if TLS files are configured, else plaintext. */
export function createPeerCredentials(files: TlsFiles | undefined, log: Log): PeerCredentials {
	if (files === undefined) {
		return {server: ServerCredentials.createInsecure(), createChannel: () => ChannelCredentials.createInsecure()};
	}

	const certificates = new PeerCertificateProvider(files, log);
	return {
		server: experimental.createCertificateProviderServerCredentials(certificates, certificates, true),
		createChannel: () => certificates.createChannel(),
	};
}
