/**
 * What a failed connection says about the process at its other end.
 *
 * @module
 */

/**
 * Whether a connection was refused because no process listens; a silent or reset connection proves no such thing.
 *
 * @param error Error of the connection.
 * @example
 * ```ts
 * const gone = isConnectionRefused(error);
 * ```
 */
export function isConnectionRefused(error: unknown): boolean {
	return error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
}
