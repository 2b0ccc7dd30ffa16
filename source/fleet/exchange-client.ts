/**
 * Client of the exchange call between gateways.
 *
 * @module
 */
import {
	Client, Metadata, credentials, type MethodDefinition,
} from '@grpc/grpc-js';
import {
	err, ok, type Result,
} from 'neverthrow';
import {type PermitReply, type PermitRequest} from '../limits/permit-message.ts';
import {type RetryLoanReply, type RetryLoanRequest} from '../retries/retry-loan-message.ts';
import {exchangeMethod, largestMessageBytes, type ExchangeMessage} from './exchange-protocol.ts';
import {permitMethod} from './permit-protocol.ts';
import {retryLoanMethod} from './retry-loan-protocol.ts';

type Call<Request> = {address: string; message: Request; timeoutMilliseconds: number};

/** Maximum number of open connections to other gateways; the least recently used one is closed first. */
const maximumClients = 16;

/**
 * Exchanges messages with other gateways and keeps the connections open.
 *
 * @example
 * ```ts
 * const response = await client.exchange('10.1.0.40:7340', message, 400);
 * ```
 */
export class ExchangeClient {
	readonly #clients = new Map<string, Client>();
	readonly #metadata: Metadata;

	/**
	 * Creates a client without connections.
	 *
	 * @param metadata Metadata of each call. Default none.
	 */
	constructor(metadata = new Metadata()) {
		this.#metadata = metadata;
	}

	/**
	 * Sends a message to another gateway and returns its response.
	 *
	 * @param address IP address and port.
	 * @param message The message to send.
	 * @param timeoutMilliseconds Timeout of the call, in milliseconds.
	 * @returns The response, or the reason why there is none.
	 */
	async exchange(address: string, message: ExchangeMessage, timeoutMilliseconds: number): Promise<Result<ExchangeMessage, string>> {
		return this.#call(exchangeMethod, {address, message, timeoutMilliseconds});
	}

	/**
	 * Requests a permit from another gateway, or reports a change of a limit to it.
	 *
	 * @param address IP address and port.
	 * @param request The request.
	 * @param timeoutMilliseconds Timeout of the call, in milliseconds.
	 * @returns The reply, or the reason why there is none.
	 */
	async requestPermit(address: string, request: PermitRequest, timeoutMilliseconds: number): Promise<Result<PermitReply, string>> {
		return this.#call(permitMethod, {address, message: request, timeoutMilliseconds});
	}

	/**
	 * Requests a loan of retries from another gateway.
	 *
	 * @param address IP address and port.
	 * @param request The request.
	 * @param timeoutMilliseconds Timeout of the call, in milliseconds.
	 * @returns The reply, or the reason why there is none.
	 */
	async requestRetryLoan(address: string, request: RetryLoanRequest, timeoutMilliseconds: number): Promise<Result<RetryLoanReply, string>> {
		return this.#call(retryLoanMethod, {address, message: request, timeoutMilliseconds});
	}

	/** Closes all connections. */
	close(): void {
		for (const address of this.#clients.keys()) {
			this.#disconnect(address);
		}
	}

	async #call<Request, Response>(method: MethodDefinition<Request, Response>, {address, message, timeoutMilliseconds}: Call<Request>): Promise<Result<Response, string>> {
		const {path, requestSerialize, responseDeserialize} = method;
		const client = this.#client(address);
		return new Promise(resolve => {
			client.makeUnaryRequest(path, requestSerialize, responseDeserialize, message, this.#metadata, {deadline: Date.now() + timeoutMilliseconds}, (error, response) => {
				if (error) {
					this.#replace(address, client);
					resolve(err(error.details || error.message));
					return;
				}

				resolve(response ? ok(response) : err('the response is empty'));
			});
		});
	}

	#client(address: string): Client {
		const client = this.#clients.get(address) ?? new Client(address, credentials.createInsecure(), {
			'grpc.max_receive_message_length': largestMessageBytes,
			'grpc.use_local_subchannel_pool': 1,
			'grpc.enable_retries': 0,
			'grpc.initial_reconnect_backoff_ms': 100,
			'grpc.max_reconnect_backoff_ms': 500,
		});
		this.#clients.delete(address);
		this.#clients.set(address, client);
		if (this.#clients.size > maximumClients) {
			this.#disconnect(this.#clients.keys().next().value!);
		}

		return client;
	}

	/** Lets the next call open a new connection, since one that has failed may be dead without having been closed. */
	#replace(address: string, failed: Client): void {
		if (this.#clients.get(address) === failed) {
			this.#disconnect(address);
		}
	}

	#disconnect(address: string): void {
		this.#clients.get(address)?.close();
		this.#clients.delete(address);
	}
}
