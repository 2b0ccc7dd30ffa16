/**
 * The callers of a soak: they ask for entries, keep connections open, lose patience, and go on with generations elsewhere.
 *
 * @module
 */
import {Agent} from 'node:http';
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {sendCall} from '../call.ts';
import {type CallKind, type SeenAnswer, type SeenRequest} from './history.ts';
import {Random} from './random.ts';
import {
	endingBody, lastEventOf, partBody, prefixes, splitEvents,
} from './requests.ts';
import {soakHost, type SoakWorld} from './world.ts';

/** Requests a second of each kind. */
const rates: Record<CallKind, number> = {idempotent: 15, once: 15, generation: 5};

/** Callers, each with connections of its own. */
const callerCount = 8;

/** Time for which a caller keeps its list of entries, in milliseconds. */
const entriesMilliseconds = 5000;

/** Chance that a caller leaves early, in hundredths. */
const usualImpatientPercent = 8;

/** Chance that a caller uses a key that was taken away, if there is one, in hundredths. */
const oldKeyPercent = 15;

/** Chance that a request is followed by one that is never finished, in hundredths. */
const unfinishedPercent = 2;

/** Deadline of a request, in milliseconds. */
const deadlines: Record<CallKind, number> = {idempotent: 2500, once: 2500, generation: 10_000};

/** Attempts of a caller for one request. */
const mostAttempts = 3;

/** Time for which a caller waits for a list of entries, in milliseconds. */
const entriesTimeoutMilliseconds = 1000;

type Caller = {agent: Agent; entries: string[]; entriesAt: number};

/** Plays callers until the signal aborts. */
export class Callers {
	readonly #world: SoakWorld;
	readonly #random: Random;
	readonly #impatientPercent: number;
	readonly #callers: Caller[] = Array.from({length: callerCount}, () => ({agent: new Agent({keepAlive: true}), entries: [], entriesAt: Number.NEGATIVE_INFINITY}));
	readonly #inProgress = new Set<Promise<void>>();
	#attemptsMade = 0;

	/**
	 * Creates callers.
	 *
	 * @param world What they call.
	 * @param random Draws what they do.
	 * @param impatientPercent Chance that one leaves early, in hundredths.
	 */
	constructor(world: SoakWorld, random: Random, impatientPercent = usualImpatientPercent) {
		this.#world = world;
		this.#random = random;
		this.#impatientPercent = impatientPercent;
	}

