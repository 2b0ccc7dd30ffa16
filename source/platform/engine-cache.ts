/**
 * Asks an engine which parts of prompts it keeps.
 *
 * @module
 */
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {type CachedPart} from '../balancing/mod.ts';
import {type EngineQueryFailure, type QueryEngineReportOptions} from './engine-report.ts';
import {httpCall, parseJson} from './http-call.ts';

const listSchema = z.object({held: z.array(z.unknown())});

/** Empty text, id of the part, tokens kept, model. */
const partSchema = z.tuple([z.string(), z.string(), z.number(), z.string()]);

/** Largest list that is accepted, in bytes; holds some thousand parts. */
const maximumListBytes = 262_144;

/**
 * Asks an engine which parts of prompts it keeps. The call delays the engine's work, so it is for rare requests only.
 *
 * @param options Address of the engine and deadline.
 * @returns The parts, or the reason for the failure; entries that cannot be read are left out.
 */
export async function queryCachedParts({agent, address, timeoutMilliseconds}: QueryEngineReportOptions): Promise<Result<CachedPart[], EngineQueryFailure>> {
	const response = await httpCall({
		agent, address, path: '/api/kv-list', timeoutMilliseconds, maximumBytes: maximumListBytes,
	});
	if (response.isErr()) {
		return err(response.error);
	}

	const parsed = listSchema.safeParse(parseJson(response.value.body));
	if (response.value.status !== 200 || !parsed.success) {
		return err({connected: true, reused: false, message: `invalid list of cached parts (status ${response.value.status})`});
	}

	return ok(parsed.data.held.flatMap(entry => {
		const part = partSchema.safeParse(entry);
		return part.success ? [{id: part.data[1], tokens: part.data[2], model: part.data[3]}] : [];
	}));
}
