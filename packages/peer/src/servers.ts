/**
 * Server of the peer port, which accepts the streams of other entries.
 */
import {
	Server, status, type handleBidiStreamingCall, type handleUnaryCall, type ServerCredentials, type ServerDuplexStream,
} from '@grpc/grpc-js';
import {readErrorMessage} from '@tamarackwind/core';
import {type PeerBody} from './buses.js';
import {serverOptions} from './grpc-options.js';
import {
	PeerMessage, PeerServiceService, type FetchSettingsReply, type FetchSettingsRequest, type Hello,
} from './gen/tamarackwind/peer/v1/peer.js';
import {messageFramingBytes} from './links.js';

type PeerStream = ServerDuplexStream<PeerMessage, PeerMessage>;

export type PeerServerOptions = {
	readonly host: string;
	readonly port: number;
	readonly credentials: ServerCredentials;
	readonly hello: Hello;
	/** Reports whether an entry may connect from an IP address. */
	readonly isAdmitted: (hello: Hello, address: string) => boolean;
	/** Handles a message; `false` ends the stream. */
	readonly onMessage: (from: Hello, body: PeerBody) => boolean;
	readonly onBytesReceived: (bytes: number) => void;
	readonly handleFetchSettings: (request: FetchSettingsRequest) => FetchSettingsReply;
};

/** Returns the address of `address:port`, without the brackets of an IPv6 address. */
function parsePeerAddress(peer: string): string {
	return peer.slice(0, peer.lastIndexOf(':')).replace(/^\[(?<inner>.*)\]$/v, '$<inner>');
}

/** Accepts the streams of other entries and replies to their fetches of settings. */
export class PeerServer {
	/** Opens the port; resolves once the server accepts connections. */
	static async create(options: PeerServerOptions): Promise<PeerServer> {
		const server = new PeerServer(options);
		await server.#listen();
		return server;
	}

	readonly #options: PeerServerOptions;
	readonly #server = new Server(serverOptions);
	#port = 0;

	private constructor(options: PeerServerOptions) {
		this.#options = options;
		const exchange: handleBidiStreamingCall<PeerMessage, PeerMessage> = stream => {
			this.#handleStream(stream);
		};

		const fetchSettings: handleUnaryCall<FetchSettingsRequest, FetchSettingsReply> = (call, callback) => {
			try {
				callback(null, options.handleFetchSettings(call.request));
			} catch (error) {
				callback({code: status.UNAVAILABLE, details: readErrorMessage(error)});
			}
		};

		this.#server.addService(PeerServiceService, {exchange, fetchSettings});
	}

	get port(): number {
		return this.#port;
	}

	async close(): Promise<void> {
		this.#server.forceShutdown();
	}

	async #listen(): Promise<void> {
		const {host, port, credentials} = this.#options;
		this.#port = await new Promise<number>((resolve, reject) => {
			this.#server.bindAsync(`${host}:${port}`, credentials, (error, boundPort) => {
				if (error) {
					reject(error);
				} else {
					resolve(boundPort);
				}
			});
		});
	}

	#handleStream(stream: PeerStream): void {
		const {hello, isAdmitted, onMessage, onBytesReceived} = this.#options;
		let from: Hello | undefined;
		stream.on('error', () => {});
		stream.on('end', () => {
			stream.end();
		});
		stream.on('data', (message: PeerMessage) => {
			onBytesReceived(PeerMessage.encode(message).finish().length + messageFramingBytes);
			const {body} = message;
			if (body?.$case === 'hello' && from === undefined) {
				from = body.hello;
				if (!isAdmitted(from, parsePeerAddress(stream.getPeer()))) {
					refuseStream(stream, `entry "${from.entryId}" is not in the platform's list`);
					return;
				}

				stream.write({body: {$case: 'hello', hello}});
			}

			if (body !== undefined && (from === undefined || !onMessage(from, body))) {
				refuseStream(stream, 'stream is superseded');
			}
		});
	}
}

function refuseStream(stream: PeerStream, details: string): void {
	stream.removeAllListeners('data');
	stream.emit('error', {code: status.PERMISSION_DENIED, details});
}
