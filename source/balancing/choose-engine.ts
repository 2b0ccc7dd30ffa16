/**
 * Chooses the engine of a generation and the engine that keeps a copy of its memory.
 *
 * Answers the load of long prompts: each takes a second of an engine's time to read and a tenth of its memory, so two prompts
 * on one engine delay each other while another engine is idle.
 *
 * @module
 */
import {type EndpointEntry} from '../beliefs/mod.ts';
import {hashKey, rendezvousWeight} from '../placement/rendezvous.ts';
import {type EndpointHealth} from './endpoint-health.ts';
import {type EndpointLoads} from './endpoint-loads.ts';

/** What an engine says of its load, some hundred milliseconds ago. */
export type EngineReport = {
	/** Requests that wait to be read. */
	waiting: number;
	/** Requests that are being read or generated. */
	running: number;
	/** Tokens of memory in use that cannot be given up. */
	usedTokens: number;
	memoryTokens: number;
	/** Tokens of the first waiting request. */
	nextTokens: number;
	/** Unix milliseconds of the engine's start; 0 where it does not say. */
	startedAt: number;
	leaving: boolean;
	/** Requests in progress. */
	runs: ReadonlyArray<{attempt: string; tokens: number; events: number}>;
};

/** Options of {@linkcode engineCandidates}. */
export type EngineCandidatesOptions = {
	endpoints: readonly EndpointEntry[];
	/** Engines that are not to be used again for this request. */
	tried: ReadonlySet<string>;
	health: EndpointHealth;
	/** What the order of preference is drawn from: requests with the same prompt prefer the same engines. */
	preferenceKey: string;
	/** Engines to name at most. */
	count: number;
	/** Steady time, in milliseconds. */
	now: number;
};

/**
 * Names the engines that are worth asking for their load: the most preferred ones, from two zones at least where there are two.
 *
 * @param options Engines and what is known of them.
 */
export function engineCandidates(options: EngineCandidatesOptions): EndpointEntry[] {
	const {endpoints, tried, health, preferenceKey, count, now} = options;
	const untried = endpoints.filter(({id}) => !tried.has(id));
	const sound = untried.filter(({id}) => !health.avoids(id, now));
	const hashed = hashKey(preferenceKey);
	const ordered = (sound.length > 0 ? sound : untried)
		.map(endpoint => ({endpoint, weight: rendezvousWeight(hashed, endpoint.address)}))
		.toSorted((left, right) => right.weight - left.weight)
		.map(({endpoint}) => endpoint);
	const chosen = ordered.slice(0, count);
	const [first] = chosen;
	if (first && chosen.length > 1 && chosen.every(({availabilityZone}) => availabilityZone === first.availabilityZone)) {
		const elsewhere = ordered.find(({availabilityZone}) => availabilityZone !== first.availabilityZone);
		chosen[chosen.length - 1] = elsewhere ?? chosen.at(-1)!;
	}

	return chosen;
}

/** An engine and its report; no report means that it did not answer. */
export type AskedEngine = {endpoint: EndpointEntry; report: EngineReport | undefined};

/** Options of {@linkcode rankEngines}. */
export type RankEnginesOptions = {
	asked: readonly AskedEngine[];
	/** This router's requests in progress. */
	loads: EndpointLoads;
	/** Tokens that the request will take: its prompt and its answer. */
	tokens: number;
};

/** Tokens that a waiting request is taken to have, where the report does not say. */
const waitingTokens = 6000;

/** Tokens of reading that a running request counts for: it slows each step a little, and may still be read. */
const runningTokens = 1500;

/** Tokens of reading that a lack of memory counts for; the request would push another one out. */
const fullTokens = 40_000;

/**
 * Orders engines by the work that lies before a new request; those that did not answer, or are leaving, are left out.
 *
 * @param options Engines with their reports, most preferred first.
 */
export function rankEngines({asked, loads, tokens}: RankEnginesOptions): AskedEngine[] {
	return asked
		.filter(({report}) => report && !report.leaving)
		.map(engine => ({engine, work: workBefore(engine, loads, tokens)}))
		.toSorted((left, right) => left.work - right.work)
		.map(({engine}) => engine);
}

function workBefore({endpoint, report}: AskedEngine, loads: EndpointLoads, tokens: number): number {
	const {waiting, running, usedTokens, memoryTokens, nextTokens} = report!;
	const unseen = Math.max(0, loads.requests(endpoint.id) - waiting - running);
	const reading = (waiting > 0 ? Math.max(nextTokens, waitingTokens) + ((waiting - 1) * waitingTokens) : 0) + (unseen * waitingTokens);
	const memoryAfter = usedTokens + tokens + reading;
	return reading + (running * runningTokens) + (memoryAfter > memoryTokens ? fullTokens : 0);
}

/**
 * Chooses the engine that keeps a copy of a generation's memory: one of another zone where there is one, with room for it.
 *
 * @param ranked Engines in order of their load.
 * @param engine The engine that runs the generation.
 * @param tokens Tokens that the copy will take.
 */
export function chooseCopyHolder(ranked: readonly AskedEngine[], engine: EndpointEntry, tokens: number): EndpointEntry | undefined {
	const others = ranked.filter(({endpoint, report}) => endpoint.id !== engine.id && report && report.usedTokens + tokens <= report.memoryTokens);
	const elsewhere = others.find(({endpoint}) => endpoint.availabilityZone !== engine.availabilityZone);
	return (elsewhere ?? others[0])?.endpoint;
}
