/**
 * The gRPC server that peers connect to, and the client that connects to them.
 *
 * Connections are not encrypted; the shared key only tells peers from strangers, so the network between the hosts must be trusted.
 *
 * @module
 */
import {createHash, timingSafeEqual} from 'node:crypto';
import {
	Client, Metadata, Server, ServerCredentials, credentials, status, type MethodDefinition, type ServerDuplexStream, type ServiceDefinition,
} from '@grpc/grpc-js';
import {type PeerContext} from './peer-context.ts';
import {exchangeMethod, peerKeyField, type PeerMessageParts} from './peer-protocol.ts';
import {runSession, type RunSessionOptions, type SessionEnd} from './peer-session.ts';

/** Bytes that frame each message: 9 of HTTP/2 and 5 of gRPC. */
const framingBytes = 14;

/** Largest message, in bytes: a whole configuration and a host list at the largest size. */
const largestMessageBytes = 16_777_216;

/** Time after which the server probes a connection that carries nothing, in milliseconds. */
const keepAliveMilliseconds = 20_000;

const channelOptions = {
	'grpc.max_receive_message_length': largestMessageBytes,
	'grpc.max_send_message_length': largestMessageBytes,
};

/** A running peer server. */
export type PeerServer = {
	/** Stops it and ends its connections. */
	close(): void;
};

/**
 * Starts the server that peers connect to.
 *
 * @param context Parts that all connections share.
 * @param signal Ends the connections.
 * @throws {Error} When the address cannot be listened on.
 * @example
 * ```ts
 * const server = await startPeerServer(context, signal);
 * ```
 */
export async function startPeerServer(context: PeerContext, signal: AbortSignal): Promise<PeerServer> {
	const server = new Server({...channelOptions, 'grpc.keepalive_time_ms': keepAliveMilliseconds});
	const method = countSent(context);
	const service: ServiceDefinition = {exchange: method};
	server.addService(service, {
		exchange(stream: ServerDuplexStream<Record<string, unknown>, PeerMessageParts>) {
			if (hasKey(stream.metadata, context.settings.key)) {
				void runSession({
					stream, direction: 'inbound', context, signal,
				});
				return;
			}

			context.logger.warn('peer refused', {peer: stream.getPeer()});
			stream.emit('error', {code: status.UNAUTHENTICATED, details: 'the peer key is missing or wrong'});
		},
	});
	await new Promise<void>((resolve, reject) => {
		server.bindAsync(context.settings.listen, ServerCredentials.createInsecure(), error => {
			if (error) {
				reject(error);
			} else {
				resolve();
			}
		});
	});
	return {
		close() {
			server.forceShutdown();
		},
	};
}

/**
 * Connects to a peer over a new connection and exchanges hints until it ends.
 *
 * @param address Address of the peer.
 * @param context Parts that all connections share.
 * @param options When to end it.
 * @returns The peer and why the connection ended.
 */
export async function connectToPeer(address: string, context: PeerContext, options: Pick<RunSessionOptions, 'signal' | 'wanted'>): Promise<SessionEnd> {
	const client = new Client(address, credentials.createInsecure(), {...channelOptions, 'grpc.use_local_subchannel_pool': 1, 'grpc.enable_retries': 0});
	const metadata = new Metadata();
	metadata.set(peerKeyField, context.settings.key);
	const method = countSent(context);
	const stream = client.makeBidiStreamRequest(method.path, method.requestSerialize, method.responseDeserialize, metadata);
	try {
		return await runSession({
			stream, direction: 'outbound', context, ...options,
		});
	} finally {
		stream.cancel();
		client.close();
	}
}

function countSent(context: PeerContext): MethodDefinition<PeerMessageParts, Record<string, unknown>> {
	const serialize = (message: PeerMessageParts) => {
		const bytes = exchangeMethod.requestSerialize(message);
		context.countBytes(bytes.length + framingBytes);
		return bytes;
	};

	return {
		...exchangeMethod, requestSerialize: serialize, responseSerialize: serialize,
	};
}

function hasKey(metadata: Metadata, key: string): boolean {
	const digest = (text: string) => createHash('sha256').update(text).digest();
	return timingSafeEqual(digest(String(metadata.get(peerKeyField)[0] ?? '')), digest(key));
}
