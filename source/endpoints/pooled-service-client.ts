/**
 * Client for idempotent calls to plain services, on pooled connections.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import {Agent} from 'undici';
import {isConnectError} from '../supervision/mod.ts';
import {
	readResponse, type ServiceResponse, type ServiceFailure, type ServiceRequest,
} from './service-message.ts';

/** Options of {@linkcode PooledServiceClient}. */
export type PooledServiceClientOptions = {
	/** Timeout for opening a connection, in milliseconds. Default 1,000. */
	connectMilliseconds?: number;
	/** Maximum number of connections to one endpoint. Default 64. */
	connections?: number;
};

/**
 * Sends calls that may be retried; it retries none itself.
 *
 * @example
 * ```ts
 * const response = await new PooledServiceClient().send('127.0.0.1:9000', request, signal);
 * ```
 */
export class PooledServiceClient {
	readonly #agent: Agent;

	constructor(options: PooledServiceClientOptions = {}) {
		this.#agent = new Agent({
			connectTimeout: options.connectMilliseconds ?? 1000,
			connections: options.connections ?? 64,
			keepAliveTimeout: 4000,
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
		});
	}

	/** Sends one call; the signal aborts it and closes its connection. */
	async send(address: string, request: ServiceRequest, signal: AbortSignal): Promise<Result<ServiceResponse, ServiceFailure>> {
		try {
			const response = await this.#agent.request({
				origin: `http://${address}`,
				method: request.method,
				path: request.path,
				headers: request.headers,
				body: request.body.length > 0 ? request.body : undefined,
				signal,
			});
			return ok(await readResponse(response, () => undefined));
		} catch (error) {
			return err({sent: !isConnectError(error), message: String(error)});
		}
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		await this.#agent.destroy();
	}
}
