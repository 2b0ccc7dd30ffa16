/**
 * Lets the intake of a gateway take in what its callers send.
 *
 * @module
 */
import {type Server} from 'node:http';
import {type GatewayParts} from './gateway-parts.ts';

/** Limits until a configuration is known. */
const defaultLimits = {
	headBytes: 65_536, headMilliseconds: 3000, idleMilliseconds: 15_000, bodyBytes: 4_194_304,
};

/**
 * Guards the connections of the server for callers.
 *
 * @param server Server for callers; it does not listen yet.
 * @param parts The gateway's components.
 */
export function guardConnections(server: Server, {intake, connectionGuard, callerConnections, configuration, logger}: GatewayParts): void {
	intake.serve(server, {
		guard: connectionGuard,
		limits() {
			const limits = configuration.table?.configuration.limits;
			return limits
				? {
					headBytes: limits.headerBytes, headMilliseconds: limits.headerMilliseconds, idleMilliseconds: limits.idleMilliseconds, bodyBytes: limits.bodyBytes,
				}
				: defaultLimits;
		},
		close(connection, reason) {
			callerConnections.closeSocket(connection, reason);
		},
		onClosed(closed) {
			logger.info('connections of callers closed', {late: closed.length, open: connectionGuard.size, reason: closed[0]!.reason});
		},
	});
}
