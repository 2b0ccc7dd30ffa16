/**
 * Learns configuration and endpoints from another gateway.
 *
 * @module
 */
import {ok, type Result} from 'neverthrow';
import {type ClockReading, type NewsTimes} from '../beliefs/mod.ts';
import {pause} from '../supervision/pause.ts';
import {type TaskFailure} from '../supervision/supervisor.ts';
import {chooseSource} from './choose-reader.ts';
import {ExchangeClient} from './exchange-client.ts';
import {type Known, type News} from './exchange-protocol.ts';
import {type MemberTable} from './member-table.ts';

/** What gateways tell each other of the store's content. */
export type SharedKnowledge = {
	/** What this gateway knows. */
	known(): Known;
	/** Age of the older part of it, in milliseconds. */
	age(now: ClockReading): number;
	/** What is news to another gateway. */
	newsFor(known: Known, now: ClockReading): News;
	/** Takes what another gateway told after it was asked at a time. */
	learn(news: News, askedAt: ClockReading): void;
};

/** Options of {@linkcode followSource}. */
export type FollowSourceOptions = {
	members: MemberTable;
	knowledge: SharedKnowledge;
	newsTimes: NewsTimes;
	readClock: () => ClockReading;
	random: () => number;
};

/** Deadline of a question, in milliseconds. */
const answerMilliseconds = 300;

/**
 * Asks the gateway that follows the store for what is new, until the signal aborts.
 *
 * @param options What is known, and of whom.
 * @param signal Ends the task.
 */
export async function followSource({members, knowledge, newsTimes, readClock, random}: FollowSourceOptions, signal: AbortSignal): Promise<Result<void, TaskFailure>> {
	const client = new ExchangeClient();
	while (await pause(newsTimes.sourceMilliseconds * (0.9 + (random() / 5)), signal)) {
		const askedAt = readClock();
		const source = chooseSource({
			self: members.self, members: members.live(askedAt.steady), readerIsLate: knowledge.age(askedAt) > newsTimes.sourceIsLateMilliseconds, random,
		});
		if (!source) {
			continue;
		}

		const answer = await client.exchange(source.peers, {members: [members.self], known: knowledge.known()}, answerMilliseconds);
		if (answer.isErr()) {
			members.unanswered(source.name);
		} else if (answer.value.news) {
			knowledge.learn(answer.value.news, askedAt);
		}
	}

	client.close();
	return ok();
}
