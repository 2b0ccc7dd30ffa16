/**
 * Decodes and encodes the headers of callers' requests, of requests to endpoints and of their responses.
 *
 * @module
 */
import {type IncomingHttpHeaders} from 'node:http';
import {type RequestTerms} from '../forwarding/mod.ts';
import {parseLimit, type NamedLimit} from '../limits/mod.ts';

/** Header that identifies one attempt of a caller; endpoints echo it. */
export const attemptHeader = 'x-azuretack-attempt-id';

/** Name prefix of headers that are forwarded even if the `Connection` header lists them. */
const requestHeaderPrefix = 'x-azuretack-';

const deadlineHeader = 'x-azuretack-deadline-ms';
const lastEventHeader = 'last-event-id';

/** Hop-by-hop headers. */
const connectionHeaders = new Set([
	'connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'content-length', 'expect', 'proxy-authorization',
]);

/** Headers that only this system sets; a caller's own values are dropped. */
const systemHeaders = new Set([
	'authorization',
	lastEventHeader,
	deadlineHeader,
	'kv-fetch',
	'kv-from',
	'x-azuretack-tenant',
	'x-azuretack-target-instance',
	'x-azuretack-request-priority',
	'x-azuretack-expect-version',
	'x-azuretack-hold',
	'x-azuretack-pin-ms',
	'x-azuretack-kv-backup',
]);

/**
 * Decodes the parameters that a caller's headers set for its request.
 *
 * @param headers Headers of the request.
 * @example
 * ```ts
 * const terms = decodeRequestHeaders(request.headers);
 * ```
 */
export function decodeRequestHeaders(headers: IncomingHttpHeaders): RequestTerms {
	const parts = decodePromptParts(firstValue(headers['x-azuretack-prompt-prefix']));
	const [promptTokens, outputTokens] = (firstValue(headers['x-azuretack-token-counts']) ?? '').split(',').map(Number);
	return {
		attempt: firstValue(headers[attemptHeader]),
		deadlineMilliseconds: parsePositiveNumber(firstValue(headers[deadlineHeader])),
		key: decodeApiKey(headers.authorization),
		lastEvent: firstValue(headers[lastEventHeader]),
		promptTokens: nonNegativeOrZero(promptTokens),
		outputTokens: nonNegativeOrZero(outputTokens),
		model: firstValue(headers['x-azuretack-model']),
		sharedPromptParts: parts.slice(0, -1),
		promptPart: parts.at(-1),
	};
}

/** Parameters that the system adds to a request to an endpoint. */
export type EndpointRequestTerms = {
	/** Id of the target endpoint; any other endpoint refuses the request. */
	endpointId: string;
	workspace: string | undefined;
	/** Remaining time, in milliseconds. */
	deadlineMilliseconds: number;
	/** Priority at an engine, 0 to 9. */
	priority: number | undefined;
	/** Event after which a generation resumes. */
	lastEvent: string | undefined;
	/** Address of the engine that receives backup copies of the generation's memory. */
	copyTo: string | undefined;
	/** Copy of the generation's memory to resume from: address of the engine that holds it, and the attempt that it belongs to. */
	resumeFrom: {address: string; attempt: string} | undefined;
};

/**
 * Encodes the headers of a request to an endpoint: the caller's headers without hop-by-hop and system headers, and the parameters that the system adds.
 *
 * @param rawHeaders The caller's headers, as alternating names and values.
 * @param terms Parameters that the system adds.
 * @returns Alternating names and values.
 */
export function encodeRequestHeaders(rawHeaders: readonly string[], terms: EndpointRequestTerms): string[] {
	const headers = [
		...forwardableHeaders(rawHeaders, name => systemHeaders.has(name)),
		'X-Azuretack-Deadline-Ms',
		String(Math.max(1, Math.floor(terms.deadlineMilliseconds))),
		'X-Azuretack-Target-Instance',
		terms.endpointId,
	];
	const optional: Array<[string, string | undefined]> = [
		['X-Azuretack-Tenant', terms.workspace],
		['X-Azuretack-Request-Priority', terms.priority?.toString()],
		['Last-Event-Id', terms.lastEvent],
		['X-Azuretack-Kv-Backup', terms.copyTo],
		['Kv-From', terms.resumeFrom && `${terms.resumeFrom.address}/${terms.resumeFrom.attempt}`],
	];
	for (const [name, value] of optional) {
		if (value !== undefined) {
			headers.push(name, value);
		}
	}

	return headers;
}

