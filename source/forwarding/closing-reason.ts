/**
 * Why a caller's connection was closed, and by whom.
 *
 * @module
 */

/**
 * Why a caller's connection was closed:
 *
 * - `caller`: the caller closed it, or its own end of it, or reset it.
 * - `broken-off`: this gateway, since a response that had begun could not be completed.
 * - `left-open`: this gateway, since a fault of its own left a response open.
 * - `invalid-request`: this gateway, since the caller sent bytes that are no HTTP request.
 * - `timeout`: this gateway, since the head of a request did not arrive in time, or a timer ended while a request was in progress.
 * - `idle`: this gateway, since no request had come for the idle timeout.
 * - `no-room`: this gateway, since another caller needed the connection more.
 * - `too-large`: this gateway, since the caller did not stop sending a head, or a body that was refused.
 * - `too-many-requests`: this gateway, since the caller sent more requests than allowed without waiting for responses.
 * - `stopped`: this gateway, since it stopped.
 * - `connection-error`: an error of the network other than a reset by the caller.
 * - `unknown`: not known; a fault of the gateway.
 */
export type ClosingReason = 'caller' | 'broken-off' | 'left-open' | 'invalid-request' | 'timeout' | 'idle' | 'no-room' | 'too-large' | 'too-many-requests' | 'stopped' | 'connection-error' | 'unknown';

/** Outcome of a request whose connection was closed before its response was complete. */
export const closingOutcomes: Record<ClosingReason, string> = {
	caller: 'caller_left',
	'broken-off': 'broken_off',
	'left-open': 'left_open',
	'invalid-request': 'invalid_request',
	timeout: 'connection_timeout',
	idle: 'connection_idle',
	'no-room': 'no_room',
	'too-large': 'too_large',
	'too-many-requests': 'too_many_requests',
	stopped: 'stopped',
	'connection-error': 'connection_failed',
	unknown: 'connection_closed',
};

/** Reasons by code of the error on the connection; `HPE_INVALID_EOF_STATE` is the caller's end of the connection within a request. */
const reasonsByCode: Record<string, ClosingReason> = {
	ECONNRESET: 'caller',
	EPIPE: 'caller',
	HPE_INVALID_EOF_STATE: 'caller',
	ERR_HTTP_REQUEST_TIMEOUT: 'timeout',
};

/** Begins the codes of errors of the HTTP parser. */
const parserErrorPrefix = 'HPE_';

/**
 * Returns why a connection is closed that has an error.
 *
 * @param code Code of the error, for example `ECONNRESET`; absent if it has none.
 */
export function closingReasonOfError(code: string | undefined): ClosingReason {
	return reasonsByCode[code ?? ''] ?? (code?.startsWith(parserErrorPrefix) ? 'invalid-request' : 'connection-error');
}

/**
 * Returns the outcome of a request whose caller is disconnected.
 *
 * @param signal The caller's signal, which has aborted with the reason, see {@linkcode CallerConnections.watch}.
 */
export function disconnectedOutcome({reason}: {readonly reason: unknown}): string {
	return closingOutcomes[isClosingReason(reason) ? reason : 'unknown'];
}

function isClosingReason(reason: unknown): reason is ClosingReason {
	return typeof reason === 'string' && Object.hasOwn(closingOutcomes, reason);
}
