/**
 * Writes answers to callers.
 *
 * @module
 */
import {type ServerResponse} from 'node:http';
import {refusalBody, type Refusal} from '../answers/mod.ts';

/**
 * Answers with JSON.
 *
 * @param response The response; nothing may have been written.
 * @param status HTTP status.
 * @param body Any value that JSON can hold.
 * @param headers Further headers. Default none.
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
 * Answers with a refusal, as an error event where a stream has begun.
 *
 * @param response The response.
 * @param refusal What went wrong.
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