/**
 * Returns the headers of an endpoint's response that are forwarded to the caller.
 *
 * @param rawHeaders Headers of the response, as alternating names and values.
 */
export function encodeResponseHeaders(rawHeaders: readonly string[]): string[] {
	return forwardableHeaders(rawHeaders, () => false);
}

/** What the headers of an endpoint's response state in addition to its status. */
export type ResponseTerms = {
	/** Attempt that the response belongs to. */
	attempt: string | undefined;
	/** Whether the endpoint reports that it did not run the request. */
	notExecuted: boolean;
	/** Time after which requests may be sent to the endpoint again, in milliseconds. */
	retryAfterMilliseconds: number | undefined;
	/** Whether the endpoint announces that it is leaving. */
	leaving: boolean;
	/** Limit on the requests from all gateways together that the endpoint names. */
	limit: NamedLimit;
};

/**
 * Decodes what the headers of an endpoint's response state.
 *
 * @param status Status of the response.
 * @param headers Headers of the response.
 */
export function decodeResponseHeaders(status: number, headers: IncomingHttpHeaders): ResponseTerms {
	const seconds = parsePositiveNumber(firstValue(headers['retry-after']));
	return {
		attempt: firstValue(headers[attemptHeader]),
		notExecuted: status === 421 || headers['x-azuretack-not-executed'] !== undefined,
		retryAfterMilliseconds: seconds === undefined ? undefined : seconds * 1000,
		leaving: announcesLeaving(headers),
		limit: decodeLimit(headers),
	};
}

/** Whether the headers of any response of an endpoint announce that it is leaving. */
export function announcesLeaving(headers: IncomingHttpHeaders): boolean {
	return firstValue(headers['server-leaving']) === '1';
}

/** Decodes the limit that the headers of any response of an endpoint name; a repeated header counts as a list of values. */
export function decodeLimit(headers: IncomingHttpHeaders): NamedLimit {
	const values = headers['server-limit'];
	return parseLimit(Array.isArray(values) ? values.join(',') : values);
}

/** Removes hop-by-hop headers, those that `Connection` lists, and those that `drop` selects. */
function forwardableHeaders(rawHeaders: readonly string[], drop: (name: string) => boolean): string[] {
	const connectionOptions = new Set<string>();
	for (let index = 0; index < rawHeaders.length; index += 2) {
		if (rawHeaders[index]!.toLowerCase() === 'connection') {
			for (const name of rawHeaders[index + 1]!.split(',')) {
				connectionOptions.add(name.trim().toLowerCase());
			}
		}
	}

	const forwarded: string[] = [];
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!.toLowerCase();
		if (!connectionHeaders.has(name) && !drop(name) && !(connectionOptions.has(name) && !name.startsWith(requestHeaderPrefix))) {
			forwarded.push(rawHeaders[index]!, rawHeaders[index + 1]!);
		}
	}

	return forwarded;
}

/** Returns the ids of comma-separated `ID:TOKENS` entries. */
function decodePromptParts(header: string | undefined): string[] {
	return header === undefined ? [] : header.split(',').map(entry => entry.trim().split(':')[0]!).filter(id => id !== '');
}

function decodeApiKey(header: string | undefined): string | undefined {
	const match = /^token\s+(?<key>\S+)\s*$/iv.exec(header ?? '');
	return match?.groups?.key;
}

function firstValue(header: string | string[] | undefined): string | undefined {
	return Array.isArray(header) ? header[0] : header;
}

function parsePositiveNumber(text: string | undefined): number | undefined {
	const number = Number(text);
	return text !== undefined && Number.isFinite(number) && number > 0 ? number : undefined;
}

function nonNegativeOrZero(number: number | undefined): number {
	return number !== undefined && Number.isFinite(number) && number >= 0 ? number : 0;
}
