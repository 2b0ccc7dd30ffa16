/**
 * Errors that prove that a request was not sent because no connection was established.
 *
 * @module
 */

const connectErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT']);

/**
 * Returns whether an error of a request proves that no byte of it was sent.
 *
 * @param error Error thrown by the HTTP client.
 * @example
 * ```ts
 * const run = isConnectError(error) ? 'no' : 'unknown';
 * ```
 */
export function isConnectError(error: unknown): boolean {
	if (error instanceof AggregateError) {
		return error.errors.length > 0 && error.errors.every(inner => isConnectError(inner));
	}

	return error instanceof Error && 'code' in error && connectErrorCodes.has(String(error.code));
}
