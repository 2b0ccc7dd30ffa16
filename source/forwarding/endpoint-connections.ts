/**
 * Connections to endpoints.
 *
 * @module
 */
import {Agent, type ClientRequest} from 'node:http';
import {type Socket} from 'node:net';

/** Time for which an unused connection is kept, in milliseconds; endpoints close theirs a little later. */
const idleMilliseconds = 4000;

/** Unused connections kept for each endpoint. */
const idleConnections = 4;

/** The library's own handling, which its types do not declare in full. */
// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Both methods are documented.
const agentMethods = Agent.prototype as unknown as {keepSocketAlive(socket: Socket): boolean; reuseSocket(socket: Socket, request: ClientRequest): void};

/** Keeps connections, and closes those on which an endpoint sends anything while no request waits there. */
class QuietAgent extends Agent {
	// eslint-disable-next-line @typescript-eslint/strict-void-return -- The library takes the answer, which its types leave out.
	override keepSocketAlive(socket: Socket): boolean {
		const kept = agentMethods.keepSocketAlive.call(this, socket);
		if (kept) {
			socket.on('data', destroyOnData);
		}

		return kept;
	}

	override reuseSocket(socket: Socket, request: ClientRequest): void {
		socket.off('data', destroyOnData);
		agentMethods.reuseSocket.call(this, socket, request);
	}
}

function destroyOnData(this: Socket): void {
	this.destroy();
}

/**
 * The connections of one router to all endpoints.
 *
 * @example
 * ```ts
 * const connections = new EndpointConnections();
 * const agent = connections.agent('kept');
 * ```
 */
export class EndpointConnections {
	readonly #kept = new QuietAgent({
		keepAlive: true, timeout: idleMilliseconds, maxFreeSockets: idleConnections, scheduling: 'lifo',
	});

	readonly #fresh = new Agent({keepAlive: false});

	/**
	 * Returns the agent of a request.
	 *
	 * @param use `kept` where the request may be sent again, since an unused connection may turn out to be dead; `fresh` otherwise.
	 */
	agent(use: 'kept' | 'fresh'): Agent {
		return use === 'kept' ? this.#kept : this.#fresh;
	}

	/** Closes all connections. */
	close(): void {
		this.#kept.destroy();
		this.#fresh.destroy();
	}
}
