/**
 * Detects refused connections.
 *
 * @module
 */

/**
 * Whether a connection was refused, which means that no process listens; a timeout or a reset does not prove that.
 *
 * @param error Error of the connection.
 * @example
 * ```ts
 * const refused = isConnectionRefused(error);
 * ```
 */
export function isConnectionRefused(error: unknown): boolean {
	return error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
}
