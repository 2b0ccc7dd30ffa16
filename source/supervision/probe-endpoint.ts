/**
 * Probes whether a process is listening at an address.
 *
 * @module
 */
import {connect} from 'node:net';
import {startIoTimeout} from './io-timeout.ts';

/** Outcome of a connection attempt: no process is listening, one is, or neither is known. */
export type ProbeOutcome = 'ended' | 'lives' | 'unknown';

/**
 * Opens a connection and closes it immediately.
 *
 * @param address IP address and port.
 * @param timeoutMilliseconds Connection timeout, in milliseconds.
 * @returns `unknown` if there is no response: the host may be unreachable, or the network path interrupted.
 * @example
 * ```ts
 * if (await probeEndpoint('10.0.0.1:80', 150) === 'ended') { … }
 * ```
 */
export async function probeEndpoint(address: string, timeoutMilliseconds: number): Promise<ProbeOutcome> {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const socket = connect({host, port: Number(port)});
		const finish = (outcome: ProbeOutcome) => {
			timeout.clear();
			socket.destroy();
			resolve(outcome);
		};

		const timeout = startIoTimeout(timeoutMilliseconds, () => {
			finish('unknown');
		});
		socket.on('connect', () => {
			finish('lives');
		});
		socket.on('error', (error: NodeJS.ErrnoException) => {
			finish(error.code === 'ECONNREFUSED' ? 'ended' : 'unknown');
		});
	});
}
