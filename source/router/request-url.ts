/**
 * Parses the path and query of a request.
 *
 * @module
 */
import {type IncomingMessage} from 'node:http';

/**
 * Parses a request's target.
 *
 * @param request The request.
 * @returns The URL, or `undefined` if the target is malformed.
 * @example
 * ```ts
 * requestUrl(request)?.pathname;
 * ```
 */
export function requestUrl(request: IncomingMessage): URL | undefined {
	const target = request.url ?? '/';
	const base = 'http://router';
	return URL.canParse(target, base) ? new URL(target, base) : undefined;
}
