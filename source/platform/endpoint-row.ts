/**
 * Decodes the entries of endpoints as they lie in the store.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import * as z from 'zod';
import {type EndpointEntry} from '../beliefs/mod.ts';
import {parseJson} from './http-call.ts';

/** Table in which endpoints register themselves. */
export const endpointTable = 'servers';

const entrySchema = z.object({
	service: z.string(),
	address: z.string().regex(/^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/v),
	zone: z.string(),
	slots: z.number().positive(),
	state: z.enum(['ready', 'draining']),
	/** Unix milliseconds of the start; tells two lives under one id apart. */
	born: z.number().nullish(),
});

/**
 * Decodes one endpoint's entry.
 *
 * @param id Key of the row.
 * @param content Content of the row.
 * @returns The entry, or what is wrong with it; a wrong entry names no endpoint.
 */
export function decodeEndpoint(id: string, content: Uint8Array): Result<EndpointEntry, string> {
	const checked = entrySchema.safeParse(parseJson(content));
	if (!checked.success) {
		return err(checked.error.issues.map(({path, message}) => `${path.join('.')}: ${message}`).join('; '));
	}

	const {service, address, zone, slots, state, born} = checked.data;
	return ok({
		id, service, address, availabilityZone: zone, slots, leaving: state === 'draining', startedAt: born ?? 0,
	});
}
