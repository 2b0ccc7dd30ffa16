/**
 * Stand-ins of workers: a plain application, and a model worker that streams. They follow the page of the protocol.
 */
import {once} from 'node:events';
import {createServer} from 'node:http';
import {text} from 'node:stream/consumers';
import {setTimeout as delay} from 'node:timers/promises';

const heartbeatMilliseconds = 1200;

export class Worker {
	runs = [];
	arrivals = [];
	state = 'ready';
	isRegistered = true;
	/** Whether all answers say that the worker leaves. */
	saysLeaving = false;
	born = Date.now();
	sequence = 0;
	#server;
	#beat;
	#running = new Map();

	/**
	 * @param {{id: string, service: string, zone: string, address: string, store: import('./store.mjs').Store, slots?: number, workMilliseconds?: number, isEngine?: boolean, promptMilliseconds?: number, events?: number, eventMilliseconds?: number, onRun?: (run: object, response: import('node:http').ServerResponse, worker: Worker) => Promise<boolean> | boolean, log: (line: string) => void}} options
	 */
	constructor(options) {
		this.options = {
			slots: 6, workMilliseconds: 20, isEngine: false, promptMilliseconds: 300, events: 40, eventMilliseconds: 40, onRun: () => false, ...options,
		};
	}

	get id() {
		return this.options.id;
	}

	async start() {
		const [host, port] = this.options.address.split(':');
		this.#server = createServer((request, response) => {
			this.#serve(request, response).catch(() => {
				response.destroy();
			});
		});
		this.#server.listen(Number(port), host);
		await once(this.#server, 'listening');
		this.beat();
		this.#beat = setInterval(() => {
			this.beat();
		}, heartbeatMilliseconds);
	}

	/** Writes the worker's entry, as it does about once in each heartbeat interval. */
	beat() {
		const {id, service, zone, address, slots, store} = this.options;
		if (!this.isRegistered || store.isAway) {
			return;
		}

		this.sequence += 1;
		store.put('servers', id, {
			service, address, zone, version: 'v1', slots, state: this.state, coldRemainingMs: 0, sequence: this.sequence, born: this.born,
		});
	}

	/** Says in the store that the worker leaves. */
	drain() {
		this.state = 'draining';
		this.beat();
	}

	/** Ends the process: nothing is answered any more, and all connections are closed. */
	end() {
		clearInterval(this.#beat);
		this.#server?.close();
		this.#server?.closeAllConnections();
		this.#running.clear();
	}

	async #serve(request, response) {
		if (this.saysLeaving) {
			response.setHeader('server-leaving', '1');
		}

		if (request.url === '/api/report') {
			this.#report(response);
			return;
		}

		const body = await text(request);
		const attempt = request.headers['x-azuretack-attempt-id'];
		this.arrivals.push({attempt, at: performance.now()});
		response.setHeader('x-azuretack-attempt-id', attempt ?? '');
		const refusal = this.#refusal(request, attempt);
		if (refusal) {
			this.options.log(`worker ${this.id} refuses ${attempt} with ${refusal}`);
			response.writeHead(refusal, {'x-azuretack-not-executed': '1'}).end();
			return;
		}

		const run = {
			attempt, worker: this.id, at: performance.now(), headers: request.headers, body, lastEvent: Number(request.headers['last-event-id'] ?? '0'),
		};
		this.runs.push(run);
		this.options.log(`worker ${this.id} runs ${attempt} ${request.url}${run.lastEvent > 0 ? ` from event ${run.lastEvent}` : ''}`);
		response.on('close', () => {
			this.#running.delete(attempt);
			run.closedAt = performance.now();
		});
		response.setHeader('x-azuretack-server-stamp', `stamp-${this.id}-${attempt}`);
		if (await this.options.onRun(run, response, this)) {
			return;
		}

		await (this.options.isEngine ? this.#stream(run, response) : this.#answer(run, response));
	}

	#refusal(request, attempt) {
		if (request.headers['x-azuretack-target-instance'] !== undefined && request.headers['x-azuretack-target-instance'] !== this.id) {
			return 421;
		}

		if (attempt === undefined) {
			return 400;
		}

		return request.headers['kv-from'] === undefined ? undefined : 503;
	}

	async #answer(run, response) {
		await delay(this.options.workMilliseconds);
		const body = `done ${run.attempt}`;
		response.writeHead(200, {'content-length': body.length});
		response.end(body);
	}

	async #stream(run, response) {
		const {promptMilliseconds, events, eventMilliseconds} = this.options;
		await delay(promptMilliseconds);
		if (response.destroyed) {
			return;
		}

		response.writeHead(200, {'content-type': 'text/event-stream'});
		for (let event = run.lastEvent + 1; event <= events; event += 1) {
			if (response.destroyed) {
				return;
			}

			this.#running.set(run.attempt, event);
			response.write(`id: ${event}\ndata: token ${event} of ${run.attempt}\n\n`);
			await delay(eventMilliseconds);
		}

		this.#running.delete(run.attempt);
		response.end();
	}

	#report(response) {
		const runs = [...this.#running].map(([attempt, event]) => [attempt, 8000 + event, event, 5]);
		response.writeHead(200, {'content-type': 'application/json'});
		response.end(JSON.stringify({
			stage: 'prefill_decode', models: [{name: 'm', version: 1, adapters: []}], busySlots: false, sequence: 0, waiting: 0, running: runs.length, kvUsed: runs.length * 8000, kvTotal: 88_000, handles: 0, pinned: 0, held: 0, state: this.state, runs, born: this.born,
		}));
	}
}
