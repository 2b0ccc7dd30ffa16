/**
 * The first news of a gateway after its start.
 *
 * @module
 */
import {type ClockReading} from '../beliefs/mod.ts';
import {pause} from '../supervision/pause.ts';
import {type Logger} from '../telemetry/logger.ts';
import {ExchangeClient} from './exchange-client.ts';
import {type SharedKnowledge} from './follow-source.ts';
import {type MemberTable} from './member-table.ts';

/** Options of {@linkcode askSeeds}. */
export type AskSeedsOptions = {
	/** Addresses of gateways that may be there. */
	seeds: readonly string[];
	members: MemberTable;
	knowledge: SharedKnowledge;
	logger: Logger;
	readClock: () => ClockReading;
	random: () => number;
	/** Receives each news that has been learnt. */
	onNews: () => void;
};

/** Time for which seeds are asked, in milliseconds; whoever has learnt nothing by then asks the store. */
const askMilliseconds = 2000;

/** Time for which seeds are asked that answer but have learnt nothing themselves yet, in milliseconds. */
const waitMilliseconds = 5000;

/** Deadline of a question, in milliseconds. */
const answerMilliseconds = 300;

/** Pause between two rounds while no seed answers, in milliseconds. */
const roundMilliseconds = 100;

/** Pause before a seed that has learnt nothing yet is asked again, in milliseconds; hundreds may wait for three seeds. */
const againMilliseconds = 400;

/**
 * Asks seeds for what they know, so that a start of many gateways at once does not become as many calls to the store.
 *
 * @param options Seeds and what is known.
 * @param signal Ends the questions.
 * @returns Whether anything was learnt. A gateway that is itself a seed asks nobody.
 */
export async function askSeeds({seeds, members, knowledge, logger, readClock, random, onNews}: AskSeedsOptions, signal: AbortSignal): Promise<boolean> {
	if (seeds.includes(members.self.peers)) {
		return false;
	}

	const client = new ExchangeClient();
	const startedAt = readClock().steady;
	let until = startedAt + askMilliseconds;
	// Each gateway begins with another seed, so that a start of all does not fall on the first one.
	const first = Math.floor(random() * seeds.length);
	const order = [...seeds.slice(first), ...seeds.slice(0, first)];
	let learnt = false;
	while (!learnt && seeds.length > 0 && !signal.aborted && readClock().steady < until) {
		let answered = false;
		for (const seed of order) {
			const askedAt = readClock();
			const answer = await client.exchange(seed, {members: [members.self], known: knowledge.known()}, answerMilliseconds);
			if (answer.isErr()) {
				continue;
			}

			answered = true;
			until = startedAt + waitMilliseconds;
			members.merge(answer.value.members, readClock().steady);
			const {news} = answer.value;
			if (news?.configuration && news.configurationAgeMilliseconds !== undefined && news.endpointAgeMilliseconds !== undefined) {
				knowledge.learn(news, askedAt);
				onNews();
				learnt = true;
			}

			break;
		}

		await pause(learnt ? 0 : (answered ? againMilliseconds : roundMilliseconds), signal);
	}

	client.close();
	logger.info('seeds asked', {seeds: seeds.length, learnt});
	return learnt;
}
