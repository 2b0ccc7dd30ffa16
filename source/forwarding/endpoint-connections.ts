/**
 * HTTP connections to endpoints.
 *
 * @module
 */
import {Agent, type ClientRequest} from 'node:http';
import {type Socket} from 'node:net';

/** Idle timeout of a pooled connection, in milliseconds; shorter than that of the endpoints, so that they do not close a connection first. */
const idleTimeoutMilliseconds = 4000;

/** Maximum number of idle connections per endpoint. */
const maximumIdleConnections = 4;

/** Methods of Node's `Agent` that its types do not declare completely. */
// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Both methods are documented.
const agentMethods = Agent.prototype as unknown as {keepSocketAlive(socket: Socket): boolean; reuseSocket(socket: Socket, request: ClientRequest): void};

/** Keep-alive agent that closes an idle connection on which the endpoint sends data. */
class StrictKeepAliveAgent extends Agent {
	// eslint-disable-next-line @typescript-eslint/strict-void-return -- Node uses the returned value, which its types leave out.
	override keepSocketAlive(socket: Socket): boolean {
		const isReusable = agentMethods.keepSocketAlive.call(this, socket);
		if (isReusable) {
			socket.on('data', destroyOnData);
		}

		return isReusable;
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
 * Connections of one gateway to all endpoints.
 *
 * @example
 * ```ts
 * const connections = new EndpointConnections();
 * const agent = connections.agent('pooled');
 * ```
 */
export class EndpointConnections {
	readonly #pooled = new StrictKeepAliveAgent({
		keepAlive: true, timeout: idleTimeoutMilliseconds, maxFreeSockets: maximumIdleConnections, scheduling: 'lifo',
	});

	readonly #fresh = new Agent({keepAlive: false});

	/**
	 * Returns the HTTP agent for a request.
	 *
	 * @param use `pooled` for requests that may be sent again, since an idle connection may turn out to be dead; `fresh` otherwise.
	 */
	agent(use: 'pooled' | 'fresh'): Agent {
		return use === 'pooled' ? this.#pooled : this.#fresh;
	}

	/** Closes all connections. */
	close(): void {
		this.#pooled.destroy();
		this.#fresh.destroy();
	}
}
