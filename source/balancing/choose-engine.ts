/**
 * Chooses the engine for a generation, and the engine that holds a copy of its KV cache.
 *
 * Designed for long prompts: the prefill of one takes about a second of an engine's time and a tenth of its memory. So two prompts on one
 * engine delay each other while another engine is idle, and requests that are decoded together slow each other down for seconds.
 *
 * @module
 */
import {type EndpointEntry} from '../registry/mod.ts';
import {type NamedLimit} from '../limits/endpoint-limit.ts';
import {hashKey, rendezvousWeight} from '../placement/rendezvous.ts';
import {type EndpointHealth} from './endpoint-health.ts';
import {type EndpointLoads} from './endpoint-loads.ts';

/** Load that an engine reported, some hundred milliseconds ago. */
export type EngineReport = {
	/** Requests that wait for their prefill. */
	waiting: number;
	/** Requests in prefill or decoding. */
	running: number;
	/** KV cache in use that cannot be evicted, in tokens. */
	usedTokens: number;
	/** Size of the KV cache, in tokens. */
	memoryTokens: number;
	/** Part of the used tokens that is taken by copies and reservations. */
	heldTokens: number;
	/** Tokens of the next waiting request. */
	nextTokens: number;
	/** Unix time of the engine's start, in milliseconds; 0 if not reported. */
	startedAt: number;
	/** Whether the engine reports the state `draining`. */
	reportsLeaving: boolean;
	/** Whether the response headers announce that the engine is leaving; all its later responses do so as well. */
	saysLeaving: boolean;
	/** Limit that the response headers name. */
	limit: NamedLimit;
	/** Running requests that have produced a token; the others are in prefill. */
	runs: ReadonlyArray<{attempt: string; tokens: number; events: number}>;
};

/** Options of {@linkcode engineCandidates}. */
export type EngineCandidatesOptions = {
	endpoints: readonly EndpointEntry[];
	/** IDs of engines that must not be used again for this request. */
	tried: ReadonlySet<string>;
	health: EndpointHealth;
	/** Key of the rendezvous hashing, so that requests with the same prompt prefer the same engines. */
	preferenceKey: string;
	/** Maximum number of candidates. */
	count: number;
	/** Monotonic time, in milliseconds. */
	now: number;
};

/**
 * Returns the engines to query for their load: the most preferred ones, spread over all zones, since the engines of a zone tend to fail
 * together.
 *
 * @param options Engines and their state.
 */
export function engineCandidates(options: EngineCandidatesOptions): EndpointEntry[] {
	const {endpoints, tried, health, preferenceKey, count, now} = options;
	const untried = endpoints.filter(({id}) => !tried.has(id));
	const healthy = untried.filter(({id}) => !health.shouldAvoid(id, now));
	const hashed = hashKey(preferenceKey);
	const ordered = (healthy.length > 0 ? healthy : untried)
		.map(endpoint => ({endpoint, weight: rendezvousWeight(hashed, endpoint.address)}))
		.toSorted((left, right) => right.weight - left.weight)
		.map(({endpoint}) => endpoint);
	return spreadOverZones(ordered, count);
}

/** Returns the first engine of each zone, followed by the remaining ones, both in order of preference. */
function spreadOverZones(ordered: readonly EndpointEntry[], count: number): EndpointEntry[] {
	const zones = new Set<string>();
	const firsts: EndpointEntry[] = [];
	const rest: EndpointEntry[] = [];
	for (const endpoint of ordered) {
		const isFirst = !zones.has(endpoint.availabilityZone);
		zones.add(endpoint.availabilityZone);
		(isFirst ? firsts : rest).push(endpoint);
	}

	return [...firsts, ...rest].slice(0, count);
}

/** An engine that was queried, and its report; without a report, it did not respond. */
export type QueriedEngine = {endpoint: EndpointEntry; report: EngineReport | undefined};

/** Options of {@linkcode rankEngines}. */
export type RankEnginesOptions = {
	queried: readonly QueriedEngine[];
	/** Requests in progress that this gateway sent. */
	loads: EndpointLoads;
	/** Tokens that the request will take: its prompt and its output. */
	tokens: number;
	/** Tokens of the request's prompt that engines need not read again, by id. Default none. */
	cachedTokens?: ReadonlyMap<string, number>;
};

/** Assumed tokens of a request if the report does not show them. */
const defaultRequestTokens = 8000;

/** Assumed share of the prompts in prefill that is not processed yet. */
const remainingPrefillShare = 0.6;

/** Work added for each other request, in tokens of prefill, since requests in one batch slow down each other's decoding steps. */
const batchPenaltyTokens = 3000;

/** Work added if memory is insufficient, in tokens of prefill; the request would preempt another one. */
const memoryPenaltyTokens = 40_000;

/**
 * Sorts engines by the pending work that a new request has to wait for; omits engines that did not respond or are leaving.
 *
 * @param options Engines with their reports, most preferred first.
 */
export function rankEngines({queried, loads, tokens, cachedTokens}: RankEnginesOptions): QueriedEngine[] {
	return queried
		.filter(({report}) => report && !report.reportsLeaving && !report.saysLeaving)
		.map(engine => ({engine, work: pendingWork(engine, loads, tokens) - (cachedTokens?.get(engine.endpoint.id) ?? 0)}))
		.toSorted((left, right) => left.work - right.work)
		.map(({engine}) => engine);
}

/**
 * Whether an engine has nothing to do and memory for a request, so that no other could be ranked before it.
 *
 * @param engine The engine and its report.
 * @param options Load of the engines, and size of the request.
 */
export function isIdle(engine: QueriedEngine, {loads, tokens}: Omit<RankEnginesOptions, 'queried'>): boolean {
	const {report} = engine;
	return report !== undefined && !report.reportsLeaving && !report.saysLeaving && pendingWork(engine, loads, tokens) === 0;
}

/** Estimates the work that delays a new request on an engine, in tokens of prefill. */
function pendingWork({endpoint, report}: QueriedEngine, loads: EndpointLoads, tokens: number): number {
	const {waiting, running, runs, usedTokens, memoryTokens, heldTokens, nextTokens} = report!;
	const decoding = runs.reduce((sum, run) => sum + run.tokens, 0);
	const prefill = running > runs.length ? Math.max(0, usedTokens - heldTokens - decoding) * remainingPrefillShare : 0;
	const queued = waiting === 0 ? 0 : nextTokens + ((waiting - 1) * defaultRequestTokens);
	const unreportedRequests = Math.max(0, loads.requests(endpoint.id) - waiting - running);
	const unreported = unreportedRequests * defaultRequestTokens;
	const batchPenalty = (running + waiting + unreportedRequests) * batchPenaltyTokens;
	const lacksMemory = usedTokens + queued + unreported + tokens > memoryTokens;
	return prefill + queued + unreported + batchPenalty + (lacksMemory ? memoryPenaltyTokens : 0);
}

/**
 * Chooses the engine that holds a copy of a generation's KV cache: one with enough memory, in another zone if possible.
 *
 * @param ranked Engines in order of their load.
 * @param engine The engine that runs the generation.
 * @param tokens Size of the copy, in tokens.
 */
export function chooseCopyHolder(ranked: readonly QueriedEngine[], engine: EndpointEntry, tokens: number): EndpointEntry | undefined {
	const others = ranked.filter(({endpoint, report}) => endpoint.id !== engine.id && report && report.usedTokens + tokens <= report.memoryTokens);
	const inOtherZone = others.find(({endpoint}) => endpoint.availabilityZone !== engine.availabilityZone);
	return (inOtherZone ?? others[0])?.endpoint;
}
