import {copyFile, mkdtemp} from 'node:fs/promises';
import {readFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {connect, type PeerCertificate} from 'node:tls';
import {fileURLToPath} from 'node:url';
import test from 'ava';
import {Cluster, waitUntil, type EntryProcess} from '../src/index.js';

const fixtures = fileURLToPath(new URL('../../fixtures/', import.meta.url));
const tree = {deployments: {fixture: {pools: {north: {services: {echo: {}}}}}}};

async function createTls(name: string): Promise<{certFile: string; keyFile: string; caFile: string}> {
	const folder = await mkdtemp(path.join(tmpdir(), 'tamarackwind-'));
	const files = {certFile: path.join(folder, 'cert.pem'), keyFile: path.join(folder, 'key.pem'), caFile: path.join(fixtures, 'authority-cert.pem')};
	await copyCertificate(name, files);
	return files;
}

async function copyCertificate(name: string, {certFile, keyFile}: {certFile: string; keyFile: string}): Promise<void> {
	await copyFile(path.join(fixtures, `${name}-key.pem`), keyFile);
	await copyFile(path.join(fixtures, `${name}-cert.pem`), certFile);
}

/** Maximum wait for a refusal after the handshake, in milliseconds. */
const refusalTimeoutMs = 1000;

/** Reads the subject of the certificate that a port presents; returns `undefined` if the port refuses the connection. */
async function readSubject(port: number, protocol: 'h2' | 'http/1.1', client?: string): Promise<string | undefined> {
	return new Promise(resolve => {
		const socket = connect({
			port,
			host: '127.0.0.1',
			ALPNProtocols: [protocol], // eslint-disable-line @typescript-eslint/naming-convention
			ca: readFileSync(path.join(fixtures, 'authority-cert.pem')),
			...(client === undefined ? {} : {cert: readFileSync(path.join(fixtures, `${client}-cert.pem`)), key: readFileSync(path.join(fixtures, `${client}-key.pem`))}),
		});
		socket.on('secureConnect', () => {
			// With TLS 1.3 the server refuses a client certificate only after the handshake.
			setTimeout(() => {
				if (!socket.destroyed && !socket.readableEnded) {
					resolve((socket.getPeerCertificate() as Partial<PeerCertificate>).subject?.CN as string | undefined);
				}

				socket.destroy();
			}, refusalTimeoutMs);
		});
		socket.on('error', () => {});
		socket.on('close', () => {
			resolve(undefined);
		});
		socket.resume();
	});
}

test('peers connect by mutual TLS, unknown clients are refused, and a replaced certificate takes effect without a restart', async t => {
	const files = await createTls('entry');
	const {caFile: _, ...ownFiles} = files;
	const loopback = {host: '127.0.0.1', port: 0};
	const cluster = await Cluster.create({
		tree, workers: {}, entries: 2, entryConfig: {caller: {...loopback, tls: ownFiles}, peer: {...loopback, tls: files}},
	});
	t.teardown(async () => cluster.close());
	const entry: EntryProcess = cluster.entries[0]!;
	await waitUntil(async () => {
		const {body} = await entry.callOperator<{members: Array<{isLive: boolean}>}>('GET', '/v1/status');
		return body.members.filter(({isLive}) => isLive).length === 2;
	});

	t.is(await readSubject(entry.ports.caller!, 'http/1.1'), 'entry');
	t.is(await readSubject(entry.ports.peer!, 'h2', 'entry'), 'entry');
	t.is(await readSubject(entry.ports.peer!, 'h2', 'stranger'), undefined);
	t.is(await readSubject(entry.ports.peer!, 'h2'), undefined);

	await copyCertificate('replaced', files);
	await waitUntil(async () => await readSubject(entry.ports.caller!, 'http/1.1') === 'replaced');
	await waitUntil(async () => await readSubject(entry.ports.peer!, 'h2', 'entry') === 'replaced');
	t.is((await entry.callOperator('GET', '/v1/status')).status, 200);
});
