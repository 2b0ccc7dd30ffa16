/**
 * Decides whether a gateway takes requests.
 *
 * @module
 */
import {type GatewayParts} from './gateway-parts.ts';

/**
 * Whether a gateway takes requests: callers can connect, it is not stopping and may still trust its configuration.
 *
 * @param parts The gateway's parts.
 */
export function isReady({configuration, callers, stopping, trustedKeyMilliseconds, readClock}: GatewayParts): boolean {
	const {table, ageMilliseconds} = configuration.snapshot(readClock());
	return callers.open && !stopping.begun && table !== undefined && (!table.asksForKeys || ageMilliseconds <= trustedKeyMilliseconds);
}
