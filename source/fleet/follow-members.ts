/**
 * Keeps this gateway's knowledge of the others fresh.
 *
 * @module
 */
import {ok, type Result} from 'neverthrow';
import {pause} from '../supervision/pause.ts';
import {type TaskFailure} from '../supervision/supervisor.ts';
import {type Logger} from '../telemetry/mod.ts';
import {ExchangeClient} from './exchange-client.ts';
import {type Hints} from './exchange-protocol.ts';
import {type Member} from './member.ts';
import {type MemberTable} from './member-table.ts';

/** What gateways have seen and tell each other with their heartbeats. */
export type HintSource = {
	/** What this gateway has seen or heard. */
	tell(): Hints;
	/** Takes what another one has; nothing from one that knows no hints. */
	hear(hints: Hints | undefined): void;
};

/** Options of {@linkcode followMembers}. */
export type FollowMembersOptions = {
	members: MemberTable;
	hints: HintSource;
	logger: Logger;
	/** Whether this gateway takes requests. */
	ready: () => boolean;
	/** Steady time, in milliseconds. */
	clock: () => number;
	random: () => number;
};

/** Time between two exchanges of a small fleet, in milliseconds. */
const shortestExchangeMilliseconds = 1000;

/** Longest time between two exchanges, in milliseconds. */
const longestExchangeMilliseconds = 4000;

/** Gateways above which exchanges, which carry all of them, become rarer. */
const smallFleet = 64;

/** Deadline of an exchange, in milliseconds. */
const answerMilliseconds = 500;

/** Share of exchanges that stay in the own zone where it has others, since bytes between zones cost more. */
const ownZoneShare = 0.75;

/** Share of exchanges with any gateway that is known, so that those that were cut off are found again. */
const anyShare = 0.1;

/**
 * Exchanges what is known with one other gateway at a time, until the signal aborts.
 *
 * @param options What is known.
 * @param signal Ends the task.
 */
export async function followMembers(options: FollowMembersOptions, signal: AbortSignal): Promise<Result<void, TaskFailure>> {
	const {members, hints, logger, ready, clock, random} = options;
	const client = new ExchangeClient();
	while (await pause(exchangePeriod(members.size) * (0.75 + (random() / 2)), signal)) {
		members.beat(ready());
		const peer = choosePeer(members, clock(), random);
		if (!peer) {
			continue;
		}

		const answer = await client.exchange(peer.peers, {members: [members.self], heartbeats: members.heartbeats(clock()), hints: hints.tell()}, answerMilliseconds);
		if (answer.isOk()) {
			members.merge(answer.value.members, clock());
			members.hear(answer.value.heartbeats ?? [], clock());
			hints.hear(answer.value.hints);
		} else if (members.live(clock()).some(({name}) => name === peer.name)) {
			logger.info('gateway does not answer', {peer: peer.name, reason: answer.error});
			members.unanswered(peer.name);
		}
	}

	client.close();
	return ok();
}

/**
 * Time between two exchanges: their size grows with the fleet, so their number falls.
 *
 * @param gateways Gateways known.
 * @returns Milliseconds.
 */
export function exchangePeriod(gateways: number): number {
	return Math.min(longestExchangeMilliseconds, shortestExchangeMilliseconds * Math.max(1, gateways / smallFleet));
}

/** Mostly a live gateway of the own zone, at times one of another zone or any that is known. */
function choosePeer(members: MemberTable, now: number, random: () => number): Member | undefined {
	const live = members.live(now).slice(1);
	const near = live.filter(({availabilityZone}) => availabilityZone === members.self.availabilityZone);
	const far = live.filter(({availabilityZone}) => availabilityZone !== members.self.availabilityZone);
	const draw = random();
	const preferred = draw < anyShare ? [members.others()] : (draw < anyShare + ownZoneShare ? [near, far] : [far, near]);
	const from = [...preferred, members.others()].find(group => group.length > 0) ?? [];
	return from[Math.floor(random() * from.length)];
}
