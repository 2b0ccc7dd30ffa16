/**
 * Client of the routers' operator ports.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import {Agent, request} from 'undici';
import {type z} from 'zod';
import {type PlatformClient} from '../table-service/mod.ts';

/** A router and the address of its operator port. */
export type OperatorHost = {
	name: string;
	/** `address:port` of its operator port. */
	address: string;
};

/** Reason why a host returned no usable response. */
export type HostFailure = {host: string; message: string};

/** Responses of the hosts that responded, and the failures of the others. */
export type HostResponses<Answer> = {answers: Array<{host: string; answer: Answer}>; failures: HostFailure[]};

/** Options of {@linkcode OperatorClient}. */
export type OperatorClientOptions = {
	/** Operator key; it is never logged or printed. */
	key: string;
	/** Deadline of each request, in milliseconds. Default 2,000. */
	timeoutMilliseconds?: number;
};

/** A request to an operator port. */
export type OperatorRequest<Schema extends z.ZodType> = {
	/** Default `GET`. */
	method?: 'GET' | 'POST';
	path: string;
	/** Schema of the response. */
	schema: Schema;
};

/** Maximum number of hosts queried at once. */
const maximumConcurrentHosts = 32;

/**
 * Lists the routers on the platform's host list, sorted by name; leaving hosts are included because they still serve callers.
 *
 * @param platform Client of the platform.
 */
export async function listEntryHosts(platform: PlatformClient): Promise<Result<OperatorHost[], string>> {
	const hosts = await platform.hosts();
	if (hosts.isErr()) {
		return err(`the host list cannot be read: ${hosts.error.message}`);
	}

	return ok(hosts.value
		.flatMap(({name, entry}) => entry ? [{name, address: entry.operators}] : [])
		.toSorted((left, right) => left.name < right.name ? -1 : 1));
}

/**
 * Sends requests to routers' operator ports; each request has a deadline.
 *
 * @example
 * ```ts
 * const client = new OperatorClient({key});
 * const {answers, failures} = await client.requestAll(hosts, {path: '/status', schema: hostStatusSchema});
 * ```
 */
export class OperatorClient {
	readonly #key: string;
	readonly #timeoutMilliseconds: number;
	readonly #agent: Agent;

	constructor(options: OperatorClientOptions) {
		this.#key = options.key;
		this.#timeoutMilliseconds = options.timeoutMilliseconds ?? 2000;
		this.#agent = new Agent({connections: 1, connectTimeout: this.#timeoutMilliseconds});
	}

	/** Sends a request to one host. */
	async request<Schema extends z.ZodType>(host: OperatorHost, question: OperatorRequest<Schema>): Promise<Result<z.output<Schema>, HostFailure>> {
		try {
			const response = await request(`http://${host.address}${question.path}`, {
				method: question.method ?? 'GET',
				dispatcher: this.#agent,
				headers: {authorization: `Bearer ${this.#key}`},
				signal: AbortSignal.timeout(this.#timeoutMilliseconds),
			});
			const body = await response.body.text();
			if (response.statusCode === 401) {
				return err({host: host.name, message: 'refused the operator key'});
			}

			const checked = question.schema.safeParse(JSON.parse(body));
			return checked.success ? ok(checked.data) : err({host: host.name, message: `returned an unexpected response with status ${response.statusCode}`});
		} catch (error) {
			return err({host: host.name, message: `cannot be reached: ${error instanceof Error ? error.message : String(error)}`});
		}
	}

	/** Sends the same request to every host. */
	async requestAll<Schema extends z.ZodType>(hosts: OperatorHost[], question: OperatorRequest<Schema>): Promise<HostResponses<z.output<Schema>>> {
		const all: HostResponses<z.output<Schema>> = {answers: [], failures: []};
		for (let first = 0; first < hosts.length; first += maximumConcurrentHosts) {
			await Promise.all(hosts.slice(first, first + maximumConcurrentHosts).map(async host => {
				const answer = await this.request(host, question);
				if (answer.isOk()) {
					all.answers.push({host: host.name, answer: answer.value});
				} else {
					all.failures.push(answer.error);
				}
			}));
		}

		all.answers.sort((left, right) => left.host < right.host ? -1 : 1);
		all.failures.sort((left, right) => left.host < right.host ? -1 : 1);
		return all;
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		await this.#agent.destroy();
	}
}
