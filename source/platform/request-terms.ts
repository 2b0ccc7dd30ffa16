/**
 * Translates the headers of callers' requests and of the requests to endpoints.
 *
 * @module
 */
import {type IncomingHttpHeaders} from 'node:http';
import {type RequestTerms} from '../forwarding/mod.ts';

/** Header that names one attempt of a caller; endpoints echo it. */
export const attemptHeader = 'x-azuretack-attempt-id';

/** Begins the names of headers that belong to the request, whatever its `Connection` header says. */
const ownPrefix = 'x-azuretack-';

const deadlineHeader = 'x-azuretack-deadline-ms';
const lastEventHeader = 'last-event-id';

/** Headers that concern one connection only. */
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
 * Reads what a caller's headers say of its request.
 *
 * @param headers Headers of the request.
 * @example
 * ```ts
 * const terms = decodeRequestTerms(request.headers);
 * ```
 */
export function decodeRequestTerms(headers: IncomingHttpHeaders): RequestTerms {
	const parts = decodeParts(single(headers['x-azuretack-prompt-prefix']));
	const [promptTokens, outputTokens] = (single(headers['x-azuretack-token-counts']) ?? '').split(',').map(Number);
	return {
		attempt: single(headers[attemptHeader]),
		deadlineMilliseconds: positive(single(headers[deadlineHeader])),
		key: decodeKey(headers.authorization),
		lastEvent: single(headers[lastEventHeader]),
		promptTokens: finite(promptTokens),
		outputTokens: finite(outputTokens),
		promptPart: parts.at(-1),
	};
}

/** What the system says to the endpoint about a request. */
export type SendTerms = {
	/** Endpoint that is meant; any other one refuses. */
	endpointId: string;
	workspace: string | undefined;
	/** Time that is left, in milliseconds. */
	deadlineMilliseconds: number;
	/** Rank at an engine, 0 to 9. */
	priority: number | undefined;
	/** Event after which a generation goes on. */
	lastEvent: string | undefined;
	/** Address of the engine that receives copies of the generation's memory. */
	copyTo: string | undefined;
	/** Copy of the generation's memory to go on from: address of the engine that holds it, and the attempt that it belongs to. */
	goOnFrom: {address: string; attempt: string} | undefined;
};

/**
 * Writes the headers of a request to an endpoint: the caller's, less those of its connection, and the system's.
 *
 * @param rawHeaders The caller's headers, names and values by turns.
 * @param terms What the system adds.
 * @returns Names and values by turns.
 */
export function encodeSendHeaders(rawHeaders: readonly string[], terms: SendTerms): string[] {
	const headers = [
		...forwardable(rawHeaders, name => systemHeaders.has(name)),
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
		['Kv-From', terms.goOnFrom && `${terms.goOnFrom.address}/${terms.goOnFrom.attempt}`],
	];
	for (const [name, value] of optional) {
		if (value !== undefined) {
			headers.push(name, value);
		}
	}

	return headers;
}

/**
 * Returns the headers of an endpoint's answer that are passed on to the caller.
 *
 * @param rawHeaders The answer's headers, names and values by turns.
 */
export function encodeAnswerHeaders(rawHeaders: readonly string[]): string[] {
	return forwardable(rawHeaders, () => false);
}

/** What an endpoint's answer says besides its status. */
export type AnswerTerms = {
	/** The attempt that the answer belongs to. */
	attempt: string | undefined;
	/** Whether the endpoint says that it did not run the request. */
	notExecuted: boolean;
	/** Time after which the endpoint may be asked again, in milliseconds. */
	retryAfterMilliseconds: number | undefined;
	/** Whether the endpoint says that it leaves. */
	leaving: boolean;
};

/**
 * Reads what an endpoint's answer says besides its status.
 *
 * @param status Status of the answer.
 * @param headers Its headers.
 */
export function decodeAnswerTerms(status: number, headers: IncomingHttpHeaders): AnswerTerms {
	const seconds = positive(single(headers['retry-after']));
	return {
		attempt: single(headers[attemptHeader]),
		notExecuted: status === 421 || headers['x-azuretack-not-executed'] !== undefined,
		retryAfterMilliseconds: seconds === undefined ? undefined : seconds * 1000,
		leaving: saysLeaving(headers),
	};
}

/** Whether the headers of any answer of an endpoint say that it leaves. */
export function saysLeaving(headers: IncomingHttpHeaders): boolean {
	return single(headers['server-leaving']) === '1';
}

/** Drops headers of the connection, those that it names, and those that `drop` picks. */
function forwardable(rawHeaders: readonly string[], drop: (name: string) => boolean): string[] {
	const named = new Set<string>();
	for (let index = 0; index < rawHeaders.length; index += 2) {
		if (rawHeaders[index]!.toLowerCase() === 'connection') {
			for (const name of rawHeaders[index + 1]!.split(',')) {
				named.add(name.trim().toLowerCase());
			}
		}
	}

	const kept: string[] = [];
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!.toLowerCase();
		if (!connectionHeaders.has(name) && !drop(name) && !(named.has(name) && !name.startsWith(ownPrefix))) {
			kept.push(rawHeaders[index]!, rawHeaders[index + 1]!);
		}
	}

	return kept;
}

/** Reads `ID:TOKENS` entries, separated by commas. */
function decodeParts(header: string | undefined): string[] {
	return header === undefined ? [] : header.split(',').map(entry => entry.trim().split(':')[0]!).filter(id => id !== '');
}

function decodeKey(header: string | undefined): string | undefined {
	const match = /^token\s+(?<key>\S+)\s*$/iv.exec(header ?? '');
	return match?.groups?.key;
}

function single(header: string | string[] | undefined): string | undefined {
	return Array.isArray(header) ? header[0] : header;
}

function positive(text: string | undefined): number | undefined {
	const number = Number(text);
	return text !== undefined && Number.isFinite(number) && number > 0 ? number : undefined;
}

function finite(number: number | undefined): number {
	return number !== undefined && Number.isFinite(number) && number >= 0 ? number : 0;
}
