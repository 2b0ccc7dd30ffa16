/**
 * The gRPC server that peers connect to, and the client that connects to them.
 *
 * Connections are not encrypted; the shared key only authenticates peers, so the network between the hosts must be trusted.
 *
 * @module
 */
import {createHash, timingSafeEqual} from 'node:crypto';
import {
	Client, Metadata, Server, credentials, status, type MethodDefinition, type ServerDuplexStream, type ServerUnaryCall, type ServiceDefinition, type sendUnaryData,
} from '@grpc/grpc-js';
import {listenForGrpc} from '../supervision/grpc-listener.ts';
import {permitMethod} from '../fleet/mod.ts';
import {type PermitReply, type PermitRequest} from '../limits/mod.ts';
import {type PeerContext} from './peer-context.ts';
import {exchangeMethod, peerKeyField, type PeerMessageParts} from './peer-protocol.ts';
import {runSession, type RunSessionOptions, type SessionEnd} from './peer-session.ts';

/** Framing overhead of each message, in bytes: 9 of HTTP/2 and 5 of gRPC. */
const framingBytes = 14;

/** Maximum message size, in bytes: a whole configuration and a host list of the largest size. */
const maxMessageBytes = 16_777_216;

/** Idle time after which the server sends a keepalive ping, in milliseconds. */
const keepAliveMilliseconds = 20_000;

const channelOptions = {
	'grpc.max_receive_message_length': maxMessageBytes,
	'grpc.max_send_message_length': maxMessageBytes,
};

/** Error of a call without the shared key. */
const unauthenticated = {code: status.UNAUTHENTICATED, details: 'the peer key is missing or wrong'};

/** A running peer server. */
export type PeerServer = {
	/** Stops the server and closes its connections. */
	close(): void;
};

/**
 * Starts the server that peers connect to.
 *
 * @param context State shared by all connections.
 * @param signal Ends the connections.
 * @throws {Error} When the server cannot listen on the address.
 * @example
 * ```ts
 * const server = await startPeerServer(context, signal);
 * ```
 */
export async function startPeerServer(context: PeerContext, signal: AbortSignal): Promise<PeerServer> {
	const server = new Server({...channelOptions, 'grpc.keepalive_time_ms': keepAliveMilliseconds});
	const method = countSentBytes(context);
	const service: ServiceDefinition = {exchange: method, permit: permitMethod};
	server.addService(service, {
		exchange(stream: ServerDuplexStream<Record<string, unknown>, PeerMessageParts>) {
			if (hasKey(stream.metadata, context.settings.key)) {
				void runSession({
					stream, direction: 'inbound', context, signal,
				});
				return;
			}

			context.logger.warn('peer refused', {peer: stream.getPeer()});
			stream.emit('error', unauthenticated);
		},
		permit(call: ServerUnaryCall<PermitRequest, PermitReply>, callback: sendUnaryData<PermitReply>) {
			if (hasKey(call.metadata, context.settings.key)) {
				callback(null, context.answerPermit(call.request));
				return;
			}

			context.logger.warn('peer refused', {peer: call.getPeer()});
			callback(unauthenticated);
		},
	});
	return {close: await listenForGrpc(server, {address: context.settings.listen, connections: context.peerConnections})};
}

/**
 * Opens a new connection to a peer and exchanges messages until it ends.
 *
 * @param address Address of the peer.
 * @param context State shared by all connections.
 * @param options Conditions that end the connection.
 * @returns The peer and why the connection ended.
 */
export async function connectToPeer(address: string, context: PeerContext, options: Pick<RunSessionOptions, 'signal' | 'wanted'>): Promise<SessionEnd> {
	const client = new Client(address, credentials.createInsecure(), {...channelOptions, 'grpc.use_local_subchannel_pool': 1, 'grpc.enable_retries': 0});
	const metadata = new Metadata();
	metadata.set(peerKeyField, context.settings.key);
	const method = countSentBytes(context);
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

function countSentBytes(context: PeerContext): MethodDefinition<PeerMessageParts, Record<string, unknown>> {
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
