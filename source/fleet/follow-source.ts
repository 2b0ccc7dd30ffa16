/**
 * Fetches updates of configuration and endpoints from another gateway.
 *
 * @module
 */
import {ok, type Result} from 'neverthrow';
import {type ClockReading} from '../clocks/mod.ts';
import {type UpdateTimes} from '../beliefs/mod.ts';
import {pause} from '../supervision/pause.ts';
import {type TaskFailure} from '../supervision/supervisor.ts';
import {chooseSources} from './choose-reader.ts';
import {ExchangeClient} from './exchange-client.ts';
import {type KnownRevisions, type StoreUpdate} from './exchange-protocol.ts';
import {type Member} from './member.ts';
import {type MemberTable} from './member-table.ts';

/** The cached content of the store that gateways share with each other. */
export type SharedState = {
	/** Returns the revisions to send with a request: those that this gateway has, or none for the endpoints to get the whole list. */
	knownRevisions(now: ClockReading): KnownRevisions;
	/** Returns the age of the least recently confirmed part, in milliseconds. */
	age(now: ClockReading): number;
	/** Returns the changes that a gateway with the given revisions lacks. */
	updateFor(known: KnownRevisions, now: ClockReading): StoreUpdate;
	/** Applies an update of another gateway to a request sent at the given time. */
	apply(update: StoreUpdate, requestedAt: ClockReading): void;
};

/** Options of {@linkcode followSource}. */
export type FollowSourceOptions = {
	members: MemberTable;
	sharedState: SharedState;
	updateTimes: UpdateTimes;
	/** Returns whether this gateway follows the store now. */
	followsStore: () => boolean;
	readClock: () => ClockReading;
	random: () => number;
};

/** Timeout of a request, in milliseconds. */
const requestTimeoutMilliseconds = 300;

/**
 * Polls gateways that follow the store for updates, until the signal aborts.
 *
 * @param options Member table, shared state and intervals.
 * @param signal Aborts the task.
 */
export async function followSource(options: FollowSourceOptions, signal: AbortSignal): Promise<Result<void, TaskFailure>> {
	const {members, sharedState, updateTimes, followsStore, readClock, random} = options;
	const client = new ExchangeClient();
	while (await pause(updateTimes.sourcePollMilliseconds * (0.9 + (random() / 5)), signal)) {
		if (followsStore() && sharedState.age(readClock()) <= updateTimes.sourceFallbackMilliseconds) {
			continue;
		}

		const sources = chooseSources({self: members.self, members: members.live(readClock().steady), random});
		for (const source of sources) {
			await querySource(options, client, source);
			if (sharedState.age(readClock()) <= updateTimes.sourceBehindMilliseconds) {
				break;
			}
		}
	}

	client.close();
	return ok();
}

async function querySource({members, sharedState, readClock}: FollowSourceOptions, client: ExchangeClient, source: Member): Promise<void> {
	const requestedAt = readClock();
	const response = await client.exchange(source.peers, {members: [members.self], known: sharedState.knownRevisions(requestedAt)}, requestTimeoutMilliseconds);
	if (response.isErr()) {
		members.markUnreachable(source.name);
	} else if (response.value.news) {
		sharedState.apply(response.value.news, requestedAt);
	}
}
