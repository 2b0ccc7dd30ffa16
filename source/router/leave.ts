/**
 * The planned stop of a router.
 *
 * @module
 */
import {type Server} from 'node:http';
import {type UsageWriter} from '../accounts/mod.ts';
import {pause, type Supervisor} from '../supervision/mod.ts';
import {close} from '../supervision/listen.ts';
import {type CallerParts} from './caller-context.ts';

/** What a planned stop ends. */
export type LeaveOptions = {
	parts: CallerParts;
	supervisor: Supervisor;
	usageWriter: UsageWriter;
	callerServer: Server;
	operatorServer: Server;
};

/** Attempts to write the last usage totals. */
const usageAttempts = 3;

/** Time after the last accepted connection for its request to arrive, in milliseconds. */
const lastRequestMilliseconds = 300;

/** Time after a last message for peers to receive it, in milliseconds. */
const lastMessageMilliseconds = 200;

/**
 * Leaves gracefully, once the stop has begun: serves until callers cannot hold an old entry answer any more, lets every request
 * in progress end, writes the last usage totals, then ends all parts.
 *
 * @param options What to end.
 */
export async function leaveGracefully(options: LeaveOptions): Promise<void> {
	const {parts, supervisor, callerServer, operatorServer} = options;
	await pause(parts.leaving.millisecondsUntilRefusing(parts.wallClock()));
	await parts.leaving.whenIdle();
	callerServer.close();
	callerServer.closeIdleConnections();
	// A connection accepted just before may still bring its request.
	await pause(lastRequestMilliseconds);
	await parts.leaving.whenIdle();
	await close(callerServer);
	await writeLastUsage(options);
	parts.logger.info('router left', {});
	await supervisor.stop();
	await close(operatorServer);
	await parts.platform.close();
	await parts.engines.close();
	await parts.calls.serviceClient.close();
}

/** Writes the last totals; while the store is down, waits until the peers that keep them have heard them. */
async function writeLastUsage({parts, usageWriter}: LeaveOptions): Promise<void> {
	for (let attempt = 0; attempt < usageAttempts; attempt += 1) {
		if (await usageWriter.flush()) {
			return;
		}

		await pause(lastMessageMilliseconds);
	}

	const {usageHintMilliseconds, heartbeatMilliseconds} = parts.settings.peers;
	parts.logger.warn('last usage left to peers', {peers: parts.peers.open.length});
	await pause(usageHintMilliseconds + heartbeatMilliseconds + lastMessageMilliseconds);
}
