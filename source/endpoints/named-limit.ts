/**
 * Limits that endpoints of the product's own interface name in their responses.
 *
 * @module
 */
import {parseLimit, type NamedLimit} from '../limits/endpoint-limit.ts';

/** Response header by which an endpoint names the requests per second that it accepts from all routers together; without it, there is no limit. */
export const limitHeader = 'x-request-limit';

/**
 * Decodes the limit that the headers of a response name.
 *
 * @param headers Headers by lower-case name.
 */
export function decodeNamedLimit(headers: Record<string, string | string[] | undefined>): NamedLimit {
	const values = headers[limitHeader];
	return parseLimit(Array.isArray(values) ? values.join(',') : values);
}
