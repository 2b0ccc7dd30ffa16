/**
 * Requests to plain services and their answers, as both clients send and read them.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type IncomingHttpHeaders} from 'node:http';
import {type Dispatcher} from 'undici';

/** Header fields by lower-case name. */
export type ServiceHeaders = Record<string, string | string[]>;

/** A request to a plain service. */
export type ServiceRequest = {
	method: string;
	/** Path and query. */
	path: string;
	headers: ServiceHeaders;
	body: Uint8Array;
};

/** Answer of a plain service: its first bytes, and the rest of a body that is larger. */
export type ServiceAnswer = {
	status: number;
	headers: ServiceHeaders;
	/** The whole body, unless there is a rest. */
	head: Uint8Array;
	/** Bytes after the head; must be read to the end or returned. */
	rest?: AsyncGenerator<Uint8Array>;
};

/** Why a request got no answer; `sent` tells whether a byte of it may have left. */
export type ServiceFailure = {sent: boolean; message: string};

/** Bytes of a body that are read before the answer counts as received. */
export const answerHeadBytes = 16_384;

const connectionHeaders = ['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade'];

/**
 * Returns the headers that concern the whole way and not one connection.
 *
 * @param headers Headers as received.
 * @param dropped Further names to leave out. Default none.
 * @example
 * ```ts
 * const headers = endToEndHeaders(request.headers, ['host', 'authorization']);
 * ```
 */
export function endToEndHeaders(headers: IncomingHttpHeaders, dropped: readonly string[] = []): ServiceHeaders {
	const named = [headers.connection ?? []].flat().join(',').split(',').map(name => name.trim().toLowerCase());
	const left = new Set([...connectionHeaders, ...named, ...dropped]);
	const kept: ServiceHeaders = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !left.has(name)) {
			kept[name] = value;
		}
	}

	return kept;
}

/**
 * Reads an answer up to the end of its head.
 *
 * @param response Response whose body has not been read.
 * @param onEnd Called once the body has ended, failed or been given up.
 * @throws {Error} When the connection fails within the head.
 * @example
 * ```ts
 * const answer = await readResponse(response, () => client.destroy());
 * ```
 */
export async function readAnswer(response: Dispatcher.ResponseData, onEnd: () => void): Promise<ServiceAnswer> {
	const chunks = bodyChunks(response.body as AsyncIterable<Uint8Array>, onEnd);
	const head: Uint8Array[] = [];
	let length = 0;
	let ended = false;
	while (!ended && length <= answerHeadBytes) {
		const chunk = await chunks.next();
		ended = chunk.done === true;
		if (!chunk.done) {
			head.push(chunk.value);
			length += chunk.value.length;
		}
	}

	return {
		status: response.statusCode,
		headers: endToEndHeaders(response.headers),
		head: Buffer.concat(head),
		rest: ended ? undefined : chunks,
	};
}

async function * bodyChunks(body: AsyncIterable<Uint8Array>, onEnd: () => void): AsyncGenerator<Uint8Array> {
	try {
		yield * body;
	} finally {
		onEnd();
	}
}
