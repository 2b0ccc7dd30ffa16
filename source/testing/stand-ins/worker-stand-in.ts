/**
 * A stand-in of the platform's workers, by their published protocol: plain calls, and streams that can be gone on with elsewhere.
 *
 * @module
 */
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type Socket} from 'node:net';
import {text} from 'node:stream/consumers';
import {setTimeout as delay} from 'node:timers/promises';
import {backupCopies} from './backup-copies.ts';
import {answerCall} from './call-answers.ts';
import {KeptParts} from './kept-parts.ts';
import {isEndless, sendEndless, type EndlessPart} from './endless-answer.ts';
import {workerEntry} from './worker-entry.ts';
import {sendReport} from './worker-report.ts';
import {isStall, sendStalled} from './stalled-answer.ts';
import {Suspension} from './suspension.ts';
import {
	withDefaults, type WorkerArrival, type WorkerFault, type WorkerLie, type WorkerRun, type WorkerStandInOptions,
} from './worker-options.ts';

/** Factor by which a slow worker is slower. */
const slowFactor = 8;

/** A worker, in the process of a test. */
export class WorkerStandIn {
	static async start(options: WorkerStandInOptions): Promise<WorkerStandIn> {
		const worker = new WorkerStandIn(options);
		await worker.listen();
		return worker;
	}

	fault: WorkerFault = 'none';
	lie: WorkerLie | undefined;
	/** Whether all its answers say that it leaves. */
	saysLeaving = false;
	/** Time for which it wants nothing more, in seconds, which each of its refusals says; it refuses everything while this is set. */
	backoffSeconds: number | undefined;
	/** Value of the header by which all its answers name its limit, in requests a second from all gateways together; absent where it names none. */
	limit: string | undefined;
	/** What its reports say falsely. */
	falseReport: 'idle' | 'leaving' | undefined;
	/** While it is suspended, its connections stay open and are accepted, but nothing is read, generated or answered, reports included. */
	readonly suspension = new Suspension();
	/** Whether its reports never end. */
	reportsEndlessly = false;
	/** Whether it has dropped each connection that was used before without a word, so that what comes on it is reset. */
	dropsUsedConnections = false;
	/** Requests that it ran. */
	readonly runs: WorkerRun[];
	/** Requests that reached it. */
	readonly arrivals: WorkerArrival[];
	/** Number of queries for its report. */
	reports = 0;
	/** Prompts that it read from their start. */
	promptsRead = 0;
	/** Runs that went on from a copy. */
	goneOn = 0;
	readonly options: Required<WorkerStandInOptions>;
	startedAt = Date.now();
	#server: Server | undefined;
	readonly #usedConnections = new WeakSet<Socket>();
	readonly #running = new Map<string, number>();
	readonly #kept = new KeptParts();

	private constructor(options: WorkerStandInOptions) {
		this.options = withDefaults(options);
		this.runs = this.options.runs;
		this.arrivals = this.options.arrivals;
	}

	/** What it writes to the store about itself. */
	entry(state: 'ready' | 'draining' = 'ready'): Record<string, unknown> {
		const {service, advertised: address, availabilityZone: zone, version} = this.options;
		return workerEntry({
			service, address, zone, state, startedAt: this.startedAt, version,
		});
	}

