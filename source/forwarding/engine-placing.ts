/**
 * Finds the engine of one generation: asks some for their load and ranks them.
 *
 * @module
 */
import {
	engineCandidates, rankEngines, type QueriedEngine, type EngineReport,
} from '../balancing/mod.ts';
import {type EndpointEntry} from '../beliefs/mod.ts';
import {readEngineReport} from '../platform/mod.ts';
import {noteLeaving, usableEndpoints} from './endpoint-signals.ts';
import {type Exchange} from './exchange.ts';
import {type ForwardingParts} from './forwarding-parts.ts';
import {provesRestart} from './silence-decision.ts';

/** Engines that are asked for their load before a generation is placed. */
const askedEngines = 6;

/** How an engine is asked: before placing on a kept connection, when it is silent on a new one. */
const questions = {
	place: {timeoutMilliseconds: 60, use: 'kept'},
	silent: {timeoutMilliseconds: 100, use: 'fresh'},
} as const;

/** Options of {@linkcode EnginePlacing}. */
export type EnginePlacingOptions = {
	exchange: Exchange;
	parts: ForwardingParts;
	/** Engines that are not to be used again for this generation. */
	tried: ReadonlySet<string>;
	/** Tokens that it will take: its prompt and its answer. */
	tokens: number;
};

/**
 * Places one generation.
 *
 * @example
 * ```ts
 * const [best] = await placing.rank();
 * ```
 */
export class EnginePlacing {
	readonly #options: EnginePlacingOptions;

	constructor(options: EnginePlacingOptions) {
		this.#options = options;
	}

	/** Whether an engine may still be used: it was not tried, has not just failed, stays, and does not ask to back off. */
	isUsable(endpoint: EndpointEntry): boolean {
		const {tried, parts: {endpoints, health, backoff, clock}} = this.#options;
		const now = clock();
		return !tried.has(endpoint.id) && !health.shouldAvoid(endpoint.id, now) && !backoff.isBackedOff(endpoint, now) && endpoints.stateOf(endpoint) === 'listed';
	}

	/** Asks some engines for their load; returns them in the order of the work before them. */
	async rank(): Promise<QueriedEngine[]> {
		const {exchange, parts, tried, tokens} = this.#options;
		const {endpoints, health, loads, clock} = parts;
		const candidates = engineCandidates({
			endpoints: usableEndpoints(exchange.service.name, parts), tried, health, preferenceKey: exchange.terms.promptPart ?? exchange.requestName, count: askedEngines, now: clock(),
		});
		const asked: QueriedEngine[] = await Promise.all(candidates.map(async endpoint => ({endpoint, report: await this.ask(endpoint, 'place')})));
		for (const engine of asked) {
			if (!engine.report) {
				health.recordFailure(engine.endpoint.id, 'unreachable', clock());
			} else if (provesRestart(engine.report, engine.endpoint.startedAt)) {
				endpoints.excludeIncarnation(engine.endpoint.id, engine.endpoint.startedAt);
				engine.report = undefined;
			}
		}

		const ranked = rankEngines({queried: asked, loads, tokens});
		return ranked.length > 0 || candidates.length === 0 || exchange.callerGone.aborted || clock() >= exchange.answerBy
			? ranked
			: this.#afterAvoided(candidates);
	}

	/** Asks one engine for its load; `undefined` where it does not answer. */
	async ask(endpoint: EndpointEntry, question: keyof typeof questions): Promise<EngineReport | undefined> {
		const {parts} = this.#options;
		const {timeoutMilliseconds, use} = questions[question];
		const read = await readEngineReport({agent: parts.connections.agent(use), address: endpoint.address, timeoutMilliseconds});
		const report = read.unwrapOr(undefined);
		if (report && !provesRestart(report, endpoint.startedAt)) {
			noteLeaving(endpoint, report.saysLeaving, parts);
		}

		return report;
	}

	/** Asks other engines, once all that were asked have not answered. */
	async #afterAvoided(candidates: readonly EndpointEntry[]): Promise<QueriedEngine[]> {
		const {exchange, parts} = this.#options;
		const others = usableEndpoints(exchange.service.name, parts).some(endpoint => this.isUsable(endpoint));
		return others ? this.rank() : candidates.map(endpoint => ({endpoint, report: undefined}));
	}
}
