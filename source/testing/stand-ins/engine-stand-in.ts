/**
 * Stand-in for a model engine: continuous batching, prefix cache, priorities, resume, cancel and orders.
 *
 * @module
 */
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {
	cancelSchema, engineRequestSchema, orderSchema, type EngineErrorCode, type EngineLoad, type EngineRequest,
} from '../../endpoints/mod.ts';
import {prefixKey} from '../../placement/mod.ts';
import {answer, serveJson, type Exchange} from './control.ts';
import {withLimitControl} from './limit-control.ts';
import {EngineGeneration} from './engine-generation.ts';
import {type EngineOptions, type EngineWork} from './engine-options.ts';
import {splitTokens} from './expected-text.ts';
import {PrefixCache} from './prefix-cache.ts';

type CacheEvent = {sequence: number; kind: 'stored' | 'evicted'; prefix: string; at: number};

/**
 * Starts an engine stand-in.
 *
 * @param options Address, speed and faults.
 */
export async function startEngineStandIn(options: EngineOptions): Promise<void> {
	const engine = new Engine(options);
	await serveJson(options.listen, withLimitControl(engine.handlers(), ['POST /v1/completions', 'GET /v1/generations/*']));
	engine.run();
}

class Engine {
	readonly #options: EngineOptions;
	readonly #cache: PrefixCache;
	readonly #generations = new Map<string, EngineGeneration>();
	readonly #running = new Set<EngineGeneration>();
	readonly #waiting: EngineGeneration[] = [];
	readonly #work: EngineWork = {
		prefillTokens: 0, cachedTokens: 0, decodedTokens: 0, generations: 0,
	};

	readonly #cacheEvents: CacheEvent[] = [];
	#models: EngineLoad['models'];
	#role = 'mixed';
	#fencingNumber = 0;
	#laggingLoad: EngineLoad;

	constructor(options: EngineOptions) {
		this.#options = options;
		this.#cache = new PrefixCache(options.cacheBlocks);
		this.#models = [{model: options.model, version: options.version, adapters: options.adapters}];
		this.#laggingLoad = this.#load();
	}

	/** Starts decoding and the lagging report of the load. */
	run(): void {
		setInterval(() => {
			this.#step();
		}, this.#options.stepMilliseconds);
		setInterval(() => {
			this.#laggingLoad = this.#load();
		}, this.#options.lagMilliseconds);
	}

	/** Returns the table of handlers. */
	handlers() {
		return {
			'POST /v1/completions': (exchange: Exchange) => {
				this.#start(exchange);
			},
			'GET /v1/generations/*': (exchange: Exchange) => {
				this.#resume(exchange);
			},
			'POST /v1/generations/*': (exchange: Exchange) => {
				this.#cancel(exchange);
			},
			'GET /v1/load': ({response}: Exchange) => {
				answer(response, 200, this.#laggingLoad);
			},
			'POST /v1/orders': async (exchange: Exchange) => this.#order(exchange),
			'GET /v1/cache_events': ({url, response}: Exchange) => {
				const after = Number(url.searchParams.get('after') ?? '0');
				const visible = performance.now() - this.#options.lagMilliseconds;
				answer(response, 200, {events: this.#cacheEvents.filter(event => event.sequence > after && event.at <= visible)});
			},
			'GET /control/work': ({response}: Exchange) => {
				answer(response, 200, this.#work);
			},
			'GET /control/generations': ({response}: Exchange) => {
				const generations = [...this.#generations.values()].map(({request, attempt, state, idleSince}) => ({
					prompt: request.prompt, attempt, state, connected: idleSince === undefined,
				}));
				answer(response, 200, {generations});
			},
			'GET /control/state': ({response}: Exchange) => {
				answer(response, 200, {models: this.#models, role: this.#role, fencingNumber: this.#fencingNumber});
			},
		};
	}

	#start({body, response}: Exchange): void {
		const checked = engineRequestSchema.safeParse(body);
		if (!checked.success) {
			refuse(response, 400, 'bad_request', checked.error.message);
			return;
		}

		const request = checked.data;
		if (!this.#serves(request)) {
			refuse(response, 409, 'version_mismatch', `${request.model} ${request.version} is not loaded`);
			return;
		}

		const earlier = this.#generations.get(request.generation);
		if (earlier && earlier.attempt >= request.attempt) {
			refuse(response, 409, 'superseded', 'a newer attempt runs');
			return;
		}

		if (earlier) {
			this.#remove(earlier, 'superseded');
		}

		const generation = new EngineGeneration(request, request.seed);
		this.#generations.set(request.generation, generation);
		this.#waiting.push(generation);
		this.#waiting.sort((left, right) => left.request.priority - right.request.priority);
		generation.attach(response, request.attempt, request.start_index - 1);
	}

	#resume({url, response}: Exchange): void {
		const name = url.pathname.split('/')[3] ?? '';
		const attempt = Number(url.searchParams.get('attempt'));
		const generation = this.#generations.get(name);
		if (!generation || generation.request.start_index > Number(url.searchParams.get('after')) + 1) {
			refuse(response, 404, 'unknown_generation', 'there is no such generation');
			return;
		}

		if (attempt <= generation.attempt) {
			refuse(response, 409, 'superseded', 'a newer attempt runs');
			return;
		}

		generation.attach(response, attempt, Number(url.searchParams.get('after')));
	}

	#cancel({url, body, response}: Exchange): void {
		const generation = this.#generations.get(url.pathname.split('/')[3] ?? '');
		const {attempt} = cancelSchema.parse(body);
		if (!generation) {
			refuse(response, 404, 'unknown_generation', 'there is no such generation');
			return;
		}

		if (attempt < generation.attempt) {
			refuse(response, 409, 'superseded', 'a newer attempt runs');
			return;
		}

		this.#remove(generation, 'cancelled');
		answer(response, 200, {});
	}

	async #order({body, response}: Exchange): Promise<void> {
		const order = orderSchema.parse(body);
		if (this.#options.checksFencing && order.fencing_number < this.#fencingNumber) {
			refuse(response, 409, 'old_fencing_number', `the number ${this.#fencingNumber} was seen`);
			return;
		}

		this.#fencingNumber = order.fencing_number;
		await delay(this.#options.loadMilliseconds);
		this.#models = order.models;
		this.#role = order.role ?? this.#role;
		answer(response, 200, {});
	}

	#serves(request: EngineRequest): boolean {
		return this.#models.some(({model, version, adapters}) => model === request.model && version === request.version
			&& (request.adapter === undefined || adapters.includes(request.adapter)));
	}

	#remove(generation: EngineGeneration, reason: 'superseded' | 'cancelled'): void {
		generation.stop(reason);
		this.#running.delete(generation);
		const position = this.#waiting.indexOf(generation);
		if (position !== -1) {
			this.#waiting.splice(position, 1);
		}

		this.#generations.delete(generation.request.generation);
	}

	#step(): void {
		while (this.#running.size < this.#options.batchSize && this.#waiting.length > 0) {
			const generation = this.#waiting.shift()!;
			this.#running.add(generation);
			void this.#prefill(generation);
		}

		for (const generation of this.#running) {
			if (generation.state === 'running') {
				this.#decode(generation);
			}
		}

		this.#forgetIdle();
	}

	async #prefill(generation: EngineGeneration): Promise<void> {
		const tokens = splitTokens(generation.request.prompt + ' ' + generation.request.text_so_far);
		generation.cachedTokens = this.#cache.lookup(tokens);
		generation.prefillTokens = tokens.length - generation.cachedTokens;
		this.#work.generations += 1;
		this.#work.prefillTokens += generation.prefillTokens;
		this.#work.cachedTokens += generation.cachedTokens;
		const {stored, evicted} = this.#cache.store(tokens);
		this.#publish('stored', stored.length > 0 ? [prefixKey(generation.request.prompt)] : []);
		this.#publish('evicted', evicted);
		await delay(generation.prefillTokens * this.#options.prefillMillisecondsPerToken);
		generation.announce();
	}

	#decode(generation: EngineGeneration): void {
		this.#work.decodedTokens += 1;
		const ended = generation.decode();
		if (generation.request.prompt.includes(this.#options.crashText) && generation.tokens.length >= this.#options.crashAfterTokens) {
			process.kill(process.pid, 'SIGKILL');
		}

		if (ended) {
			this.#running.delete(generation);
		}
	}

	#forgetIdle(): void {
		const oldest = performance.now() - this.#options.keepMilliseconds;
		for (const generation of this.#generations.values()) {
			if (generation.idleSince !== undefined && generation.idleSince < oldest) {
				this.#remove(generation, 'cancelled');
			}
		}
	}

	#publish(kind: CacheEvent['kind'], prefixes: string[]): void {
		for (const prefix of prefixes) {
			const sequence = (this.#cacheEvents.at(-1)?.sequence ?? 0) + 1;
			if (Math.random() >= this.#options.cacheEventLoss) {
				this.#cacheEvents.push({
					sequence, kind, prefix, at: performance.now(),
				});
			}
		}

		this.#cacheEvents.splice(0, this.#cacheEvents.length - 1000);
	}

	#load(): EngineLoad {
		let tokensInProgress = 0;
		for (const {request} of this.#running) {
			tokensInProgress += request.max_tokens;
		}

		return {
			running: this.#running.size,
			waiting: this.#waiting.length,
			tokens_in_progress: tokensInProgress,
			capacity_tokens: this.#options.batchSize * 1024,
			measured_at: Date.now(),
			role: this.#role,
			models: this.#models,
		};
	}
}

function refuse(response: Exchange['response'], status: number, code: EngineErrorCode, message: string): void {
	answer(response, status, {error: {code, message}});
}
