/**
 * Selects the engine for a generation: queries candidates for their load and ranks them.
 *
 * @module
 */
import {type EndpointEntry} from '../registry/mod.ts';
import {
	cachedPromptTokens, engineCandidates, isIdle, rankEngines, type QueriedEngine,
} from '../balancing/mod.ts';
import {queryCachedParts, queryEngineReport} from '../platform/mod.ts';
import {querySteps} from '../subsets/mod.ts';
import {recordReport, usableEndpoints, type RequestClass} from './endpoint-signals.ts';
import {type Exchange} from './exchange.ts';
import {type ForwardingDependencies} from './forwarding-dependencies.ts';
import {showsRestart, type EngineQuery} from './silence-decision.ts';

/** Maximum number of engines queried for their load before a generation is placed. */
const maximumQueriedEngines = 6;

/** Parameters of load queries: over a pooled connection before placement, over a new one when an engine is silent. */
const loadQueries = {
	placement: {timeoutMilliseconds: 60, use: 'pooled'},
	silence: {timeoutMilliseconds: 100, use: 'fresh'},
} as const;

/** Options of {@linkcode EngineSelector}. */
export type EngineSelectorOptions = {
	exchange: Exchange;
	dependencies: ForwardingDependencies;
	/** Ids of engines that must not be used again for this generation. */
	tried: ReadonlySet<string>;
	/** Estimated tokens of the generation: prompt and output. */
	tokens: number;
};

/**
 * Selects engines for one generation.
 *
 * @example
 * ```ts
 * const [best] = await selector.rank();
 * ```
 */
export class EngineSelector {
	readonly #options: EngineSelectorOptions;

	constructor(options: EngineSelectorOptions) {
		this.#options = options;
	}

	/** Whether an engine may still be used: not tried yet, no recent failure, still listed, not in backoff, and not known to lack permits. */
	isUsable(endpoint: EndpointEntry): boolean {
		const {tried, exchange: {importance, versions}, dependencies: {endpoints, health, backoff, limiter, clock}} = this.#options;
		const now = clock();
		return !tried.has(endpoint.id) && !health.shouldAvoid(endpoint.id, now) && !backoff.isBackedOff(endpoint, now) && limiter.usable([endpoint], importance, now).length > 0 && endpoints.stateOf(endpoint) === 'listed' && versions?.mayUse(endpoint) !== false;
	}

