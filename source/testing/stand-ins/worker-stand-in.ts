/**
 * A stand-in of the platform's workers, by their published protocol: plain calls, and streams that can be gone on with elsewhere.
 *
 * @module
 */
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {text} from 'node:stream/consumers';
import {setTimeout as delay} from 'node:timers/promises';

/** One request that a worker ran. */
export type WorkerRun = {attempt: string; worker: string; headers: IncomingMessage['headers']; body: string; method: string; target: string};

/** What a worker does with requests: it works, fails, refuses, ends answers early, says nothing, or names another one. */
export type WorkerFault = 'none' | 'error' | 'full' | 'break' | 'reset' | 'mute' | 'other-id' | 'extra';

/** Options of {@linkcode WorkerStandIn}. */
export type WorkerStandInOptions = {
	id: string;
	service: string;
	/** `address:port` to listen on. */
	listen: string;
	/** Events of a stream. Default 20. */
	events?: number;
	/** Time between two events, in milliseconds. Default 10. */
	eventMilliseconds?: number;
	/** Time of a plain call, in milliseconds. Default 2. */
	callMilliseconds?: number;
};

/** Copies of runs that workers hold, by the address of the holder and the attempt: events that are covered. */
const copies = new Map<string, number>();

/** A worker, in the process of a test. */
export class WorkerStandIn {
	static async start(options: WorkerStandInOptions): Promise<WorkerStandIn> {
		const worker = new WorkerStandIn(options);
		await worker.listen();
		return worker;
	}

	fault: WorkerFault = 'none';
	/** Requests that it ran. */
	readonly runs: WorkerRun[] = [];
	/** Prompts that it read from their start. */
	promptsRead = 0;
	/** Runs that went on from a copy. */
	goneOn = 0;
	readonly options: Required<WorkerStandInOptions>;
	startedAt = Date.now();
	#server: Server | undefined;
	readonly #running = new Map<string, number>();

	private constructor(options: WorkerStandInOptions) {
		this.options = {
			events: 20, eventMilliseconds: 10, callMilliseconds: 2, ...options,
		};
	}

	/** What it writes to the store about itself. */
	entry(state: 'ready' | 'draining' = 'ready'): Record<string, unknown> {
		const {service, listen} = this.options;
		return {
			service, address: listen, zone: 'zone-a', version: 'v1', slots: 8, state, sequence: 1, coldRemainingMs: 0, born: this.startedAt,
		};
	}

	/** Starts to listen. */
	async listen(): Promise<void> {
		this.startedAt = Date.now();
		const [hostname, port] = this.options.listen.split(':');
		this.#server = createServer((request, response) => {
			void this.#serve(request, response);
		});
		this.#server.listen(Number(port), hostname);
		await once(this.#server, 'listening');
	}

	/** Dies: all connections are reset. */
	crash(): void {
		this.#running.clear();
		this.#server?.close();
		this.#server?.closeAllConnections();
	}

	async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (request.url === '/api/report') {
			this.#report(response);
			return;
		}

		const body = await text(request);
		const attempt = String(request.headers['x-azuretack-attempt-id']);
		const refusal = this.#refusal(request);
		if (refusal !== undefined) {
			response.writeHead(refusal, {'x-azuretack-not-executed': '1', 'x-azuretack-attempt-id': attempt});
			response.end();
			return;
		}

		this.runs.push({
			attempt, worker: this.options.id, headers: request.headers, body, method: request.method!, target: request.url!,
		});
		const headers = {'x-azuretack-attempt-id': this.fault === 'other-id' ? 'another' : attempt, 'x-azuretack-server-stamp': `stamp-${this.options.id}`};
		await (request.headers['x-azuretack-token-counts'] === undefined ? this.#call(response, headers) : this.#stream(request, response, headers));
	}

	#report(response: ServerResponse): void {
		const runs = [...this.#running].map(([attempt, events]) => [attempt, 8000 + events, events, 5]);
		response.writeHead(200, {'content-type': 'application/json'});
		response.end(JSON.stringify({
			stage: 'prefill_decode', waiting: 0, running: runs.length, kvUsed: 8000 * runs.length, kvTotal: 88_000, held: 0, next: 0, born: this.startedAt, state: 'ready', runs,
		}));
	}

	#refusal(request: IncomingMessage): number | undefined {
		if (request.headers['x-azuretack-target-instance'] !== this.options.id) {
			return 421;
		}

		const copy = request.headers['kv-from'];
		if (copy !== undefined && !copies.has(String(copy))) {
			return 503;
		}

		return this.fault === 'full' ? 503 : undefined;
	}

	async #call(response: ServerResponse, headers: Record<string, string>): Promise<void> {
		await delay(this.options.callMilliseconds);
		const body = `answer of ${this.options.id}`;
		const handlers: Record<WorkerFault, () => void> = {
			none() {
				response.writeHead(200, {...headers, 'content-length': body.length}).end(body);
			},
			full: () => undefined,
			error() {
				response.writeHead(500, headers).end('failed');
			},
			break() {
				response.writeHead(200, {...headers, 'content-length': body.length}).write(body.slice(0, 3));
				setTimeout(() => {
					response.destroy();
				}, 5);
			},
			reset() {
				response.socket?.resetAndDestroy();
			},
			mute: () => undefined,
			'other-id'() {
				response.writeHead(200, {...headers, 'content-length': body.length}).end(body);
			},
			extra() {
				response.writeHead(200, {...headers, 'content-length': body.length}).end(body);
				response.socket?.write(`HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Azuretack-Attempt-Id: ${headers['x-azuretack-attempt-id']}\r\n\r\nextra`);
			},
		};
		handlers[this.fault]();
	}

	/** Sends events 1 to the last; an event's text tells its number, so that any gap or repetition shows. */
	async #stream(request: IncomingMessage, response: ServerResponse, headers: Record<string, string>): Promise<void> {
		const attempt = headers['x-azuretack-attempt-id']!;
		const holder = request.headers['x-azuretack-kv-backup'];
		if (request.headers['kv-from'] === undefined) {
			this.promptsRead += 1;
		} else {
			this.goneOn += 1;
		}

		response.writeHead(200, {...headers, 'content-type': 'text/event-stream'});
		response.flushHeaders();
		const first = Number(request.headers['last-event-id'] ?? '0') + 1;
		for (let event = first; event <= this.options.events; event += 1) {
			await delay(this.options.eventMilliseconds);
			if (response.destroyed) {
				this.#running.delete(attempt);
				return;
			}

			this.#running.set(attempt, event);
			if (holder !== undefined) {
				copies.set(`${String(holder)}/${attempt}`, event);
			}

			if (this.fault === 'mute') {
				continue;
			}

			if (this.fault === 'break' && event > first + 3) {
				response.write(`id: ${event}\ndata: ha`);
				response.destroy();
				return;
			}

			response.write(`id: ${event}\ndata: token ${event}\n\n`);
		}

		this.#running.delete(attempt);
		if (this.fault !== 'mute') {
			response.end();
		}
	}
}
