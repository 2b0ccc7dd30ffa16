/**
 * Fetches the initial state of a gateway from seed gateways after its start.
 *
 * @module
 */
import {type ClockReading} from '../clocks/mod.ts';
import {pause} from '../supervision/pause.ts';
import {type Logger} from '../telemetry/logger.ts';
import {ExchangeClient} from './exchange-client.ts';
import {type SharedState} from './follow-source.ts';
import {type MemberTable} from './member-table.ts';

/** Options of {@linkcode querySeeds}. */
export type QuerySeedsOptions = {
	/** Addresses at which gateways may be running. */
	seeds: readonly string[];
	members: MemberTable;
	sharedState: SharedState;
	logger: Logger;
	readClock: () => ClockReading;
	random: () => number;
	/** Called after each update that was applied. */
	onUpdate: () => void;
};

/** Time for which seeds are queried while none responds, in milliseconds; after that the gateway reads from the store. */
const silentTimeoutMilliseconds = 2000;

/** Time for which seeds are queried that respond but have no state themselves yet, in milliseconds. */
const respondedTimeoutMilliseconds = 5000;

/** Timeout of a request, in milliseconds. */
const requestTimeoutMilliseconds = 300;

/** Timeout of a request after a seed without state has responded, in milliseconds: seeds that start are slow, and hold such a request for a time. */
const startingTimeoutMilliseconds = 600;

/** Time after which a response shows that the seed held the request until it has state, in milliseconds. */
const heldMilliseconds = 100;

/** What came of a query: no response, a response without state, or state that was applied. */
type SeedOutcome = 'silent' | 'responded' | 'learnt';

/** Pause before the next query after one without state, in milliseconds; hundreds of gateways may be waiting for three seeds. */
const retryMilliseconds: Record<Exclude<SeedOutcome, 'learnt'>, number> = {silent: 100, responded: 400};

/** The same, after a query that the seed held. */
const heldRetryMilliseconds = 50;

/**
 * Queries seeds for their state, so that many gateways that start at once do not each call the store, and so that a gateway that starts while
 * the store is back from an older copy knows what the others know.
 *
 * A gateway that is itself a seed queries the others once, all at the same time: the seeds of a fleet that starts have no state, and must not wait for
 * each other.
 *
 * @param options Seeds, member table and shared state.
 * @param signal Aborts the task.
 * @returns Whether an update was applied.
 */
export async function querySeeds(options: QuerySeedsOptions, signal: AbortSignal): Promise<boolean> {
	const {members, logger} = options;
	const seeds = options.seeds.filter(seed => seed !== members.self.peers);
	const isSeed = seeds.length < options.seeds.length;
	const client = new ExchangeClient();
	const learnt = await (isSeed ? queryOnce : queryUntilLearnt)({...options, seeds}, client, signal);
	client.close();
	logger.info('seeds asked', {seeds: seeds.length, learnt});
	return learnt;
}

type Query = (options: QuerySeedsOptions, client: ExchangeClient, signal: AbortSignal) => Promise<boolean>;

/** Queries all seeds at once; ends with the first state that arrives. */
const queryOnce: Query = async (options, client) => {
	const outcomes = options.seeds.map(async seed => querySeed(options, client, {seed, timeoutMilliseconds: requestTimeoutMilliseconds}));
	const learnt = outcomes.map(async outcome => {
		if (await outcome !== 'learnt') {
			throw new Error('no state');
		}
	});
	try {
		await Promise.any(learnt);
		return true;
	} catch {
		// None of them has sent its state.
		return false;
	}
};

/** Queries seeds repeatedly until one sends its state or the timeout passes. */
const queryUntilLearnt: Query = async (options, client, signal) => {
	const {seeds, readClock} = options;
	const startedAt = readClock().steady;
	let deadline = startedAt + silentTimeoutMilliseconds;
	let timeoutMilliseconds = requestTimeoutMilliseconds;
	const order = inRandomOrder(options);
	while (seeds.length > 0 && !signal.aborted && readClock().steady < deadline) {
		const askedAt = readClock().steady;
		const outcome = await queryFirst(options, client, {order, timeoutMilliseconds});
		if (outcome === 'learnt') {
			return true;
		}

		if (outcome === 'responded') {
			deadline = startedAt + respondedTimeoutMilliseconds;
			timeoutMilliseconds = startingTimeoutMilliseconds;
		}

		const wasHeld = outcome === 'responded' && readClock().steady - askedAt >= heldMilliseconds;
		await pause(wasHeld ? heldRetryMilliseconds : retryMilliseconds[outcome], signal);
	}

	return false;
};

/** Each gateway starts with a random seed, so that a simultaneous start does not overload the first one. */
function inRandomOrder({seeds, random}: QuerySeedsOptions): string[] {
	const firstIndex = Math.floor(random() * seeds.length);
	return [...seeds.slice(firstIndex), ...seeds.slice(0, firstIndex)];
}

/** Queries the first seed that responds. */
async function queryFirst(options: QuerySeedsOptions, client: ExchangeClient, {order, timeoutMilliseconds}: {order: readonly string[]; timeoutMilliseconds: number}): Promise<SeedOutcome> {
	for (const seed of order) {
		const outcome = await querySeed(options, client, {seed, timeoutMilliseconds});
		if (outcome !== 'silent') {
			return outcome;
		}
	}

	return 'silent';
}

/** Queries a seed, and applies its state if it has one. */
async function querySeed(
	{members, sharedState, readClock, onUpdate}: QuerySeedsOptions,
	client: ExchangeClient,
	{seed, timeoutMilliseconds}: {seed: string; timeoutMilliseconds: number},
): Promise<SeedOutcome> {
	const requestedAt = readClock();
	const response = await client.exchange(seed, {members: [members.self], known: sharedState.knownRevisions(requestedAt)}, timeoutMilliseconds);
	if (response.isErr()) {
		return 'silent';
	}

	members.merge(response.value.members, readClock().steady);
	const {news} = response.value;
	if (!news?.configuration || news.configurationAgeMilliseconds === undefined || news.endpointAgeMilliseconds === undefined) {
		return 'responded';
	}

	sharedState.apply(news, requestedAt);
	onUpdate();
	return 'learnt';
}