	/**
	 * Queries candidate engines for their load and returns them by increasing pending work.
	 *
	 * @param before Engines that were queried already and did not qualify; they are not queried again.
	 */
	async rank(before: readonly QueriedEngine[] = []): Promise<QueriedEngine[]> {
		const {exchange, dependencies, tokens} = this.#options;
		const tried = new Set([...this.#options.tried, ...before.map(({endpoint}) => endpoint.id)]);
		const {endpoints, health, loads, clock} = dependencies;
		const candidates = engineCandidates({
			endpoints: usableEndpoints(this.#requestClass, dependencies),
			tried,
			health,
			preferenceKey: exchange.terms.promptPart ?? exchange.requestName,
			count: maximumQueriedEngines,
			now: clock(),
		});
		const [queried, cachedTokens] = await Promise.all([this.#queryCandidates(candidates), this.#findPrompt(candidates)]);
		const ranked = rankEngines({
			queried, loads, tokens, cachedTokens,
		});
		return ranked.length > 0 || candidates.length === 0 || exchange.callerDisconnected.aborted || clock() >= exchange.deadline
			? ranked
			: this.#rankRemaining([...before, ...queried]);
	}

	/** Queries one engine for its load. */
	async queryLoad(endpoint: EndpointEntry, purpose: keyof typeof loadQueries): Promise<EngineQuery> {
		const {dependencies} = this.#options;
		const {timeoutMilliseconds, use} = loadQueries[purpose];
		const {address} = endpoint;
		const query = async (connection: typeof use | 'fresh') => queryEngineReport({agent: dependencies.connections.agent(connection, address), address, timeoutMilliseconds});
		const first = await query(use);
		// A connection that rested may have been closed or forgotten; only a new one shows whether the engine responds.
		const result = first.isErr() && first.error.reused ? await query('fresh') : first;
		if (result.isErr()) {
			return {kind: result.error.connected ? 'unresponsive' : 'unreachable'};
		}

		const report = result.value;
		if (!showsRestart(report, endpoint.startedAt)) {
			recordReport(endpoint, report, dependencies);
		}

		return {kind: 'report', report};
	}

	/** Queries candidates: all of them, or, where engines are used in subsets and none is looked for that keeps the prompt, no more once one is idle. */
	async #queryCandidates(candidates: readonly EndpointEntry[]): Promise<QueriedEngine[]> {
		const {tokens, dependencies: {features, loads, logger}, exchange: {requestName}} = this.#options;
		const queried: QueriedEngine[] = [];
		for (const engines of features.engineSubsets && !this.#looksForPrompt ? querySteps(candidates) : [candidates]) {
			queried.push(...await Promise.all(engines.map(async endpoint => this.#queryCandidate(endpoint))));
			this.#recordUnusable(queried.slice(-engines.length));
			if (queried.some(engine => isIdle(engine, {loads, tokens}))) {
				break;
			}
		}

		logger.debug('engines queried', {request: requestName, queried: queried.length, responded: queried.filter(({report}) => report !== undefined).length});
		return queried;
	}

	/** Records engines that gave no report, and drops reports of other incarnations. */
	#recordUnusable(queried: readonly QueriedEngine[]): void {
		const {endpoints, health, clock} = this.#options.dependencies;
		for (const engine of queried) {
			if (!engine.report) {
				health.recordFailure(engine.endpoint.id, 'unreachable', clock());
			} else if (showsRestart(engine.report, engine.endpoint.startedAt)) {
				endpoints.excludeIncarnation(engine.endpoint.id, engine.endpoint.startedAt);
				engine.report = undefined;
			}
		}
	}

	async #queryCandidate(endpoint: EndpointEntry): Promise<QueriedEngine> {
		const query = await this.queryLoad(endpoint, 'placement');
		return {endpoint, report: query.kind === 'report' ? query.report : undefined};
	}

	/**
	 * Asks candidates whether they keep the prompt of a generation that its caller resumes: the engine that ran it is among those that any
	 * gateway prefers for its last part.
	 *
	 * @returns Tokens of the prompt that the candidates keep, by id; undefined for other generations.
	 */
	async #findPrompt(candidates: readonly EndpointEntry[]): Promise<ReadonlyMap<string, number> | undefined> {
		const {exchange: {terms, requestName, service}, dependencies: {connections, logger, countReturn}} = this.#options;
		if (!this.#looksForPrompt || terms.promptPart === undefined) {
			return undefined;
		}

		const {timeoutMilliseconds, use} = loadQueries.placement;
		const promptParts = [...terms.sharedPromptParts, terms.promptPart];
		const found = await Promise.all(candidates.map(async ({id, address}) => {
			const list = await queryCachedParts({agent: connections.agent(use, address), address, timeoutMilliseconds});
			return [id, list.map(cached => cachedPromptTokens({promptParts, model: terms.model, cached})).unwrapOr(0)] as const;
		}));
		const most = Math.max(0, ...found.map(([, tokens]) => tokens));
		countReturn(service.name, most * 2 >= terms.promptTokens && most > 0 ? 'found' : 'missing');
		logger.info('resumed generation looks for its prompt', {
			request: requestName, lastEvent: terms.lastEvent, promptTokens: terms.promptTokens, cachedTokens: Object.fromEntries(found),
		});
		return new Map(found);
	}

	/** Whether engines are asked for the prompt: its caller resumes the generation, and this is its first attempt here. */
	get #looksForPrompt(): boolean {
		const {exchange: {terms}, dependencies: {features}, tried} = this.#options;
		return features.cachedReturns && terms.lastEvent !== undefined && terms.promptPart !== undefined && tried.size === 0;
	}

	get #requestClass(): RequestClass {
		const {exchange: {service: {name: service}, importance, versions}} = this.#options;
		return {service, importance, versions};
	}

	/** Queries the remaining usable engines after no queried one qualified; if there are none, returns those that did not respond. */
	async #rankRemaining(queried: readonly QueriedEngine[]): Promise<QueriedEngine[]> {
		const ids = new Set(queried.map(({endpoint}) => endpoint.id));
		const others = usableEndpoints(this.#requestClass, this.#options.dependencies).some(endpoint => !ids.has(endpoint.id) && this.isUsable(endpoint));
		return others ? this.rank(queried) : queried.filter(({report}) => report === undefined);
	}
}
