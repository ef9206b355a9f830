/**
 * Certificates of the entry's ports, read again when their files are replaced.
 */
import {readFileSync, watchFile, unwatchFile} from 'node:fs';
import process from 'node:process';
import {createSecureContext, type TlsOptions} from 'node:tls';
import {ChannelCredentials, ServerCredentials, experimental} from '@grpc/grpc-js';
import {readErrorMessage, type Log} from '@tamarackwind/core';
import {type EntryConfig} from './configs.js';

/** Files of a certificate, its key, and the authority of the other side. */
export type TlsFiles = NonNullable<EntryConfig['caller']['tls']>;

/** Contents of the files, in PEM. */
export type TlsContents = {readonly cert: string; readonly key: string; readonly ca?: string};

/** Time between two looks at the files, in milliseconds. */
const watchIntervalMs = 1000;

/**
 * Reads the files.
 *
 * @throws {Error} when a file can't be read.
 */
export function readTlsFiles({certFile, keyFile, caFile}: TlsFiles): TlsContents {
	return {cert: readFileSync(certFile, 'utf8'), key: readFileSync(keyFile, 'utf8'), ca: caFile === undefined ? undefined : readFileSync(caFile, 'utf8')};
}

/** Options of a server; with an authority, the other side must show a certificate of its own. */
export function createTlsOptions(files: TlsFiles): TlsOptions {
	const isMutual = files.caFile !== undefined;
	return {...readTlsFiles(files), requestCert: isMutual, rejectUnauthorized: isMutual};
}

/** Tells when the files were replaced by a certificate and key that belong together. */
export class CertificateWatch {
	static create(files: TlsFiles, log: Log, onReplaced: (contents: TlsContents) => void): CertificateWatch {
		return new CertificateWatch(files, log, onReplaced);
	}

	readonly #names: readonly string[];
	readonly #refresh: () => void;

	private constructor(files: TlsFiles, log: Log, onReplaced: (contents: TlsContents) => void) {
		this.#names = [files.certFile, files.keyFile, ...(files.caFile === undefined ? [] : [files.caFile])];
		this.#refresh = () => {
			try {
				const contents = readTlsFiles(files);
				// Throws while only one of the two files was replaced.
				createSecureContext(contents);
				onReplaced(contents);
				log.info('certificate replaced', {file: files.certFile});
			} catch (error) {
				log.warn('certificate was not replaced', {file: files.certFile, reason: readErrorMessage(error)});
			}
		};

		for (const name of this.#names) {
			watchFile(name, {interval: watchIntervalMs, persistent: false}, this.#refresh);
		}
	}

	close(): void {
		for (const name of this.#names) {
			unwatchFile(name, this.#refresh);
		}
	}
}

type Provider = Parameters<typeof experimental.createCertificateProviderServerCredentials>[0];
type AuthorityListener = Parameters<Provider['addCaCertificateListener']>[0];
type IdentityListener = Parameters<Provider['addIdentityCertificateListener']>[0];

/** Gives the peer port its certificates, and those that replace them. */
class PeerCertificates implements Provider {
	readonly #authorityListeners = new Set<AuthorityListener>();
	readonly #identityListeners = new Set<IdentityListener>();
	#contents: TlsContents;

	constructor(files: TlsFiles, log: Log) {
		this.#contents = readTlsFiles(files);
		CertificateWatch.create(files, log, contents => {
			this.#contents = contents;
			for (const listener of this.#authorityListeners) {
				this.#sendAuthority(listener);
			}

			for (const listener of this.#identityListeners) {
				this.#sendIdentity(listener);
			}
		});
	}

	addCaCertificateListener(listener: AuthorityListener): void {
		this.#authorityListeners.add(listener);
		this.#sendAuthority(listener);
	}

	removeCaCertificateListener(listener: AuthorityListener): void {
		this.#authorityListeners.delete(listener);
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

	#sendAuthority(listener: AuthorityListener): void {
		process.nextTick(listener, {caCertificate: Buffer.from(this.#contents.ca!)});
	}

	#sendIdentity(listener: IdentityListener): void {
		process.nextTick(listener, {certificate: Buffer.from(this.#contents.cert), privateKey: Buffer.from(this.#contents.key)});
	}
}

/** Credentials of the peer port, both ways. */
export type PeerCredentials = {readonly server: ServerCredentials; readonly createChannel: () => ChannelCredentials};

/** Creates the credentials of the peer port: mutual TLS when its settings name a certificate, else none. */
export function createPeerCredentials(files: TlsFiles | undefined, log: Log): PeerCredentials {
	if (files === undefined) {
		return {server: ServerCredentials.createInsecure(), createChannel: () => ChannelCredentials.createInsecure()};
	}

	const certificates = new PeerCertificates(files, log);
	return {
		server: experimental.createCertificateProviderServerCredentials(certificates, certificates, true),
		createChannel: () => certificates.createChannel(),
	};
}
