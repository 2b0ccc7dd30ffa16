/**
 * Learns configuration and endpoints from another gateway.
 *
 * @module
 */
import {ok, type Result} from 'neverthrow';
import {type ClockReading, type NewsTimes} from '../beliefs/mod.ts';
import {pause} from '../supervision/pause.ts';
import {type TaskFailure} from '../supervision/supervisor.ts';
import {chooseSources} from './choose-reader.ts';
import {ExchangeClient} from './exchange-client.ts';
import {type Known, type News} from './exchange-protocol.ts';
import {type Member} from './member.ts';
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
	/** Whether this gateway follows the store now. */
	followsStore: () => boolean;
	readClock: () => ClockReading;
	random: () => number;
};

/** Deadline of a question, in milliseconds. */
const answerMilliseconds = 300;

/**
 * Asks gateways that follow the store for what is new, until the signal aborts.
 *
 * @param options What is known, and of whom.
 * @param signal Ends the task.
 */
export async function followSource(options: FollowSourceOptions, signal: AbortSignal): Promise<Result<void, TaskFailure>> {
	const {members, knowledge, newsTimes, followsStore, readClock, random} = options;
	const client = new ExchangeClient();
	while (await pause(newsTimes.sourceMilliseconds * (0.9 + (random() / 5)), signal)) {
		if (followsStore() && knowledge.age(readClock()) <= newsTimes.sourceIsLateMilliseconds) {
			continue;
		}

		const sources = chooseSources({self: members.self, members: members.live(readClock().steady), random});
		for (const source of sources) {
			await ask(options, client, source);
			if (knowledge.age(readClock()) <= newsTimes.sourceIsBehindMilliseconds) {
				break;
			}
		}
	}

	client.close();
	return ok();
}

async function ask({members, knowledge, readClock}: FollowSourceOptions, client: ExchangeClient, source: Member): Promise<void> {
	const askedAt = readClock();
	const answer = await client.exchange(source.peers, {members: [members.self], known: knowledge.known()}, answerMilliseconds);
	if (answer.isErr()) {
		members.unanswered(source.name);
	} else if (answer.value.news) {
		knowledge.learn(answer.value.news, askedAt);
	}
}
