/**
 * Serves calls to plain services: any method on `/v1/services/SERVICE/PATH`.
 *
 * @module
 */
import {once} from 'node:events';
import {type ServerResponse} from 'node:http';
import {type Refusal} from '../answers/mod.ts';
import {
	digestCall, isFirstAttempt, isIdempotent, readIdempotencyKey, refusalOfAttempt, runAtMostOnce, runIdempotent, type CallOutcome, type ServiceCall,
} from '../calls/mod.ts';
import {type PlainService} from '../configuration/mod.ts';
import {endToEndHeaders, type ServiceResponse, type ServiceRequest} from '../endpoints/mod.ts';
import {readBytes} from './bodies.ts';
import {type CallerExchange, type CallerParts} from './caller-context.ts';
import {sendRefusal} from './respond.ts';

/** Response header that states whether the call was run. */
const runHeader = 'x-run';

/** Headers of a caller that are not forwarded to the service: they concern only the router, or it sets them itself. */
const unforwardedHeaders = ['host', 'authorization', 'content-length', 'expect', 'traceparent', 'tracestate', 'x-first-attempt', 'x-workspace'];

/** Number of path segments before the service's own path: the empty one, `v1`, `services` and the service name. */
const prefixSegments = 4;

/**
 * Returns the service name in a call's path, or an empty string if there is none.
 *
 * @param url Path and query of the call.
 */
export function serviceOfCall(url: URL): string {
	return url.pathname.split('/')[prefixSegments - 1] ?? '';
}

/**
 * Serves one call: reads its body, runs it and writes the response.
 *
 * @param exchange The caller's request and its response.
 * @param parts The router's components.
 * @returns The outcome code for metrics.
 * @example
 * ```ts
 * const outcome = await serveCall(exchange, parts);
 * ```
 */
export async function serveCall(exchange: CallerExchange, parts: CallerParts): Promise<string> {
	const {request, response, url, intake} = exchange;
	const refuse = (refusal: Refusal) => {
		sendRefusal(response, refusalOfAttempt(refusal, request.headers));
		return refusal.code;
	};

	const service = parts.configuration.service(serviceOfCall(url));
	if (service?.kind !== 'plain') {
		return refuse({
			status: 404, code: 'not_found', message: `There is no plain service "${serviceOfCall(url)}".`, run: 'no',
		});
	}

	const body = await readBytes(intake, parts.settings.callers.largestBodyBytes, parts.clock());
	if (body.isErr()) {
		return refuse(body.error);
	}

	const call = createCall(exchange, parts, service, body.value);
	const permit = await parts.admission.acquire({
		workspace: call.workspace,
		weight: exchange.workspace.weight,
		service: service.service,
		tokens: 1,
		requestDigest: digestCall(call.request),
		deadline: parts.wallClock() + (service.deadlineSeconds * 1000),
	}, parts.wallClock(), exchange.signal);
	if (permit.isErr()) {
		return refuse(permit.error);
	}

	const finishLoad = parts.loads.recordStart(service.service, 1);
	try {
		const end = await run(call, exchange, parts);
		if (end.kind === 'answered' && !end.stored) {
			parts.accounts.recordCall(call.workspace, service.service);
		}

		return await sendEnd(end, exchange);
	} finally {
		finishLoad();
		permit.value.release();
	}
}

function createCall(exchange: CallerExchange, parts: CallerParts, service: PlainService, body: Uint8Array): ServiceCall {
	return {
		service,
		workspace: exchange.workspace.workspace,
		request: createRequest(exchange, body),
		deadline: parts.clock() + (service.deadlineSeconds * 1000),
		span: exchange.span,
		signal: exchange.signal,
	};
}

function createRequest({request, url, workspace}: CallerExchange, body: Uint8Array): ServiceRequest {
	const servicePath = `/${url.pathname.split('/').slice(prefixSegments).join('/')}`;
	return {
		method: request.method ?? 'GET',
		path: servicePath + url.search,
		headers: {...endToEndHeaders(request.headers, unforwardedHeaders), 'x-workspace': workspace.workspace},
		body,
	};
}

async function run(call: ServiceCall, {request}: CallerExchange, {calls}: CallerParts): Promise<CallOutcome> {
	const [path = ''] = call.request.path.split('?');
	if (isIdempotent(call.service, call.request.method, path)) {
		return runIdempotent(call, calls);
	}

	const idempotencyKey = readIdempotencyKey(request.headers);
	return idempotencyKey.isOk()
		? runAtMostOnce({...call, idempotencyKey: idempotencyKey.value, firstAttempt: isFirstAttempt(request.headers)}, calls)
		: {kind: 'refused', refusal: idempotencyKey.error};
}

async function sendEnd(end: CallOutcome, {response, request}: CallerExchange): Promise<string> {
	if (end.kind === 'refused') {
		sendRefusal(response, end.refusal);
		return end.refusal.code;
	}

	response.writeHead(end.answer.status, {...end.answer.headers, [runHeader]: 'yes'});
	return sendBody(end.answer, response, request.method === 'HEAD');
}

/** Writes the response body. If the endpoint's body breaks off, destroys the caller's connection so that the truncated response does not look complete. */
async function sendBody({head, rest}: ServiceResponse, response: ServerResponse, omitBody: boolean): Promise<string> {
	if (omitBody) {
		response.end();
		return 'answered';
	}

	response.write(head);
	try {
		for await (const chunk of rest ?? []) {
			if (response.destroyed) {
				return 'caller_gone';
			}

			if (!response.write(chunk)) {
				await Promise.race([once(response, 'drain'), once(response, 'close')]);
			}
		}
	} catch {
		response.destroy();
		return 'endpoint_failed';
	}

	response.end();
	return 'answered';
}
