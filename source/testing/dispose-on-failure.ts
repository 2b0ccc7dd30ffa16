/**
 * Ends what a test has created when the rest of its preparation fails.
 *
 * @module
 */

/**
 * Prepares something that a test has created. If that fails, it is disposed of, so that its servers and processes do not keep the test's process alive.
 *
 * @param created What has been created.
 * @param prepare Prepares it.
 * @returns What the preparation returns.
 * @throws {Error} What the preparation throws.
 */
export async function disposeOnFailure<Prepared>(created: AsyncDisposable, prepare: () => Promise<Prepared>): Promise<Prepared> {
	try {
		return await prepare();
	} catch (error) {
		await created[Symbol.asyncDispose]();
		throw error;
	}
}
