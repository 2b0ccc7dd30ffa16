/**
 * Keeps the member table current by exchanging heartbeats with other gateways (gossip).
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

/** Provides and merges the hints that gateways exchange along with their heartbeats. */
export type HintExchange = {
	/** Returns the hints to send: those observed here and those received. */
	collect(): Hints;
	/** Merges the hints of another gateway; undefined from a gateway that does not support hints. */
	merge(hints: Hints | undefined): void;
};

/** Options of {@linkcode followMembers}. */
export type FollowMembersOptions = {
	members: MemberTable;
	hints: HintExchange;
	logger: Logger;
	/** Returns whether this gateway accepts requests. */
	ready: () => boolean;
	/** Steady time, in milliseconds. */
	clock: () => number;
	random: () => number;
};

/** Period between exchanges in a small fleet, in milliseconds. */
const shortestPeriodMilliseconds = 1000;

/** Longest period between exchanges, in milliseconds. */
const longestPeriodMilliseconds = 4000;

/** Number of gateways above which exchanges become less frequent, since each carries the state of all gateways. */
const smallFleetSize = 64;

/** Timeout of an exchange, in milliseconds. */
const exchangeTimeoutMilliseconds = 500;

/** Share of exchanges that stay in the own zone if it has other gateways, since traffic between zones costs more. */
const ownZoneShare = 0.75;

/** Share of exchanges with any known gateway, alive or dead, so that gateways are rediscovered after a network partition. */
const anyGatewayShare = 0.1;

/**
 * Periodically exchanges state with one other gateway, until the signal aborts.
 *
 * @param options Member table, hints and clock.
 * @param signal Aborts the task.
 */
export async function followMembers(options: FollowMembersOptions, signal: AbortSignal): Promise<Result<void, TaskFailure>> {
	const {members, hints, logger, ready, clock, random} = options;
	const client = new ExchangeClient();
	while (await pause(exchangePeriod(members.size) * (0.75 + (random() / 2)), signal)) {
		members.raiseHeartbeat(ready());
		const peer = choosePeer(members, clock(), random);
		if (!peer) {
			continue;
		}

		const response = await client.exchange(peer.peers, {members: [members.self], heartbeats: members.heartbeats(clock()), hints: hints.collect()}, exchangeTimeoutMilliseconds);
		if (response.isOk()) {
			members.merge(response.value.members, clock());
			members.mergeHeartbeats(response.value.heartbeats ?? [], clock());
			hints.merge(response.value.hints);
		} else if (members.live(clock()).some(({name}) => name === peer.name)) {
			logger.info('gateway does not answer', {peer: peer.name, reason: response.error});
			members.markUnreachable(peer.name);
		}
	}

	client.close();
	return ok();
}

/**
 * Returns the period between exchanges. It grows with the fleet, because the size of an exchange does too.
 *
 * @param gateways Number of known gateways.
 * @returns Period in milliseconds.
 */
export function exchangePeriod(gateways: number): number {
	return Math.min(longestPeriodMilliseconds, shortestPeriodMilliseconds * Math.max(1, gateways / smallFleetSize));
}

/** Chooses mostly a live gateway of the own zone, sometimes one of another zone or any known gateway. */
function choosePeer(members: MemberTable, now: number, random: () => number): Member | undefined {
	const live = members.live(now).slice(1);
	const near = live.filter(({availabilityZone}) => availabilityZone === members.self.availabilityZone);
	const far = live.filter(({availabilityZone}) => availabilityZone !== members.self.availabilityZone);
	const draw = random();
	const preferred = draw < anyGatewayShare ? [members.others()] : (draw < anyGatewayShare + ownZoneShare ? [near, far] : [far, near]);
	const candidates = [...preferred, members.others()].find(group => group.length > 0) ?? [];
	return candidates[Math.floor(random() * candidates.length)];
}