	/** Starts to listen. */
	async listen(): Promise<void> {
		this.startedAt = Date.now();
		this.limit = undefined;
		const [hostname, port] = this.options.listen.split(':');
		this.#server = createServer((request, response) => {
			void this.#serve(request, response);
		});
		this.#server.listen(Number(port), hostname);
		await once(this.#server, 'listening');
	}

	/** Dies: all connections are reset, and the copies that it holds are gone. */
	crash(): void {
		this.#running.clear();
		backupCopies.removeAt(this.options.advertised);
		this.#server?.close();
		this.#server?.closeAllConnections();
	}

	async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (this.dropsUsedConnections && this.#usedConnections.has(request.socket)) {
			request.socket.resetAndDestroy();
			return;
		}

		this.#usedConnections.add(request.socket);
		await this.suspension.ended();
		if (request.destroyed) {
			return;
		}

		const {saysLeaving} = this;
		if (saysLeaving) {
			response.setHeader('server-leaving', '1');
		}

		if (this.limit !== undefined) {
			response.setHeader('server-limit', this.limit);
		}

		if (request.url === '/api/report') {
			this.reports += 1;
			await delay(this.options.reportMilliseconds);
			this.#report(response);
			return;
		}

		if (request.url === '/api/kv-list') {
			this.#kept.list(response);
			return;
		}

		const body = await readText(request);
		if (body === undefined) {
			return;
		}

		const attempt = String(request.headers['x-azuretack-attempt-id']);
		const refusal = this.#refusal(request);
		const arrival = {
			attempt, service: this.options.service, worker: this.options.id, at: performance.now(), backoffUntil: this.#backoffUntil(refusal), saysLeaving,
		};
		this.arrivals.push(...Array.from({length: this.lie === 'counts-thrice' ? 3 : 1}, () => arrival));
		if (refusal !== undefined) {
			this.#refuse(response, refusal, attempt);
			return;
		}

		// A call keeps the fault that it started with; what it notes of itself must be what it answers.
		const {fault} = this;
		const run: WorkerRun = {
			attempt,
			worker: this.options.id,
			service: this.options.service,
			headers: request.headers,
			body: this.lie === 'misreads' ? `${body}?` : body,
			method: request.method!,
			target: request.url!,
			startedAt: performance.now(),
			endedAt: undefined,
			status: fault === 'error' || fault === 'endless-failure' ? 500 : 200,
			answer: '',
		};
		run.answer = fault === 'error' ? 'failed' : this.options.answerOf(run);
		this.runs.push(run);
		if (this.lie === 'counts-thrice') {
			this.runs.push({...run, worker: `${run.worker}-b`}, {...run, worker: `${run.worker}-c`});
		}

		response.on('close', () => {
			this.#running.delete(attempt);
			if (this.lie !== 'ignores-close' && this.lie !== 'breaks-and-works-on') {
				run.endedAt ??= Math.max(performance.now(), this.suspension.until);
			}
		});
		if (this.lie === 'runs-refused') {
			response.writeHead(503, {'x-azuretack-not-executed': '1', 'x-azuretack-attempt-id': attempt}).end();
			return;
		}

		if (request.headers['x-azuretack-token-counts'] !== undefined) {
			this.#running.set(attempt, 0);
			await delay(this.#time(this.options.promptMilliseconds));
			await this.suspension.ended();
		}

		// The socket is destroyed at once where the process ended meanwhile; its response is some time later.
		if (request.socket.destroyed) {
			return;
		}

		if (this.options.endsUnder(run)) {
			this.crash();
			this.options.onEnd(run);
			return;
		}

		const headers = {'x-azuretack-attempt-id': fault === 'other-id' ? 'another' : attempt, 'x-azuretack-server-stamp': `stamp-${this.options.id}`};
		if (isEndless(fault)) {
			await sendEndless(fault, response, headers);
			return;
		}

		await (request.headers['x-azuretack-token-counts'] === undefined ? this.#call(run, response, {headers, fault}) : this.#stream(run, response, headers));
	}

	#report(response: ServerResponse): void {
		if (this.reportsEndlessly) {
			void sendEndless('endless-body', response, {});
			return;
		}

		sendReport(response, {runs: this.falseReport === 'idle' ? new Map() : this.#running, startedAt: this.startedAt, isLeaving: this.falseReport === 'leaving'});
	}

	/** Steady time until which a refusal asks to back off, in milliseconds; only one for want of room does. */
	#backoffUntil(refusal: number | undefined): number | undefined {
		return refusal === 503 && this.backoffSeconds !== undefined ? performance.now() + (this.backoffSeconds * 1000) : undefined;
	}

	#refuse(response: ServerResponse, refusal: number, attempt: string): void {
		if (this.#backoffUntil(refusal) !== undefined && this.lie !== 'asks-no-backoff') {
			response.setHeader('retry-after', String(this.backoffSeconds));
		}

		response.writeHead(refusal, {'x-azuretack-not-executed': '1', 'x-azuretack-attempt-id': attempt});
		response.end();
	}

	#refusal(request: IncomingMessage): number | undefined {
		if (request.headers['x-azuretack-target-instance'] !== this.options.id) {
			return 421;
		}

		const copy = request.headers['kv-from'];
		if (copy !== undefined && !backupCopies.has(String(copy))) {
			return 503;
		}

		return this.fault === 'full' || this.backoffSeconds !== undefined ? 503 : undefined;
	}

	/** Milliseconds that something takes at present. */
	#time(milliseconds: number): number {
		return this.fault === 'slow' ? milliseconds * slowFactor : milliseconds;
	}

	async #call(run: WorkerRun, response: ServerResponse, {headers, fault}: {headers: Record<string, string>; fault: Exclude<WorkerFault, EndlessPart>}): Promise<void> {
		await delay(this.#time(this.options.callMilliseconds));
		await this.suspension.ended();
		const body = this.lie === 'other-body' ? run.answer.slice(1) : run.answer;
		answerCall(fault, response, {headers, body});
	}

	/** Sends events 1 to the last; an event's text tells its number, so that any gap or repetition shows. */
	async #stream(run: WorkerRun, response: ServerResponse, headers: Record<string, string>): Promise<void> {
		const {attempt} = run;
		const holder = run.headers['x-azuretack-kv-backup'];
		this.#kept.keep(run.headers);
		if (run.headers['kv-from'] === undefined) {
			this.promptsRead += 1;
		} else {
			this.goneOn += 1;
		}

		if (run.status !== 200) {
			response.writeHead(run.status, headers).end(run.answer);
			return;
		}

		response.writeHead(200, {...headers, 'content-type': 'text/event-stream'});
		response.flushHeaders();
		const first = Number(run.headers['last-event-id'] ?? '0') + 1;
		// A connection that has lost events never delivers later ones.
		let isMute = false;
		for (let event = first; event <= this.options.eventsOf(run); event += 1) {
			await delay(this.#time(this.options.eventMilliseconds));
			await this.suspension.ended();
			if (response.destroyed) {
				return;
			}

			this.#running.set(attempt, event);
			if (holder !== undefined) {
				backupCopies.set(String(holder), attempt, event);
			}

			isMute ||= this.fault === 'mute';
			if (isMute) {
				continue;
			}

			if (isStall(this.fault) && event > first + 2) {
				run.stalledAt = performance.now();
				await sendStalled(this.fault, response);
				return;
			}

			if ((this.fault === 'break' || this.lie === 'breaks-and-works-on') && event > first + 3) {
				response.write(`id: ${event}\ndata: ha`);
				response.destroy();
				return;
			}

			const text = `id: ${event}\ndata: ${this.options.eventOf(run, event)}\n\n`;
			// A repeated event comes in the same packet as the first one.
			response.write(this.fault === 'repeat' && event === first + 2 ? text + text : text);
		}

		this.#running.delete(attempt);
		if (!isMute) {
			response.end();
		}
	}
}

/** Reads the text of a body; `undefined` if its sender broke it off. */
async function readText(request: IncomingMessage): Promise<string | undefined> {
	try {
		return await text(request);
	} catch {
		return undefined;
	}
}
