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

/** What the command line says of the settings. */
export type SettingsFlags = {
	/** Path of the file. */
	settings: string;
	/** Whether the settings are only to be checked. */
	check: boolean;
};

/**
 * Reads the settings and names their faults, or says that there are none where only the check is asked for.
 *
 * @param flags What the command line says.
 * @param schema Schema of the settings.
 * @returns The checked settings, or the code with which the program is to exit.
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
