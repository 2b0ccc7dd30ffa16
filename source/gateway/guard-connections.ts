/**
 * Closes connections of callers that send too much or nothing, and some when there are too many.
 *
 * @module
 */
import {type Server} from 'node:http';
import {type Socket} from 'node:net';
import {type GatewayParts} from './gateway-parts.ts';

/** Interval between two looks at all connections, in milliseconds. */
const sweepMilliseconds = 500;

/** Limits until a configuration is known. */
const defaultLimits = {
	headerBytes: 65_536, headerMilliseconds: 3000, idleMilliseconds: 15_000, bodyBytes: 4_194_304,
};

/**
 * Lets the guard of a gateway follow the connections of its server for callers.
 *
 * @param server Server for callers; it does not listen yet.
 * @param parts The gateway's components.
 */
export function guardConnections(server: Server, {connectionGuard, callerConnections, configuration, clock, logger}: GatewayParts): void {
	server.on('connection', (socket: Socket) => {
		const victim = connectionGuard.open(socket, () => socket.bytesRead, clock());
		socket.once('close', () => {
			connectionGuard.close(socket);
		});
		if (victim) {
			callerConnections.closeSocket(victim, 'no-room');
		}
	});
	const sweep = setInterval(() => {
		const {headerBytes, headerMilliseconds, idleMilliseconds, bodyBytes} = configuration.table?.configuration.limits ?? defaultLimits;
		const late = connectionGuard.sweep({
			headBytes: headerBytes, headMilliseconds: headerMilliseconds, idleMilliseconds, bodyBytes,
		}, clock());
		for (const {key, reason} of late) {
			callerConnections.closeSocket(key, reason);
		}

		if (late.length > 0) {
			logger.info('connections of callers closed', {late: late.length, open: connectionGuard.size, reason: late[0]!.reason});
		}
	}, sweepMilliseconds);
	sweep.unref();
}
