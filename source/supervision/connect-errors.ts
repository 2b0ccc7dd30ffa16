/**
 * Errors that prove that a request never left, because no connection came about.
 *
 * @module
 */

const connectCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT']);

/**
 * Returns whether an error of a request proves that no byte of it was sent.
 *
 * @param error What the HTTP client threw.
 * @example
 * ```ts
 * const run = neverConnected(error) ? 'no' : 'unknown';
 * ```
 */
export function neverConnected(error: unknown): boolean {
	if (error instanceof AggregateError) {
		return error.errors.length > 0 && error.errors.every(inner => neverConnected(inner));
	}

	return error instanceof Error && 'code' in error && connectCodes.has(String(error.code));
}
