/**
 * Holds a caller's request until the gateway has its initial state.
 *
 * @module
 */
import {type IncomingMessage} from 'node:http';
import {type ErrorResponse, type Exchange} from '../forwarding/mod.ts';
import {retryAfterStart, type StartHold} from '../starting/mod.ts';
import {type GatewayParts} from './gateway-parts.ts';

/** Response to a request that cannot be held. */
const starting: Omit<ErrorResponse, 'retryAfterMilliseconds'> = {
	status: 503, code: 'starting', message: 'This gateway starts and does not know its configuration yet; the request did not run.',
};

/** Most bytes of a body that are read from the network before anything asks for them. */
const bufferedBodyBytes = 65_536;

/**
 * Holds a request while the gateway starts.
 *
 * @param request The request; its body is not read.
 * @param context What is known of it.
 * @param parts The gateway's components.
 * @returns The response if the request cannot be served; otherwise `undefined`, once it can be admitted.
 */
export async function holdUntilStarted(
	request: IncomingMessage,
	{terms, arrivedAt, callerDisconnected}: Pick<Exchange, 'terms' | 'arrivedAt' | 'callerDisconnected'>,
	{startHold, metrics, clock, random}: Pick<GatewayParts, 'metrics' | 'clock' | 'random'> & {startHold: StartHold},
): Promise<ErrorResponse | undefined> {
	const outcome = await startHold.wait({arrivedAt, deadlineMilliseconds: terms.deadlineMilliseconds, bytes: keptBytes(request)}, callerDisconnected);
	if (outcome === 'not-needed') {
		return undefined;
	}

	metrics.earlyRequests.inc({outcome});
	return outcome === 'full' || outcome === 'timeout' ? {...starting, retryAfterMilliseconds: retryAfterStart(clock(), random())} : undefined;
}

/** Bytes that are kept for a request that waits: its head, and what may have been read of its body. */
function keptBytes({rawHeaders, headers, url = ''}: IncomingMessage): number {
	const headBytes = rawHeaders.reduce((sum, text) => sum + text.length, url.length);
	const bodyBytes = headers['transfer-encoding'] === undefined ? Number(headers['content-length'] ?? 0) : bufferedBodyBytes;
	return headBytes + Math.min(bufferedBodyBytes, bodyBytes);
}
