/**
 * Loads the settings of a program from its command line.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import {type z} from 'zod';
import {formatFault, readDocument} from './read-document.ts';

/** Command-line flags that concern the settings. */
export type SettingsFlags = {
	/** Path of the file. */
	settings: string;
	/** Whether to only check the settings. */
	check: boolean;
};

/**
 * Reads the settings and prints their faults; with `check`, prints that there are none and does not continue.
 *
 * @param flags Command-line flags.
 * @param schema Schema of the settings.
 * @returns The validated settings, or the exit code of the program.
 * @example
 * ```ts
 * const settings = await loadSettings(command.flags, routerSettingsSchema);
 * ```
 */
export async function loadSettings<Schema extends z.ZodType>(flags: SettingsFlags, schema: Schema): Promise<Result<z.output<Schema>, number>> {
	const settings = await readDocument(flags.settings, schema);
	if (settings.isErr()) {
		for (const fault of settings.error) {
			console.error(formatFault(fault));
		}

		return err(1);
	}

	if (flags.check) {
		console.log(`${flags.settings}: no faults`);
		return err(0);
	}

	return ok(settings.value);
}
