/**
 * Writes JSON responses and refusals.
 *
 * @module
 */
import {type ServerResponse} from 'node:http';
import {refusalBody, type Refusal} from '../answers/mod.ts';

/**
 * Sends a JSON response.
 *
 * @param response The response; its headers must not have been sent.
 * @param status HTTP status.
 * @param body Any value that can be serialized as JSON.
 * @param headers Additional headers. Default none.
 * @example
 * ```ts
 * sendJson(response, 200, {entries});
 * ```
 */
export function sendJson(response: ServerResponse, status: number, body: unknown, headers: Record<string, string> = {}): void {
	response.writeHead(status, {'content-type': 'application/json', ...headers});
	response.end(JSON.stringify(body) + '\n');
}

/**
 * Sends a refusal; if the headers of a stream have been sent, as its final error event.
 *
 * @param response The response.
 * @param refusal Status, code and message of the refusal.
 * @example
 * ```ts
 * sendErrorResponse(response, badRequest('the body is not JSON'));
 * ```
 */
export function sendRefusal(response: ServerResponse, refusal: Refusal): void {
	if (response.headersSent) {
		response.end(`event: error\ndata: ${JSON.stringify(refusalBody(refusal))}\n\n`);
		return;
	}

	const retryAfter: Record<string, string> = refusal.retryAfterSeconds === undefined ? {} : {'retry-after': String(Math.ceil(refusal.retryAfterSeconds))};
	sendJson(response, refusal.status, refusalBody(refusal), {'x-run': refusal.run, ...retryAfter});
}
