/**
 * Graceful shutdown of a router.
 *
 * @module
 */
import {type Server} from 'node:http';
import {type UsageWriter} from '../accounts/mod.ts';
import {pause, type Supervisor} from '../supervision/mod.ts';
import {close} from '../supervision/listen.ts';
import {type CallerParts} from './caller-context.ts';

/** Options of {@linkcode shutDownGracefully}: the components to stop. */
export type ShutDownOptions = {
	parts: CallerParts;
	supervisor: Supervisor;
	usageWriter: UsageWriter;
	callerServer: Server;
	operatorServer: Server;
};

/** Maximum attempts to write the final usage totals. */
const usageWriteAttempts = 3;

/** Time for which the last accepted connections may still deliver a request, in milliseconds. */
const lastRequestGraceMilliseconds = 300;

/** Time allowed for peers to receive the last message, in milliseconds. */
const messageDeliveryMilliseconds = 200;

/**
 * Completes a graceful shutdown that has started: serves new requests until every entry list that callers may have cached has expired,
 * waits for the requests in progress, writes the final usage totals, then stops all components.
 *
 * @param options The components to stop.
 */
export async function shutDownGracefully(options: ShutDownOptions): Promise<void> {
	const {parts, supervisor, callerServer, operatorServer} = options;
	void parts.limiter.stop();
	await pause(parts.shutdown.millisecondsUntilRejecting(parts.wallClock()));
	await parts.shutdown.whenIdle();
	callerServer.close();
	callerServer.closeIdleConnections();
	// A connection accepted just before the server closed may still deliver its request.
	await pause(lastRequestGraceMilliseconds);
	await parts.shutdown.whenIdle();
	await close(callerServer);
	await writeFinalUsage(options);
	parts.logger.info('router stopped', {});
	await supervisor.stop();
	await close(operatorServer);
	await parts.platform.close();
	await parts.engines.close();
	await parts.calls.serviceClient.close();
}

/** Writes the final usage totals. If the store is unavailable, waits until the peers that keep copies have received them. */
async function writeFinalUsage({parts, usageWriter}: ShutDownOptions): Promise<void> {
	for (let attempt = 0; attempt < usageWriteAttempts; attempt += 1) {
		if (await usageWriter.flush()) {
			return;
		}

		await pause(messageDeliveryMilliseconds);
	}

	const {usageHintMilliseconds, heartbeatMilliseconds} = parts.settings.peers;
	parts.logger.warn('final usage totals not written; relying on peers to write them', {peers: parts.peers.open.length});
	await pause(usageHintMilliseconds + heartbeatMilliseconds + messageDeliveryMilliseconds);
}
