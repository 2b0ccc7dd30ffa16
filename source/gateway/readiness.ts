/**
 * Decides whether a gateway is ready to serve requests.
 *
 * @module
 */
import {type GatewayParts} from './gateway-parts.ts';

/**
 * Returns whether a gateway is ready: it accepts caller connections, is not shutting down, and has a configuration recent enough to check keys.
 *
 * @param parts The gateway's components.
 */
export function isReady({configuration, callers, shutdown, trustedKeyMilliseconds, readClock}: GatewayParts): boolean {
	const {table, ageMilliseconds} = configuration.snapshot(readClock());
	return callers.open && !shutdown.hasStarted && table !== undefined && (!table.requiresKeys || ageMilliseconds <= trustedKeyMilliseconds);
}
