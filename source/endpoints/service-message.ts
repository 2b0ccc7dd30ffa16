/**
 * Requests to plain services and their responses, as both clients use them.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type IncomingHttpHeaders} from 'node:http';
import {type Dispatcher} from 'undici';
import {type NamedLimit} from '../limits/endpoint-limit.ts';
import {decodeNamedLimit} from './named-limit.ts';

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

/** Response of a plain service: the start of its body, and the rest if the body is larger. */
export type ServiceResponse = {
	status: number;
	headers: ServiceHeaders;
	/** Limit that the endpoint names. */
	limit: NamedLimit;
	/** The whole body, unless there is a rest. */
	head: Uint8Array;
	/** Chunks after the head; must be read to the end, or closed with `return()`. */
	rest?: AsyncGenerator<Uint8Array>;
};

/** Reason why a request got no response; `sent` is true if any byte of it may have been sent. */
export type ServiceFailure = {sent: boolean; message: string};

/** Bytes of a body that are read before the response counts as received. */
export const responseHeadBytes = 16_384;

const connectionHeaders = ['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade'];

/**
 * Returns the end-to-end headers, without hop-by-hop ones.
 *
 * @param headers Headers as received.
 * @param excludedNames Further names to exclude. Default none.
 * @example
 * ```ts
 * const headers = endToEndHeaders(request.headers, ['host', 'authorization']);
 * ```
 */
export function endToEndHeaders(headers: IncomingHttpHeaders, excludedNames: readonly string[] = []): ServiceHeaders {
	const connectionOptions = [headers.connection ?? []].flat().join(',').split(',').map(name => name.trim().toLowerCase());
	const excluded = new Set([...connectionHeaders, ...connectionOptions, ...excludedNames]);
	const endToEnd: ServiceHeaders = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !excluded.has(name)) {
			endToEnd[name] = value;
		}
	}

	return endToEnd;
}

/**
 * Reads a response up to the end of its head.
 *
 * @param response Response whose body has not been read.
 * @param onEnd Called once the body has ended, failed or been abandoned.
 * @throws {Error} If the connection fails before the head is read.
 * @example
 * ```ts
 * const read = await readResponse(response, () => client.destroy());
 * ```
 */
export async function readResponse(response: Dispatcher.ResponseData, onEnd: () => void): Promise<ServiceResponse> {
	const chunks = bodyChunks(response.body as AsyncIterable<Uint8Array>, onEnd);
	const head: Uint8Array[] = [];
	let length = 0;
	let ended = false;
	while (!ended && length <= responseHeadBytes) {
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
		limit: decodeNamedLimit(response.headers),
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
