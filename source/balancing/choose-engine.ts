/**
 * Chooses the engine of a generation and the engine that keeps a copy of its memory.
 *
 * Answers the load of long prompts: each takes a second of an engine's time to read and a tenth of its memory, so two prompts
 * on one engine delay each other while another engine is idle, and requests that generate together slow each other for seconds.
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
	/** Part of these tokens that copies and reservations take. */
	heldTokens: number;
	/** Tokens of the first waiting request. */
	nextTokens: number;
	/** Unix milliseconds of the engine's start; 0 where it does not say. */
	startedAt: number;
	/** Whether the report calls it leaving. */
	reportsLeaving: boolean;
	/** Whether the answer that brought the report says, as all its answers then do, that it leaves. */
	saysLeaving: boolean;
	/** Requests that have brought a token; the other running ones are being read. */
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
 * Names the engines that are worth asking for their load: the most preferred ones, from as many
 * zones as there are, since a zone's engines tend to be lost together.
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
	return spreadOverZones(ordered, count);
}

/** Takes the first engine of each zone, and then those that are left, each in their order. */
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

/** Tokens that a request is taken to have, where the report does not say. */
const usualTokens = 8000;

/** Share of the prompts that are being read that is taken to be still unread. */
const unreadShare = 0.6;

/** Tokens of reading that each other request counts for, since requests that generate together slow each other's steps. */
const sharedStepsTokens = 3000;

/** Tokens of reading that a lack of memory counts for; the request would push another one out. */
const fullTokens = 40_000;

/**
 * Orders engines by the work that lies before a new request; those that did not answer, or are leaving, are left out.
 *
 * @param options Engines with their reports, most preferred first.
 */
export function rankEngines({asked, loads, tokens}: RankEnginesOptions): AskedEngine[] {
	return asked
		.filter(({report}) => report && !report.reportsLeaving && !report.saysLeaving)
		.map(engine => ({engine, work: workBefore(engine, loads, tokens)}))
		.toSorted((left, right) => left.work - right.work)
		.map(({engine}) => engine);
}

/** Work that an engine has before and beside a new request, in tokens of reading. */
function workBefore({endpoint, report}: AskedEngine, loads: EndpointLoads, tokens: number): number {
	const {waiting, running, runs, usedTokens, memoryTokens, heldTokens, nextTokens} = report!;
	const generated = runs.reduce((sum, run) => sum + run.tokens, 0);
	const beingRead = running > runs.length ? Math.max(0, usedTokens - heldTokens - generated) * unreadShare : 0;
	const queued = waiting === 0 ? 0 : nextTokens + ((waiting - 1) * usualTokens);
	const unseenRequests = Math.max(0, loads.requests(endpoint.id) - waiting - running);
	const unseen = unseenRequests * usualTokens;
	const sharedSteps = (running + waiting + unseenRequests) * sharedStepsTokens;
	const lacksMemory = usedTokens + queued + unseen + tokens > memoryTokens;
	return beingRead + queued + unseen + sharedSteps + (lacksMemory ? fullTokens : 0);
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
