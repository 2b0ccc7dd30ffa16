/**
 * Finds out whether an endpoint's process listens.
 *
 * @module
 */
import {connect} from 'node:net';

/** What a connection to an endpoint shows: that no process listens, that one does, or nothing. */
export type EndpointFate = 'ended' | 'lives' | 'unknown';

/**
 * Opens a connection to an endpoint and closes it at once.
 *
 * @param address IP number and port.
 * @param timeoutMilliseconds Time for the connection to come about.
 * @returns `unknown` where there is no answer: the host may be dark, or the way there cut.
 * @example
 * ```ts
 * if (await probeEndpoint('10.0.0.1:80', 150) === 'ended') { … }
 * ```
 */
export async function probeEndpoint(address: string, timeoutMilliseconds: number): Promise<EndpointFate> {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const socket = connect({host, port: Number(port)});
		const settle = (fate: EndpointFate) => {
			clearTimeout(timer);
			socket.destroy();
			resolve(fate);
		};

		const timer = setTimeout(() => {
			settle('unknown');
		}, timeoutMilliseconds);
		socket.on('connect', () => {
			settle('lives');
		});
		socket.on('error', (error: NodeJS.ErrnoException) => {
			settle(error.code === 'ECONNREFUSED' ? 'ended' : 'unknown');
		});
	});
}
