/**
 * Decodes the entries of endpoints from their rows in the store.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import * as z from 'zod';
import {type EndpointEntry} from '../registry/mod.ts';
import {parseJson} from './http-call.ts';

/** Table in which endpoints register themselves. */
export const endpointTable = 'servers';

/** Largest number in an IPv4 address, and largest port. */
const maximumOctet = 255;
const maximumPort = 65_535;

/** Whether all numbers of an address of the form `1.2.3.4:5` are in range. */
function isInRange(address: string): boolean {
	const [host = '', port] = address.split(':');
	return host.split('.').every(octet => Number(octet) <= maximumOctet) && Number(port) > 0 && Number(port) <= maximumPort;
}

const entrySchema = z.object({
	service: z.string(),
	address: z.string().regex(/^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/v).refine(isInRange, 'a number of the address or its port is out of range'),
	zone: z.string(),
	slots: z.number().positive(),
	state: z.enum(['ready', 'draining']),
	/** Start of the process, in Unix milliseconds; distinguishes incarnations with the same id. */
	born: z.number().nullish(),
	/** Version of its software. */
	version: z.string().nullish(),
});

/**
 * Decodes one endpoint's entry.
 *
 * @param id Key of the row.
 * @param content Content of the row.
 * @returns The entry, or a description of its faults; an invalid entry stands for no endpoint.
 */
export function decodeEndpoint(id: string, content: Uint8Array): Result<EndpointEntry, string> {
	const parsed = entrySchema.safeParse(parseJson(content));
	if (!parsed.success) {
		return err(parsed.error.issues.map(({path, message}) => `${path.join('.')}: ${message}`).join('; '));
	}

	const {service, address, zone, slots, state, born, version} = parsed.data;
	return ok({
		id, service, address, availabilityZone: zone, slots, leaving: state === 'draining', startedAt: born ?? 0, ...(version ? {version} : {}),
	});
}
