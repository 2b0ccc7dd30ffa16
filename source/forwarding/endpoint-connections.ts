/**
 * HTTP connections to endpoints.
 *
 * @module
 */
import {Agent, type ClientRequest} from 'node:http';
import {type Socket} from 'node:net';
import {reusableIdleTime} from './idle-time.ts';

/** Idle timeout of a connection whose endpoint states none, in milliseconds; shorter than that of the endpoints, so that they do not close a connection first. */
const idleTimeoutMilliseconds = 4000;

/** Longest time for which a connection is kept idle, in milliseconds, however long its endpoint would keep it. */
const longestIdleMilliseconds = 60_000;

/** Maximum number of idle connections per endpoint. */
const maximumIdleConnections = 4;

/** Maximum number of idle connections per endpoint where connections are kept as long as the endpoints state. */
const maximumKeptConnections = 2;

/** Default maximum number of idle connections to all endpoints. */
const defaultMaximumIdle = 512;

/**
 * Longest time since the last response on a connection for which it counts as proven to be alive, in milliseconds. A host that lost power
 * closes none of its connections, and some hosts forget connections that rest, so a request that must not be repeated is lost on an older one;
 * on a new one, it would not be sent.
 */
const provenMilliseconds = 250;

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

/** Options of {@linkcode LongLivedAgent}. */
type LongLivedAgentOptions = {clock: () => number; count: (origin: ConnectionOrigin) => void; maximumIdle: number};

/** Keep-alive agent that keeps an idle connection for as long as its endpoint states, and knows since when each one is idle. */
class LongLivedAgent extends StrictKeepAliveAgent {
	readonly #own: LongLivedAgentOptions;
	/** Monotonic time since which each connection is idle, in milliseconds. */
	readonly #idleSince = new Map<Socket, number>();

	constructor(options: LongLivedAgentOptions) {
		super({
			keepAlive: true, timeout: longestIdleMilliseconds, maxFreeSockets: maximumKeptConnections, scheduling: 'lifo',
		});
		this.#own = options;
	}

	override keepSocketAlive(socket: Socket): boolean {
		if (this.#idleSince.size >= this.#own.maximumIdle || !super.keepSocketAlive(socket)) {
			return false;
		}

		// Node has set the timeout to what the endpoint's response states, if that is less than the agent's.
		const stated = socket.timeout === longestIdleMilliseconds ? undefined : socket.timeout;
		const idleMilliseconds = reusableIdleTime(stated, idleTimeoutMilliseconds);
		if (idleMilliseconds <= 0) {
			return false;
		}

		socket.setTimeout(idleMilliseconds);
		this.#idleSince.set(socket, this.#own.clock());
		return true;
	}

	override reuseSocket(socket: Socket, request: ClientRequest): void {
		this.#idleSince.delete(socket);
		this.#own.count('reused');
		super.reuseSocket(socket, request);
	}

	/** Number of idle connections. */
	get idle(): number {
		return this.#idleSince.size;
	}

	override createConnection(...parameters: Parameters<Agent['createConnection']>): ReturnType<Agent['createConnection']> {
		this.#own.count('new');
		const connection = super.createConnection(...parameters);
		connection?.once('close', () => {
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Without TLS, the connection is a socket.
			this.#idleSince.delete(connection as Socket);
		});
		return connection;
	}

	/**
	 * Closes the connections to an endpoint that have ended, or have been idle for longer than a limit, in milliseconds, and forgets them: Node's
	 * agent takes the newest one of its list without a look whether it has ended.
	 */
	closeIdle(address: string, limit: number): void {
		const [host, port] = address.split(':');
		const now = this.#own.clock();
		const idle = this.freeSockets[this.getName({host, port: Number(port)})] ?? [];
		const isUnusable = (socket: Socket) => socket.destroyed || !socket.writable || now - (this.#idleSince.get(socket) ?? Number.NEGATIVE_INFINITY) >= limit;
		for (const socket of idle.filter(each => isUnusable(each))) {
			idle.splice(idle.indexOf(socket), 1);
			socket.destroy();
		}
	}
}

/**
 * Which connection a request may use: any that is idle, one on which a response was received a moment ago, or none but a new one.
 */
export type ConnectionUse = 'pooled' | 'proven' | 'fresh';

/** Whether a request was sent over a new connection or one that was used before. */
export type ConnectionOrigin = 'new' | 'reused';

/** Idle time from which on a connection is not used again, by the use of the next one, in milliseconds. */
const idleLimits: Record<ConnectionUse, number> = {pooled: Number.POSITIVE_INFINITY, proven: provenMilliseconds, fresh: 0};

/** Options of {@linkcode EndpointConnections}. */
export type EndpointConnectionsOptions = {
	/** Whether all connections are kept for later requests, for as long as their endpoints state. Default false. */
	keepsConnections?: boolean;
	/** Returns monotonic time, in milliseconds. */
	clock?: () => number;
	/** Maximum number of idle connections to all endpoints, where connections are kept. Default 512. */
	maximumIdle?: number;
	/** Counts requests by the connection that they use, where connections are kept. */
	count?: (origin: ConnectionOrigin) => void;
};

/**
 * Connections of one gateway to all endpoints.
 *
 * @example
 * ```ts
 * const connections = new EndpointConnections();
 * const agent = connections.agent('pooled', '10.0.0.1:9000');
 * ```
 */
export class EndpointConnections {
	readonly #pooled = new StrictKeepAliveAgent({
		keepAlive: true, timeout: idleTimeoutMilliseconds, maxFreeSockets: maximumIdleConnections, scheduling: 'lifo',
	});

	readonly #fresh = new Agent({keepAlive: false});
	readonly #longLived: LongLivedAgent | undefined;

	constructor({
		keepsConnections = false, clock = () => performance.now(), maximumIdle = defaultMaximumIdle, count = () => undefined,
	}: EndpointConnectionsOptions = {}) {
		this.#longLived = keepsConnections ? new LongLivedAgent({clock, count, maximumIdle}) : undefined;
	}

	/**
	 * Returns the HTTP agent for a request that is sent at once.
	 *
	 * @param use `pooled` for requests that may be sent again, since an idle connection may turn out to be dead; `proven` for those that may
	 * not, or at a cost; `fresh` where only a new connection shows whether the endpoint lives.
	 * @param address IP address and port of the endpoint.
	 */
	agent(use: ConnectionUse, address: string): Agent {
		if (this.#longLived) {
			this.#longLived.closeIdle(address, idleLimits[use]);
			return this.#longLived;
		}

		return use === 'pooled' ? this.#pooled : this.#fresh;
	}

	/** Number of idle connections that are kept for as long as their endpoints state. */
	get idle(): number {
		return this.#longLived?.idle ?? 0;
	}

	/** Closes all connections. */
	close(): void {
		this.#pooled.destroy();
		this.#fresh.destroy();
		this.#longLived?.destroy();
	}
}
