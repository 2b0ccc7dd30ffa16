/**
 * One connection to a peer; the same code runs on the side that opened it and the side that accepted it.
 *
 * @module
 */
import {pause} from '../supervision/mod.ts';
import {PeerInbox} from './_peer-inbox.ts';
import {PeerOutbox} from './_peer-outbox.ts';
import {type PeerContext} from './peer-context.ts';
import {peerMessageSchema, type PeerMessage, type PeerMessageParts} from './peer-protocol.ts';
import {type OpenPeer, type PeerDirection} from './peer-registry.ts';

/** How a connection ended. */
export type SessionEnd = {
	/** The peer; `undefined` if it sent no hello. */
	peer: OpenPeer | undefined;
	/** Why it ended. */
	reason: string;
};

/** Stream of message objects, on the client or the server side. */
export type PeerStream = {
	readonly destroyed: boolean;
	readonly writableEnded: boolean;
	on(event: string, listener: (content?: unknown) => void): unknown;
	write(message: PeerMessageParts): unknown;
	end(): unknown;
};

/** Options of {@linkcode runSession}. */
export type RunSessionOptions = {
	stream: PeerStream;
	direction: PeerDirection;
	context: PeerContext;
	/** Ends the connection. */
	signal: AbortSignal;
	/** Whether the connection is still needed, checked once the peer is known. Default always. */
	wanted?: (peer: OpenPeer) => boolean;
};

/** Number of heartbeat intervals without a message after which a connection is closed. */
const maxMissedHeartbeats = 2.5;

/**
 * Exchanges messages with one peer until the connection ends, times out or is no longer needed.
 *
 * @param options Stream, shared state and conditions that end the connection.
 * @returns The peer and why the connection ended.
 * @example
 * ```ts
 * const end = await runSession({stream, direction: 'outbound', context, signal});
 * ```
 */
export async function runSession(options: RunSessionOptions): Promise<SessionEnd> {
	const {context, stream} = options;
	const session = new Session(options);
	const unsubscribe = context.hints.onUpdate(() => {
		session.wake();
	});
	const unsubscribeConfiguration = context.configuration.onChange(() => {
		session.wake();
	});
	try {
		return await session.run();
	} finally {
		unsubscribe();
		unsubscribeConfiguration();
		session.recordEnd();
		stream.on('error', () => undefined);
		stream.end();
	}
}

class Session {
	readonly #options: RunSessionOptions;
	readonly #inbox: PeerInbox;
	readonly #outbox: PeerOutbox;
	#peer: OpenPeer | undefined;
	#endReason: string | undefined;
	#receivedAt: number;
	#wakeController = new AbortController();

	constructor(options: RunSessionOptions) {
		this.#options = options;
		this.#inbox = new PeerInbox(options.context);
		this.#outbox = new PeerOutbox(options.context);
		this.#receivedAt = options.context.clock();
	}

	/** Sends pending messages without waiting for the next heartbeat. */
	wake(): void {
		this.#wakeController.abort();
	}

	/** Sends and receives messages until the connection ends. */
	async run(): Promise<SessionEnd> {
		const {context, signal} = this.#options;
		const {heartbeatMilliseconds} = context.settings;
		this.#subscribe();
		this.#send({hello: {...context.identity, availabilityZone: context.availabilityZone}});
		let nextHeartbeat = context.clock() + heartbeatMilliseconds;
		for (;;) {
			this.#wakeController = new AbortController();
			await pause(Math.max(0, nextHeartbeat - context.clock()), AbortSignal.any([signal, this.#wakeController.signal]));
			const reason = this.#findEndReason();
			if (reason !== undefined) {
				return {peer: this.#peer, reason};
			}

			const due = context.clock() >= nextHeartbeat;
			if (due) {
				nextHeartbeat = context.clock() + heartbeatMilliseconds;
			}

			this.#sendPending(due);
		}
	}

	/** Records that the connection has ended. */
	recordEnd(): void {
		const peer = this.#peer;
		if (!peer) {
			return;
		}

		const {registry, directory, loads, usage, wallClock} = this.#options.context;
		registry.remove(peer);
		if (!registry.open.some(({incarnation}) => incarnation === peer.incarnation)) {
			usage.recordDisconnect(peer, wallClock());
		}

		if (!registry.isConnected(peer.hostName)) {
			directory.markConnected(peer.hostName, false);
			loads.removePeer(peer.hostName);
		}
	}

	#subscribe(): void {
		const {stream} = this.#options;
		stream.on('data', (message?: unknown) => {
			this.#receive(message);
		});
		for (const event of ['end', 'error', 'cancelled', 'close']) {
			stream.on(event, (error?: unknown) => {
				this.#endReason ??= error instanceof Error ? error.message : event;
				this.wake();
			});
		}
	}

	#receive(content: unknown): void {
		const checked = peerMessageSchema.safeParse(content);
		if (!checked.success) {
			this.#endReason ??= `invalid message: ${checked.error.message}`;
			this.wake();
			return;
		}

		this.#receivedAt = this.#options.context.clock();
		if (this.#peer === undefined) {
			this.#handleHello(checked.data);
		}

		if (this.#peer) {
			this.#outbox.addReply(this.#inbox.handle(checked.data, this.#peer));
			if (this.#outbox.hasReply) {
				this.wake();
			}
		}
	}

	#handleHello({hello}: PeerMessage): void {
		const {context, direction} = this.#options;
		if (!hello || hello.incarnation === context.identity.incarnation) {
			this.#endReason ??= hello ? 'connected to itself' : 'the first message has no hello';
			this.wake();
			return;
		}

		this.#peer = {...hello, direction, openedAt: context.clock()};
		context.registry.add(this.#peer);
		context.directory.markConnected(hello.hostName, true);
		context.usage.recordConnect(this.#peer);
		context.logger.debug('peer connected', {peer: hello.hostName, direction});
		this.wake();
	}

	#findEndReason(): string | undefined {
		const {context, signal, wanted} = this.#options;
		if (signal.aborted) {
			return 'stopped';
		}

		if (this.#endReason !== undefined) {
			return this.#endReason;
		}

		if (context.clock() - this.#receivedAt > maxMissedHeartbeats * context.settings.heartbeatMilliseconds) {
			return 'silent';
		}

		return this.#peer && wanted && !wanted(this.#peer) ? 'not needed' : undefined;
	}

	#sendPending(heartbeat: boolean): void {
		const parts = this.#peer && this.#outbox.compose(this.#peer, heartbeat);
		if (parts ?? heartbeat) {
			this.#send(parts ?? {});
		}
	}

	#send(parts: PeerMessageParts): void {
		const {stream, context} = this.#options;
		if (!stream.destroyed && !stream.writableEnded) {
			stream.write({...parts, configurationVersion: context.configuration.version});
		}
	}
}
