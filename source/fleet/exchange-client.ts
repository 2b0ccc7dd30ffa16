/**
 * Calls other gateways.
 *
 * @module
 */
import {
	Client, Metadata, credentials,
} from '@grpc/grpc-js';
import {
	err, ok, type Result,
} from 'neverthrow';
import {exchangeMethod, largestMessageBytes, type ExchangeMessage} from './exchange-protocol.ts';

/** Connections kept to other gateways; the one unused for longest goes first. */
const keptClients = 16;

/**
 * Keeps connections to other gateways.
 *
 * @example
 * ```ts
 * const answer = await client.exchange('10.1.0.40:7340', message, 400);
 * ```
 */
export class ExchangeClient {
	readonly #clients = new Map<string, Client>();

	/**
	 * Exchanges what is known with another gateway.
	 *
	 * @param address IP number and port.
	 * @param message What to tell.
	 * @param timeoutMilliseconds Deadline, in milliseconds.
	 * @returns What the other one tells, or why there is no answer.
	 */
	async exchange(address: string, message: ExchangeMessage, timeoutMilliseconds: number): Promise<Result<ExchangeMessage, string>> {
		const client = this.#client(address);
		return new Promise(resolve => {
			const {path, requestSerialize, responseDeserialize} = exchangeMethod;
			client.makeUnaryRequest(path, requestSerialize, responseDeserialize, message, new Metadata(), {deadline: Date.now() + timeoutMilliseconds}, (error, answer) => {
				if (error) {
					// A connection that does not answer may have gone silent, so the next call opens a new one.
					this.#drop(address);
					resolve(err(error.details || error.message));
					return;
				}

				resolve(answer ? ok(answer) : err('the answer is empty'));
			});
		});
	}

	/** Closes all connections. */
	close(): void {
		for (const address of this.#clients.keys()) {
			this.#drop(address);
		}
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
		if (this.#clients.size > keptClients) {
			this.#drop(this.#clients.keys().next().value!);
		}

		return client;
	}

	#drop(address: string): void {
		this.#clients.get(address)?.close();
		this.#clients.delete(address);
	}
}
