/**
 * Copies of running generations that worker stand-ins hold for each other.
 *
 * @module
 */

/** Events that each copy covers, by the holder's address and the attempt. */
const copies = new Map<string, number>();

/** Returns the name of a copy, as a request to go on from it has it. */
function nameOf(holder: string, attempt: string): string {
	return `${holder}/${attempt}`;
}

/** Copies of all workers of a test's process. */
export const backupCopies = {
	/** Whether there is a copy with a name, `ADDRESS/ATTEMPT`. */
	has: (name: string): boolean => copies.has(name),

	/** Records that a holder has a copy up to an event. */
	set(holder: string, attempt: string, event: number): void {
		copies.set(nameOf(holder, attempt), event);
	},

	/** Removes all copies at a holder that has ended. */
	removeAt(holder: string): void {
		for (const name of copies.keys()) {
			if (name.startsWith(nameOf(holder, ''))) {
				copies.delete(name);
			}
		}
	},
};
