/**
 * Invariant violations: the only errors that stop the process.
 *
 * @module
 */

/** Thrown when the program's own state contradicts itself. */
export class InvariantError extends Error {
	override name = 'InvariantError';
}

/**
 * Throws if a condition that must always hold is false; the error stops the process.
 *
 * @param condition Condition that must hold.
 * @param message Description of the violation.
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
