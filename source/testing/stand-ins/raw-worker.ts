/**
 * A worker on a bare socket, which answers with whatever bytes a test wants.
 *
 * @module
 */
import {once} from 'node:events';
import {createServer, type Server, type Socket} from 'node:net';
import {workerEntry} from './worker-entry.ts';

/** One request as a raw worker reads it. */
export type RawRequest = {attempt: string; socket: Socket};

/** Options of a raw worker. */
export type RawWorkerOptions = {
	id: string;
	service: string;
	/** `address:port` to listen on. */
	listen: string;
	/** Answers one request; whole heads only, bodies are not read. */
	answer: (request: RawRequest) => void;
	/** Called for each new connection. Default does nothing. */
	onConnection?: (socket: Socket) => void;
};

/** Body that a raw worker's proper answer to an attempt has. */
export function rawBody(attempt: string): string {
	return `answer to ${attempt}`;
}

/** The beginning of the head of an answer to an attempt, up to the headers that frame its body. */
export function rawHead(attempt: string, status = '200 OK'): string {
	return `HTTP/1.1 ${status}\r\nX-Azuretack-Attempt-Id: ${attempt}\r\nX-Azuretack-Server-Stamp: stamp\r\n`;
}

/** The bytes of a proper answer to an attempt. */
export function rawAnswer(attempt: string): string {
	const body = rawBody(attempt);
	return `${rawHead(attempt)}Content-Length: ${body.length}\r\n\r\n${body}`;
}

/** A worker, in the process of a test. */
export class RawWorker {
	static async start(options: RawWorkerOptions): Promise<RawWorker> {
		const worker = new RawWorker(options);
		const [hostname, port] = options.listen.split(':');
		worker.#server.listen(Number(port), hostname);
		await once(worker.#server, 'listening');
		return worker;
	}

	/** Attempts that reached it. */
	readonly attempts: string[] = [];
	readonly #options: RawWorkerOptions;
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();

	private constructor(options: RawWorkerOptions) {
		this.#options = options;
		this.#server = createServer(socket => {
			this.#serve(socket);
		});
	}

	/** What it writes to the store about itself. */
	entry(): Record<string, unknown> {
		const {service, listen} = this.#options;
		return workerEntry({service, address: listen, startedAt: 1});
	}

	/** Ends it. */
	crash(): void {
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	#serve(socket: Socket): void {
		this.#sockets.add(socket);
		socket.on('close', () => {
			this.#sockets.delete(socket);
		});
		socket.on('error', () => undefined);
		this.#options.onConnection?.(socket);
		let text = '';
		socket.on('data', (data: Uint8Array) => {
			text += new TextDecoder().decode(data);
			for (let end = text.indexOf('\r\n\r\n'); end !== -1; end = text.indexOf('\r\n\r\n')) {
				const attempt = /^x-azuretack-attempt-id:\s*(?<attempt>\S+)/miv.exec(text.slice(0, end))?.groups?.attempt;
				text = text.slice(end + 4);
				if (attempt !== undefined) {
					this.attempts.push(attempt);
					this.#options.answer({attempt, socket});
				}
			}
		});
	}
}
