/**
 * Client of routers' operator ports.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import {Agent, request} from 'undici';
import {type z} from 'zod';
import {type PlatformClient} from '../table-service/mod.ts';

/** A router as operators reach it. */
export type OperatedHost = {
	name: string;
	/** `address:port` of its operator port. */
	address: string;
};

/** Why a host gave no usable answer. */
export type HostFailure = {host: string; message: string};

/** Answers of the hosts that gave one, and the failures of the others. */
export type HostAnswers<Answer> = {answers: Array<{host: string; answer: Answer}>; failures: HostFailure[]};

/** Options of {@linkcode OperatorClient}. */
export type OperatorClientOptions = {
	/** Key of the operators; it is never written anywhere. */
	key: string;
	/** Deadline of each request, in milliseconds. Default 2,000. */
	timeoutMilliseconds?: number;
};

/** One question to an operator port. */
export type Question<Schema extends z.ZodType> = {
	/** Default `GET`. */
	method?: 'GET' | 'POST';
	path: string;
	/** Schema of the answer. */
	schema: Schema;
};

/** Hosts asked at once. */
const concurrentHosts = 32;

/**
 * Reads the routers of the platform's host list, in order of names; leaving hosts count, because they still serve callers.
 *
 * @param platform Client of the platform.
 */
export async function readEntryHosts(platform: PlatformClient): Promise<Result<OperatedHost[], string>> {
	const hosts = await platform.hosts();
	if (hosts.isErr()) {
		return err(`the host list cannot be read: ${hosts.error.message}`);
	}

	return ok(hosts.value
		.flatMap(({name, entry}) => entry ? [{name, address: entry.operators}] : [])
		.toSorted((left, right) => left.name < right.name ? -1 : 1));
}

/**
 * Asks routers over their operator ports; each request has a deadline.
 *
 * @example
 * ```ts
 * const client = new OperatorClient({key});
 * const {answers, failures} = await client.askAll(hosts, {path: '/status', schema: hostStatusSchema});
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

	/** Asks one host. */
	async ask<Schema extends z.ZodType>(host: OperatedHost, question: Question<Schema>): Promise<Result<z.output<Schema>, HostFailure>> {
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
			return checked.success ? ok(checked.data) : err({host: host.name, message: `gave an unexpected answer with status ${response.statusCode}`});
		} catch (error) {
			return err({host: host.name, message: `cannot be reached: ${error instanceof Error ? error.message : String(error)}`});
		}
	}

	/** Asks every host the same question. */
	async askAll<Schema extends z.ZodType>(hosts: OperatedHost[], question: Question<Schema>): Promise<HostAnswers<z.output<Schema>>> {
		const all: HostAnswers<z.output<Schema>> = {answers: [], failures: []};
		for (let first = 0; first < hosts.length; first += concurrentHosts) {
			await Promise.all(hosts.slice(first, first + concurrentHosts).map(async host => {
				const answer = await this.ask(host, question);
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
