/**
 * The peer port: takes the streams that other entries open.
 */
import {
	Server, status, type handleBidiStreamingCall, type handleUnaryCall, type ServerCredentials, type ServerDuplexStream,
} from '@grpc/grpc-js';
import {readErrorMessage} from '@tamarackwind/core';
import {type PeerBody} from './buses.js';
import {serverOptions} from './channels.js';
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
	/** Tells whether an entry may connect from an IP number. */
	readonly isAdmitted: (hello: Hello, address: string) => boolean;
	/** Takes a message; `false` ends the stream. */
	readonly onMessage: (from: Hello, body: PeerBody) => boolean;
	readonly onReceived: (bytes: number) => void;
	readonly answerFetch: (request: FetchSettingsRequest) => FetchSettingsReply;
};

/** Address part of `address:port`, without the brackets of IPv6. */
function readPeerAddress(peer: string): string {
	return peer.slice(0, peer.lastIndexOf(':')).replace(/^\[(?<inner>.*)\]$/v, '$<inner>');
}

/** Listens for other entries. */
export class PeerServer {
	/** Opens the port; resolves once it accepts connections. */
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
			this.#accept(stream);
		};

		const fetchSettings: handleUnaryCall<FetchSettingsRequest, FetchSettingsReply> = (call, callback) => {
			try {
				callback(null, options.answerFetch(call.request));
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
			this.#server.bindAsync(`${host}:${port}`, credentials, (error, bound) => {
				if (error) {
					reject(error);
				} else {
					resolve(bound);
				}
			});
		});
	}

	#accept(stream: PeerStream): void {
		const {hello, isAdmitted, onMessage, onReceived} = this.#options;
		let from: Hello | undefined;
		stream.on('error', () => {});
		stream.on('end', () => {
			stream.end();
		});
		stream.on('data', (message: PeerMessage) => {
			onReceived(PeerMessage.encode(message).finish().length + messageFramingBytes);
			const {body} = message;
			if (body?.$case === 'hello' && from === undefined) {
				from = body.hello;
				if (!isAdmitted(from, readPeerAddress(stream.getPeer()))) {
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
