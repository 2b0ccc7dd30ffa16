/**
 * Fetches the initial state of a gateway from seed gateways after its start.
 *
 * @module
 */
import {type ClockReading} from '../beliefs/mod.ts';
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

/** Pause between two rounds of requests while no seed responds, in milliseconds. */
const silentRetryMilliseconds = 100;

/** Pause before a seed without state is queried again, in milliseconds; hundreds of gateways may be waiting for three seeds. */
const respondedRetryMilliseconds = 400;

/**
 * Queries seeds for their state, so that many gateways that start at once do not each call the store.
 *
 * @param options Seeds, member table and shared state.
 * @param signal Aborts the task.
 * @returns Whether an update was applied; false for a gateway that is itself a seed, which queries no one.
 */
export async function querySeeds({seeds, members, sharedState, logger, readClock, random, onUpdate}: QuerySeedsOptions, signal: AbortSignal): Promise<boolean> {
	if (seeds.includes(members.self.peers)) {
		return false;
	}

	const client = new ExchangeClient();
	const startedAt = readClock().steady;
	let deadline = startedAt + silentTimeoutMilliseconds;
	// Each gateway starts with a random seed, so that a simultaneous start does not overload the first one.
	const firstIndex = Math.floor(random() * seeds.length);
	const order = [...seeds.slice(firstIndex), ...seeds.slice(0, firstIndex)];
	let learnt = false;
	while (!learnt && seeds.length > 0 && !signal.aborted && readClock().steady < deadline) {
		let responded = false;
		for (const seed of order) {
			const requestedAt = readClock();
			const response = await client.exchange(seed, {members: [members.self], known: sharedState.knownRevisions()}, requestTimeoutMilliseconds);
			if (response.isErr()) {
				continue;
			}

			responded = true;
			deadline = startedAt + respondedTimeoutMilliseconds;
			members.merge(response.value.members, readClock().steady);
			const {news} = response.value;
			if (news?.configuration && news.configurationAgeMilliseconds !== undefined && news.endpointAgeMilliseconds !== undefined) {
				sharedState.apply(news, requestedAt);
				onUpdate();
				learnt = true;
			}

			break;
		}

		await pause(learnt ? 0 : (responded ? respondedRetryMilliseconds : silentRetryMilliseconds), signal);
	}

	client.close();
	logger.info('seeds asked', {seeds: seeds.length, learnt});
	return learnt;
}
