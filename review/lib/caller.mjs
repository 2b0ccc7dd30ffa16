/**
 * One request of a client.
 */
import {request as startRequest} from 'node:http';

/**
 * Sends a request on a connection of its own, or of an agent; never fails.
 *
 * Status 0 means that the connection ended without an answer, -1 that no whole answer came in time. `onData` receives the body so far.
 */
export async function call(address, options) {
	const {method = 'GET', path, headers = {}, body, timeout = 5000, agent = false, onData = () => undefined, signal} = options;
	const [hostname, port] = address.split(':');
	const sentAt = performance.now();
	return new Promise(resolve => {
		const end = (status, rest = {}) => {
			clearTimeout(timer);
			const milliseconds = Math.round(performance.now() - sentAt);
			resolve({
				status,
				headers: {},
				body: '',
				whole: false,
				sentAt,
				milliseconds,
				...rest,
			});
		};

		const request = startRequest({
			hostname,
			port,
			method,
			path,
			headers,
			agent,
			signal,
		}, response => {
			let text = '';
			const finish = whole => {
				end(response.statusCode, {headers: response.headers, body: text, whole});
			};

			response.setEncoding('utf8');
			response.on('data', data => {
				text += data;
				onData(text);
			});
			response.on('end', () => {
				finish(response.complete);
			});
			response.on('error', () => {
				finish(false);
			});
		});
		const timer = setTimeout(() => {
			end(-1);
			request.destroy();
		}, timeout);
		request.on('error', () => {
			end(0);
		});
		request.end(body);
	});
}
