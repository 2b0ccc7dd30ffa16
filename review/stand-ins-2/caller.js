/**
 * A caller on the platform: one request, and what came back.
 */
import {request as startRequest} from 'node:http';
import {apiKey, routeHost} from './deployment.js';

let sent = 0;

/**
 * A new attempt id.
 *
 * @param {string} prefix What it begins with.
 */
export function newAttempt(prefix = 'attempt') {
	sent += 1;
	return `${prefix}-${sent}`;
}

/** Headers of a request. */
function headersOf({key = apiKey, attempt, deadlineMilliseconds = 1500, headers = {}}) {
	return {
		host: routeHost,
		authorization: `Token ${key}`,
		'x-azuretack-attempt-id': attempt,
		'x-azuretack-deadline-ms': String(deadlineMilliseconds),
		...headers,
	};
}

/**
 * Sends a request; never fails. Status 0 means that the connection ended without an answer, no status that the caller left.
 *
 * @param {string} address Where to send it.
 * @param {{path: string, method?: string, body?: string, key?: string, attempt?: string, deadlineMilliseconds?: number, headers?: Record<string, string>, agent?: object, waitMilliseconds?: number}} options The request, and when the caller leaves.
 */
export async function call(address, options) {
	const {path, method = 'GET', body, attempt = newAttempt(), agent = false, waitMilliseconds} = options;
	const [hostname, port] = address.split(':');
	const startedAt = performance.now();
	const headers = headersOf({...options, attempt});
	return new Promise(resolve => {
		const settle = answer => {
			clearTimeout(leave);
			resolve({
				attempt, startedAt, milliseconds: performance.now() - startedAt, ...answer,
			});
		};

		const request = startRequest({
			hostname, port, method, path, agent, headers,
		}, response => {
			let text = '';
			const end = isWhole => {
				settle({
					status: response.statusCode, headers: response.headers, body: text, isWhole,
				});
			};

			response.setEncoding('utf8');
			response.on('data', chunk => {
				text += chunk;
			});
			response.on('end', () => {
				end(response.complete);
			});
			response.on('error', () => {
				end(false);
			});
		});
		const fail = (status, error) => {
			settle({
				status, headers: {}, body: '', isWhole: false, error,
			});
		};

		request.on('error', error => {
			fail(0, error.message);
		});
		const leave = waitMilliseconds === undefined
			? undefined
			: setTimeout(() => {
				fail(undefined, 'no answer until the caller left');
				request.destroy();
			}, waitMilliseconds);
		request.end(body);
	});
}

/**
 * Headers of a generation.
 *
 * @param {string[]} parts Parts of its prompt, each as ID:TOKENS.
 */
export function generationHeaders(parts) {
	const tokens = parts.reduce((sum, part) => sum + Number(part.split(':')[1]), 0);
	return {'x-azuretack-model': 'm', 'x-azuretack-token-counts': `${tokens},720`, 'x-azuretack-prompt-prefix': parts.join(',')};
}
