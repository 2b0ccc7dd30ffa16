/**
 * One connection to a peer, the same for the side that opened it and the one that accepted it.
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
	/** The peer, when it said hello. */
	peer: OpenPeer | undefined;
	/** Why it ended. */
	reason: string;
};

/** Stream of message objects, of either side. */
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
	/** Whether the connection is still wanted once the peer is known. Default always. */
	wanted?: (peer: OpenPeer) => boolean;
};

/** Heartbeats without a message after which a connection is given up. */
const missedHeartbeats = 2.5;

/**
 * Exchanges hints with one peer until the connection ends, falls silent or is no longer wanted.
 *
 * @param options Stream, shared parts and end.
 * @returns The peer and why the connection ended.
 * @example
 * ```ts
 * const end = await runSession({stream, direction: 'outbound', context, signal});
 * ```
 */
export async function runSession(options: RunSessionOptions): Promise<SessionEnd> {
	const {context, stream} = options;
	const session = new Session(options);
	const unsubscribe = context.hints.onNews(() => {
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
		session.leave();
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
	#woken = new AbortController();

	constructor(options: RunSessionOptions) {
		this.#options = options;
		this.#inbox = new PeerInbox(options.context);
		this.#outbox = new PeerOutbox(options.context);
		this.#receivedAt = options.context.clock();
	}

	/** Sends what there is to say without waiting for the next heartbeat. */
	wake(): void {
		this.#woken.abort();
	}

	/** Speaks and listens until the connection ends. */
	async run(): Promise<SessionEnd> {
		const {context, signal} = this.#options;
		const {heartbeatMilliseconds} = context.settings;
		this.#listen();
		this.#send({hello: {...context.identity, availabilityZone: context.availabilityZone}});
		let nextHeartbeat = context.clock() + heartbeatMilliseconds;
		for (;;) {
			this.#woken = new AbortController();
			await pause(Math.max(0, nextHeartbeat - context.clock()), AbortSignal.any([signal, this.#woken.signal]));
			const reason = this.#reasonToEnd();
			if (reason !== undefined) {
				return {peer: this.#peer, reason};
			}

			const due = context.clock() >= nextHeartbeat;
			if (due) {
				nextHeartbeat = context.clock() + heartbeatMilliseconds;
			}

			this.#speak(due);
		}
	}

	/** Records that the connection has ended. */
	leave(): void {
		const peer = this.#peer;
		if (!peer) {
			return;
		}

		const {registry, directory, loads, usage, wallClock} = this.#options.context;
		registry.remove(peer);
		if (!registry.open.some(({incarnation}) => incarnation === peer.incarnation)) {
			usage.disconnected(peer, wallClock());
		}

		if (!registry.isConnected(peer.hostName)) {
			directory.markConnected(peer.hostName, false);
			loads.forget(peer.hostName);
		}
	}

	#listen(): void {
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
			this.#endReason ??= `message refused: ${checked.error.message}`;
			this.wake();
			return;
		}

		this.#receivedAt = this.#options.context.clock();
		if (this.#peer === undefined) {
			this.#greet(checked.data);
		}

		if (this.#peer) {
			this.#outbox.answer(this.#inbox.take(checked.data, this.#peer));
			if (this.#outbox.hasAnswers) {
				this.wake();
			}
		}
	}

	#greet({hello}: PeerMessage): void {
		const {context, direction} = this.#options;
		if (!hello || hello.incarnation === context.identity.incarnation) {
			this.#endReason ??= hello ? 'connected to itself' : 'no hello';
			this.wake();
			return;
		}

		this.#peer = {...hello, direction, openedAt: context.clock()};
		context.registry.add(this.#peer);
		context.directory.markConnected(hello.hostName, true);
		context.usage.connected(this.#peer);
		context.logger.debug('peer connected', {peer: hello.hostName, direction});
		this.wake();
	}

	#reasonToEnd(): string | undefined {
		const {context, signal, wanted} = this.#options;
		if (signal.aborted) {
			return 'stopped';
		}

		if (this.#endReason !== undefined) {
			return this.#endReason;
		}

		if (context.clock() - this.#receivedAt > missedHeartbeats * context.settings.heartbeatMilliseconds) {
			return 'silent';
		}

		return this.#peer && wanted && !wanted(this.#peer) ? 'not needed' : undefined;
	}

	#speak(heartbeat: boolean): void {
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
