/**
 * Chooses and acquires the engines that a generation is sent to, one after the other.
 *
 * @module
 */
import {type EndpointEntry} from '../registry/mod.ts';
import {chooseCopyHolder, type QueriedEngine} from '../balancing/mod.ts';
import {acquireEndpoint, type ChooseAmong} from './acquire-endpoint.ts';
import {acquireRetry} from './acquire-retry.ts';
import {EngineSelector, type EngineSelectorOptions} from './engine-selector.ts';
import {type AttemptTarget} from './generation-attempt.ts';
import {HeldRetry} from './held-retry.ts';
import {type EngineCondition, type EngineQuery} from './silence-decision.ts';

/** Maximum number of times that engines are ranked before one is sent the request, since those ranked before lack permits. */
const maximumRankings = 3;

/**
 * Chooses engines for one generation.
 *
 * @example
 * ```ts
 * const target = await targets.choose(undefined);
 * ```
 */
export class GenerationTargets {
	/** Retry for the next attempt. */
	readonly retry: HeldRetry;
	readonly #options: EngineSelectorOptions;
	readonly #selector: EngineSelector;
	/** Engines of the last load query, ordered by load. */
	#ranked: readonly QueriedEngine[] = [];
	/** Target acquired for the next attempt, together with a retry, while the present engine is silent. */
	#alternative: AttemptTarget | undefined;

	constructor(options: EngineSelectorOptions) {
		const {exchange, dependencies} = options;
		this.#options = options;
		this.retry = new HeldRetry({acquire: async (reason, waits) => acquireRetry(exchange, reason, dependencies, {waits}), clock: dependencies.clock});
		this.#selector = new EngineSelector(options);
	}

	/** Whether a target and a retry have been acquired for the next attempt. */
	get hasAlternative(): boolean {
		return this.#alternative !== undefined && this.retry.isHeld;
	}

	/** Queries a silent engine for its load. */
	async queryLoad(endpoint: EndpointEntry): Promise<EngineQuery> {
		return this.#selector.queryLoad(endpoint, 'silence');
	}

	/**
	 * Chooses the target that was acquired already, or else the engine that holds a copy, or else the one with the least pending work.
	 *
	 * @param copyHolder Engine that may hold a copy to resume from.
	 */
	async choose(copyHolder: EndpointEntry | undefined): Promise<AttemptTarget | undefined> {
		const alternative = this.#alternative;
		this.#alternative = undefined;
		if (alternative && this.retry.isHeld && this.#selector.isUsable(alternative.endpoint)) {
			return alternative;
		}

		return await this.#acquireCopyHolder(copyHolder) ?? this.#acquireRankedEngine();
	}

	/**
	 * Acquires an engine that responds, and a retry, for a generation whose engine is silent.
	 *
	 * @param copyHolder Engine that may hold a copy to resume from.
	 * @param condition Condition of the silent engine.
	 * @returns Whether the next attempt has a target; otherwise the generation stays where it is.
	 */
	async acquireAlternative(copyHolder: EndpointEntry | undefined, condition: EngineCondition): Promise<boolean> {
		if (this.#alternative && this.retry.isHeld && this.#selector.isUsable(this.#alternative.endpoint)) {
			return true;
		}

		this.#alternative = undefined;

		// Without a connection to the engine, there is no time to query the holder as well: the generation is to resume within the accepted pause.
		const responsiveHolder = copyHolder && await (condition === 'unreachable' ? this.#selector.isUsable(copyHolder) : this.#responds(copyHolder)) ? copyHolder : undefined;
		if (!responsiveHolder && !await this.#rankResponsiveEngines()) {
			return false;
		}

		if (!await this.retry.take('silent')) {
			return false;
		}

		this.#alternative = await this.#acquireCopyHolder(responsiveHolder) ?? await this.#acquireRanked();
		return this.#alternative !== undefined;
	}

	async #responds(endpoint: EndpointEntry): Promise<boolean> {
		const query = this.#selector.isUsable(endpoint) && await this.#selector.queryLoad(endpoint, 'placement');
		return query !== false && query.kind === 'report';
	}

	/** Ranks engines for a generation that can stay where it is; returns whether one of them responded. */
	async #rankResponsiveEngines(): Promise<boolean> {
		const ranked = await this.#selector.rank();
		this.#ranked = ranked.filter(({report}) => report !== undefined);
		return this.#ranked.length > 0;
	}

	/** Ranks engines and acquires the best one; ranks others if all of these lack permits. */
	async #acquireRankedEngine(): Promise<AttemptTarget | undefined> {
		for (let round = 1; round <= maximumRankings; round += 1) {
			this.#ranked = await this.#selector.rank();
			const target = await this.#acquireRanked();
			if (target !== undefined || this.#ranked.length === 0) {
				return target;
			}
		}

		return undefined;
	}

	async #acquireRanked(): Promise<AttemptTarget | undefined> {
		const endpoint = await this.#acquire(lacking => this.#ranked.find(engine => !lacking.has(engine.endpoint.id))?.endpoint);
		return endpoint && {endpoint, resumeFrom: undefined, copyHolder: this.#chooseCopyHolder(endpoint)};
	}

	async #acquireCopyHolder(copyHolder: EndpointEntry | undefined): Promise<AttemptTarget | undefined> {
		const endpoint = copyHolder && await this.#acquire(lacking => lacking.has(copyHolder.id) || !this.#selector.isUsable(copyHolder) ? undefined : copyHolder);
		return endpoint && {endpoint, resumeFrom: endpoint, copyHolder: this.#chooseCopyHolder(endpoint)};
	}

	async #acquire(choose: ChooseAmong): Promise<EndpointEntry | undefined> {
		const {exchange, dependencies} = this.#options;
		return acquireEndpoint(exchange, choose, dependencies);
	}

	#chooseCopyHolder(engine: EndpointEntry): EndpointEntry | undefined {
		const {exchange: {service, route}, tokens} = this.#options;
		if (service.engine?.backups !== true || !route.resumable) {
			return undefined;
		}

		const usable = this.#ranked.filter(({endpoint}) => this.#selector.isUsable(endpoint));
		return chooseCopyHolder(usable, engine, tokens);
	}
}
