/**
 * Keeps this gateway's knowledge of the others fresh.
 *
 * @module
 */
import {ok, type Result} from 'neverthrow';
import {type StoreClient, type StoredRow} from '../platform/mod.ts';
import {pause, type TaskFailure} from '../supervision/mod.ts';
import {type Logger} from '../telemetry/mod.ts';
import {ExchangeClient} from './exchange-client.ts';
import {type ExchangeMessage} from './exchange-protocol.ts';
import {registeredMemberSchema, type Member, type RegisteredMember} from './member.ts';
import {type MemberTable} from './member-table.ts';

/** Table in which gateways register themselves. */
const memberTable = 'gateways';

/** Options of {@linkcode followMembers}. */
export type FollowMembersOptions = {
	members: MemberTable;
	store: StoreClient;
	logger: Logger;
	/** Whether this gateway takes requests. */
	ready: () => boolean;
	/** Steady time, in milliseconds. */
	clock: () => number;
	random: () => number;
};

/** Time between two exchanges, in milliseconds. */
const exchangeMilliseconds = 1000;

/** Deadline of an exchange, in milliseconds. */
const answerMilliseconds = 500;

/** First pause before the store is asked again, in milliseconds. */
const firstRetryMilliseconds = 200;

/** Longest pause before the store is asked again, in milliseconds. */
const longestRetryMilliseconds = 3000;

/**
 * Writes what this gateway tells another one.
 *
 * @param members What it knows.
 * @param now Steady time, in milliseconds.
 */
export function composeExchange(members: MemberTable, now: number): ExchangeMessage {
	return {members: members.live(now)};
}

/**
 * Registers this gateway in the store, reads who else is there, and then exchanges with one other gateway at a time.
 *
 * @param options What is known, and the store.
 * @param signal Ends the task.
 */
export async function followMembers(options: FollowMembersOptions, signal: AbortSignal): Promise<Result<void, TaskFailure>> {
	const {members, logger, ready, clock, random} = options;
	const client = new ExchangeClient();
	const registered = keepRegistering(options, signal);
	while (await pause(exchangeMilliseconds * (0.75 + (random() / 2)), signal)) {
		members.beat(ready());
		const peer = choosePeer(members, clock(), random);
		if (!peer) {
			continue;
		}

		const answer = await client.exchange(peer.peers, composeExchange(members, clock()), answerMilliseconds);
		if (answer.isOk()) {
			members.merge(answer.value.members, clock());
		} else if (members.live(clock()).some(({name}) => name === peer.name)) {
			logger.info('gateway does not answer', {peer: peer.name, reason: answer.error});
			members.unanswered(peer.name);
		}
	}

	await registered;
	client.close();
	return ok();
}

/** Mostly a live gateway; now and then any one, so that those that were cut off are found again. */
function choosePeer(members: MemberTable, now: number, random: () => number): Member | undefined {
	const live = members.live(now).slice(1);
	const others = members.others();
	const from = live.length > 0 && random() < 0.8 ? live : others;
	return from[Math.floor(random() * from.length)];
}

async function keepRegistering({members, store, logger, clock, random}: FollowMembersOptions, signal: AbortSignal): Promise<void> {
	const {heartbeat, ready, ...self} = members.self;
	let written = false;
	let retryMilliseconds = firstRetryMilliseconds;
	while (!signal.aborted) {
		if (!written) {
			const outcome = await store.writeRow({table: memberTable, key: self.name, content: JSON.stringify(self)});
			written = outcome.isOk();
		}

		const rows = written ? await store.readTable(memberTable, signal) : undefined;
		if (rows?.isOk()) {
			const registered = rows.value.rows.flatMap(row => decodeMember(row, logger));
			members.register(registered, clock());
			logger.info('gateway registered', {others: registered.length - 1, heartbeat, ready});
			return;
		}

		logger.warn('gateway could not register', {written});
		await pause(retryMilliseconds * (0.5 + random()), signal);
		retryMilliseconds = Math.min(retryMilliseconds * 2, longestRetryMilliseconds);
	}
}

function decodeMember({key, content}: StoredRow, logger: Logger): RegisteredMember[] {
	try {
		return [registeredMemberSchema.parse(JSON.parse(new TextDecoder().decode(content)))];
	} catch (error) {
		logger.warn('registration cannot be read', {key, reason: String(error)});
		return [];
	}
}