	/** Sends requests of all kinds until the signal aborts, then waits for the answers. */
	async play(signal: AbortSignal): Promise<void> {
		await Promise.all(Object.keys(rates).map(async kind => this.#playKind(kind as CallKind, signal)));
		await Promise.all(this.#inProgress);
		for (const {agent} of this.#callers) {
			agent.destroy();
		}
	}

	async #playKind(kind: CallKind, signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const task = this.#serve(this.#random.pick(this.#callers), kind);
			this.#inProgress.add(task);
			void task.finally(() => {
				this.#inProgress.delete(task);
			});
			await delay(this.#random.integer(1, 2000) / rates[kind]);
		}
	}

	/** One request with its retries. */
	async #serve(caller: Caller, kind: CallKind): Promise<void> {
		const body = `notes ${this.#random.integer(1, 1_000_000)}`;
		const [workspace, key] = this.#drawKey();
		const until = performance.now() + deadlines[kind];
		let lastEvent = 0;
		for (let attempt = 0; attempt < mostAttempts; attempt += 1) {
			const entry = await this.#entry(caller);
			const gateway = entry === undefined ? undefined : this.#world.gatewayAt(entry);
			const left = until - performance.now();
			if (!gateway || left < 100) {
				return;
			}

			this.#attemptsMade += 1;
			const request: SeenRequest = {
				attempt: `attempt-${this.#attemptsMade}`,
				kind,
				gateway: gateway.name,
				workspace,
				key,
				method: 'POST',
				target: `${prefixes[kind]}${this.#attemptsMade}?x=%20y`,
				body,
				lastEvent,
				sentAt: performance.now(),
				deadlineMilliseconds: left,
			};
			this.#world.history.requests.push(request);
			if (this.#random.chance(unfinishedPercent)) {
				leaveUnfinished(entry!);
			}

			const leaves = this.#random.chance(this.#impatientPercent) ? this.#random.integer(1, left / 2) : undefined;
			await send(request, {address: entry!, agent: caller.agent, leaves});
			const {answer} = request;
			if (request.leftAt !== undefined || !answer || !mayRepeat(request, answer)) {
				return;
			}

			caller.entriesAt = Number.NEGATIVE_INFINITY;
			lastEvent += kind === 'generation' && answer.status === 200 ? splitEvents(answer.body).events.length : 0;
			await delay(this.#random.integer(50, 300));
		}
	}

	#drawKey(): [workspace: string, key: string] {
		const {configurations} = this.#world.history;
		const from = this.#random.chance(oldKeyPercent) ? this.#random.pick(configurations) : configurations.at(-1)!;
		const workspace = this.#random.pick(Object.keys(from.keys));
		return [workspace, from.keys[workspace]![0]!];
	}

	/** An entry to use: from the list that the caller keeps, or a new one from any gateway that answers. */
	async #entry(caller: Caller): Promise<string | undefined> {
		for (let look = 0; look < 3 && performance.now() > caller.entriesAt + entriesMilliseconds; look += 1) {
			const entries = await askForEntries(this.#random.pick(this.#world.gateways).entries);
			if (entries.length > 0) {
				caller.entries = entries;
				caller.entriesAt = performance.now();
			}
		}

		return caller.entries.length > 0 ? this.#random.pick(caller.entries) : undefined;
	}
}

/** Options of {@linkcode playEndingRequest}. */
export type EndingRequestOptions = {
	kind: CallKind;
	/** Path of each send; default the same each time. */
	targetOf?: (send: number) => string;
	/** Whether the sends share only a part of their prompts; no two are alike then. Default false. */
	sharesPart?: boolean;
	/** Parts that the prompt of each send begins with; default the same each time. */
	partsOf?: (send: number) => string;
};

/** Time between two sends of a request that ends workers, in milliseconds. */
const endingGapMilliseconds = 300;

/** Parts that the prompts of all generations share. */
const sharedParts = 'a1:200';

/** Requests that end workers which were made so far. */
let endingRequests = 0;

/** Sends a request that ends each worker that runs it to any gateway again and again, until the signal aborts. */
export async function playEndingRequest(world: SoakWorld, {kind, targetOf, sharesPart = false, partsOf}: EndingRequestOptions, signal: AbortSignal): Promise<void> {
	endingRequests += 1;
	const number = endingRequests;
	const random = new Random(number);
	for (let send = 1; !signal.aborted; send += 1) {
		const gateway = random.pick(world.gateways);
		const {keys} = world.history.configurations.at(-1)!;
		const request: SeenRequest = {
			attempt: `ending-${number}-${send}`,
			kind,
			gateway: gateway.name,
			workspace: 'workspace-1',
			key: keys['workspace-1']![0]!,
			method: 'POST',
			target: targetOf?.(send) ?? `${prefixes[kind]}ending-${number}${sharesPart ? `-${send}` : ''}`,
			body: sharesPart ? partBody(number, send) : endingBody(number),
			promptParts: sharesPart ? `${partsOf?.(send) ?? `${sharedParts},dead${number}:90`},${number}f${send}:510` : undefined,
			lastEvent: 0,
			sentAt: performance.now(),
			deadlineMilliseconds: deadlines[kind],
		};
		world.history.requests.push(request);
		await sendOnce(request, gateway.callersLink.address);
		await delay(endingGapMilliseconds);
	}
}

/** Sends a request over a connection of its own. */
async function sendOnce(request: SeenRequest, address: string): Promise<void> {
	const agent = new Agent();
	await send(request, {address, agent, leaves: undefined});
	agent.destroy();
}

/** Whether a caller may send a request again: after any failure, or only after "not run". */
function mayRepeat({kind, body, lastEvent}: SeenRequest, {status, whole, body: text}: SeenAnswer): boolean {
	if (kind === 'once') {
		return status === 503 || status === 429;
	}

	const isRefused = status !== 200 && status !== 0 && status < 500 && status !== 429;
	const isDone = kind === 'generation' && lastEvent + splitEvents(text).events.length >= lastEventOf(body);
	return !isRefused && !isDone && (status !== 200 || !whole);
}

/** When each connection of callers was opened. */
const connectionTimes = new WeakMap<Socket, number>();

type SendOptions = {address: string; agent: Agent; leaves: number | undefined};

/** Sends a request and records how it ended. */
async function send(request: SeenRequest, {address, agent, leaves}: SendOptions): Promise<void> {
	const leaving = new AbortController();
	const impatience = setTimeout(() => {
		request.leftAt = performance.now();
		leaving.abort();
	}, leaves ?? request.deadlineMilliseconds + 2000);
	const {method, target, body} = request;
	const answer = await sendCall(address, {
		path: target, method, body, headers: headersOf(request), signal: leaving.signal, agent,
		onConnection(socket) {
			request.connectedAt = connectionTimes.get(socket) ?? performance.now();
			connectionTimes.set(socket, request.connectedAt);
		},
	});
	clearTimeout(impatience);
	if (request.leftAt === undefined) {
		request.answer = {
			at: performance.now(),
			status: answer.status,
			stamp: textOf(answer.headers['x-azuretack-server-stamp']),
			saysLeaving: answer.headers['server-leaving'] === '1',
			namesLimit: answer.headers['server-limit'] !== undefined,
			attempt: textOf(answer.headers['x-azuretack-attempt-id']),
			body: answer.body,
			whole: answer.whole,
		};
	}
}

function headersOf({attempt, key, deadlineMilliseconds, kind, lastEvent, promptParts = `${sharedParts},b2:600`}: SeenRequest): Record<string, string> {
	return {
		host: soakHost,
		authorization: `Token ${key}`,
		'x-azuretack-attempt-id': attempt,
		'x-azuretack-deadline-ms': String(Math.round(deadlineMilliseconds)),
		'x-azuretack-tenant': 'forged',
		'x-azuretack-hold': 'forged',
		...(kind === 'generation' && {'x-azuretack-token-counts': '800,40', 'x-azuretack-prompt-prefix': promptParts}),
		...(lastEvent > 0 && {'last-event-id': String(lastEvent)}),
	};
}

function textOf(value: string | string[] | undefined): string | undefined {
	return typeof value === 'string' ? value : undefined;
}

/** Opens a connection and never finishes the request on it; the gateway must end it. */
function leaveUnfinished(address: string): void {
	const {hostname, port} = new URL(`http://${address}`);
	const socket = connect(Number(port), hostname);
	socket.on('error', () => undefined);
	socket.write(`POST ${prefixes.once}unfinished HTTP/1.1\r\nHost: ${soakHost}\r\nContent-Length: 100\r\n`);
	socket.unref();
}

/** Addresses that a gateway names to callers; empty where it does not answer. */
async function askForEntries(address: string): Promise<string[]> {
	const {body} = await sendCall(address, {
		path: `/api/resolve?name=${soakHost}&region=home&zone=zone-a`, signal: AbortSignal.timeout(entriesTimeoutMilliseconds),
	});
	return body.match(/127\.\d+\.\d+\.\d+:\d+/gv) ?? [];
}
