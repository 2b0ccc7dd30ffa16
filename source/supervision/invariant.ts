/**
 * Broken invariants: the only errors that stop the process.
 *
 * @module
 */

/** Thrown when the program's own state contradicts itself. */
export class InvariantError extends Error {
	override name = 'InvariantError';
}

/**
 * Stops the process when a condition that must always hold does not.
 *
 * @param condition What must hold.
 * @param message What is broken.
 * @throws {InvariantError} When the condition is false.
 * @example
 * ```ts
 * invariant(index === expected, 'token index skipped');
 * ```
 */
export function invariant(condition: boolean, message: string): asserts condition {
	if (!condition) {
		throw new InvariantError(message);
	}
}
