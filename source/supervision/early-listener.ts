/**
 * Listens on an address before the server that will serve it exists.
 *
 * While a program still evaluates its modules, the operating system accepts connections and keeps what arrives on them, so that callers
 * wait for the program instead of being refused.
 *
 * @module
 */
import {once} from 'node:events';
import {type Server} from 'node:http';
import {createServer, type Server as Listener, type Socket} from 'node:net';
import {splitAddress} from './listen.ts';

/**
 * Listens on an address until a server takes it over.
 *
 * @example
 * ```ts
 * const early = new EarlyListener('10.1.0.40:8227');
 * // … later
 * if (!await early.handOver(server)) {
 * 	await listen(server, '10.1.0.40:8227');
 * }
 * ```
 */
export class EarlyListener {
	readonly address: string;
	readonly #listener: Listener;
	/** Connections that were accepted before the hand-over. */
	readonly #accepted: Socket[] = [];
	#hasFailed = false;

	/**
	 * Starts to listen; a failure is not reported, but {@linkcode handOver} returns false then.
	 *
	 * @param address IP address and port.
	 */
	constructor(address: string) {
		this.address = address;
		const {host, port} = splitAddress(address);
		this.#listener = createServer({pauseOnConnect: true, noDelay: true, allowHalfOpen: true}, socket => {
			this.#accepted.push(socket);
		});
		this.#listener.on('error', () => {
			this.#hasFailed = true;
		});
		this.#listener.listen(port, host);
	}

	/**
	 * Lets a server accept the connections from now on, and serve those that were accepted before.
	 *
	 * @param server Server that does not listen yet.
	 * @returns Whether the server listens now; false if the address could not be listened on.
	 */
	async handOver(server: Server): Promise<boolean> {
		if (!this.#listener.listening && !this.#hasFailed) {
			await Promise.race([once(this.#listener, 'listening'), once(this.#listener, 'close')]).catch(() => undefined);
		}

		if (this.#hasFailed || !this.#listener.listening) {
			return false;
		}

		server.listen(this.#listener);
		await once(server, 'listening');
		for (const socket of this.#accepted.splice(0)) {
			server.emit('connection', socket);
			socket.resume();
		}

		return true;
	}
}
