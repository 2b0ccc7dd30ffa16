/**
 * Stand-ins of workers: a plain application, and a model worker that streams. They follow the page of the protocol.
 */
import {once} from 'node:events';
import {createServer} from 'node:http';
import {text} from 'node:stream/consumers';
import {setTimeout as delay} from 'node:timers/promises';

const heartbeatMilliseconds = 1200;

/** Memory of a model worker, in tokens; tokens of a prompt that it reads in a millisecond; tokens of an event. */
const kvCapacity = 88_000;
const promptTokensPerMillisecond = 8;
const tokensPerEvent = 6;

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
	#waiting = new Set();
	/** Requests that are in memory, the newest last. */
	#memory = new Set();

	/** Options are the id, service, zone and address, the store, what takes lines of the record, and those with a default below. */
	constructor(options) {
		this.options = {
			slots: 6,
			workMilliseconds: 20,
			isEngine: false,
			events: 40,
			eventMilliseconds: 40,
			dropsOnClose: true,
			onRun: () => false,
			...options,
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

	/** Ends the process and starts another one under the same id and address after a time; it knows nothing of before. */
	async restart(milliseconds) {
		this.end();
		this.options.store.remove('servers', this.id);
		await delay(milliseconds);
		this.saysLeaving = false;
		this.state = 'ready';
		this.born = Date.now();
		this.sequence = 0;
		await this.start();
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
			attempt, worker: this.id, born: this.born, at: performance.now(), headers: request.headers, body, lastEvent: Number(request.headers['last-event-id'] ?? '0'),
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
		const {events, eventMilliseconds, dropsOnClose} = this.options;
		const isDropped = () => dropsOnClose && response.destroyed;
		run.tokens = Number(String(run.headers['x-azuretack-token-counts'] ?? '8000').split(',')[0]);
		await this.#read(run);
		if (isDropped()) {
			this.#memory.delete(run);
			return;
		}

		response.writeHead(200, {'content-type': 'text/event-stream'});
		for (let event = run.lastEvent + 1; event <= events && !isDropped(); event += 1) {
			if (!this.#memory.has(run)) {
				await this.#read(run);
			}

			this.#running.set(run.attempt, event);
			response.write(`id: ${event}\ndata: token ${event} of ${run.attempt}\n\n`);
			run.workedUntil = performance.now();
			run.lastMade = event;
			await delay(eventMilliseconds);
			this.#grow(run);
		}

		this.#running.delete(run.attempt);
		this.#memory.delete(run);
		response.end();
	}

	/** Runs requests that other machines have sent: so many, with prompts of so many tokens, and so many events each. */
	async runOthers(count, tokens, events) {
		const runs = Array.from({length: count}, (_unused, index) => ({attempt: `other-${index}`, tokens}));
		await Promise.all(runs.map(async run => {
			await this.#read(run);
			for (let event = 1; event <= events; event += 1) {
				this.#running.set(run.attempt, event);
				await delay(this.options.eventMilliseconds);
				this.#grow(run);
			}

			this.#running.delete(run.attempt);
			this.#memory.delete(run);
		}));
	}

	/** Waits until there is memory for a request, and reads its prompt and what it has generated. */
	async #read(run) {
		this.#waiting.add(run);
		while (this.#usedTokens + run.tokens > kvCapacity) {
			await delay(20);
		}

		this.#waiting.delete(run);
		this.#memory.add(run);
		await delay(run.tokens / promptTokensPerMillisecond);
	}

	/** Adds the tokens of an event; where memory runs out, the newest request is preempted, as all are equally urgent. */
	#grow(run) {
		run.tokens += tokensPerEvent;
		if (this.#usedTokens > kvCapacity) {
			const newest = [...this.#memory].at(-1);
			this.#memory.delete(newest);
			this.#running.delete(newest.attempt);
			this.options.log(`worker ${this.id} has no memory left and preempts ${newest.attempt}`);
		}
	}

	get #usedTokens() {
		return [...this.#memory].reduce((sum, {tokens}) => sum + tokens, 0);
	}

	#report(response) {
		const runs = [...this.#running].map(([attempt, event]) => [attempt, 8000 + event, event, 5]);
		const report = {
			stage: 'prefill_decode',
			models: [{name: 'm', version: 1, adapters: []}],
			busySlots: false,
			sequence: 0,
			waiting: this.#waiting.size,
			running: this.#memory.size,
			kvUsed: this.#usedTokens,
			kvTotal: kvCapacity,
			handles: 0,
			pinned: 0,
			held: 0,
			state: this.state,
			runs,
			born: this.born,
		};
		response.writeHead(200, {'content-type': 'application/json'});
		response.end(JSON.stringify(report));
	}
}
