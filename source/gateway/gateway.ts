/**
 * The gateway daemon: builds its parts, listens, and stops as planned.
 *
 * @module
 */
import {once} from 'node:events';
import {type Server} from 'node:http';
import {ok} from 'neverthrow';
import {
	querySeeds, followMembers, followSource, registerMember, startExchangeServer, type ExchangeMessage, type HintExchange, type SharedState,
} from '../fleet/mod.ts';
import {listen} from '../supervision/listen.ts';
import {type GatewaySettings} from '../settings/gateway-settings.ts';
import {pause} from '../supervision/pause.ts';
import {Supervisor} from '../supervision/supervisor.ts';
import {type Logger} from '../telemetry/logger.ts';
import {createCallerServer, createEntryServer, createMetricsServer} from './caller-server.ts';
import {followStore} from './follow-store.ts';
import {createGatewayParts, type GatewayParts} from './gateway-parts.ts';
import {isReady} from './readiness.ts';
import {createHints} from './hints.ts';
import {createSharedKnowledge} from './shared-knowledge.ts';
import {StoreRole} from './store-role.ts';

/** A running gateway. */
export type Gateway = {
	/** Stops as planned; settles once nothing is in progress or the time is over. */
	stop(): Promise<void>;
};

/** Time for which a first configuration is awaited before callers are told that there is none, in milliseconds. */
const firstNewsMilliseconds = 3000;

/** Time between two looks at whether it is there, in milliseconds. */
const firstLookMilliseconds = 10;

/** Time between two looks at whether a stop is done, in milliseconds. */
const lookMilliseconds = 50;

/**
 * Starts a gateway.
 *
 * @param settings Checked settings.
 * @param logger Receives log lines.
 * @returns The gateway, once it listens.
 * @throws {Error} When an address cannot be listened on.
 */
export async function startGateway(settings: GatewaySettings, logger: Logger): Promise<Gateway> {
	const parts = createGatewayParts(settings, logger);
	const supervisor = new Supervisor({logger});
	const knowledge = createSharedKnowledge(parts);
	const hints = createHints(parts);
	const callerServer = createCallerServer(parts);
	const entryServer = createEntryServer(parts);
	await listen(entryServer, settings.listen.entries);
	await listenUnlessSame(createEntryServer(parts), settings.listen.readiness, settings.listen.entries);
	await listen(createMetricsServer(parts), settings.listen.metrics);
	await startExchangeServer({listen: settings.listen.peers, handle: message => answerGateway(message, parts, {knowledge, hints})});
	const role = new StoreRole(parts, knowledge);
	startNews({
		supervisor, parts, knowledge, role, seeds: settings.seeds,
	});
	supervisor.start('members', async signal => followMembers({...parts, hints, ready: () => isReady(parts)}, signal));
	supervisor.start('unsaved ends', async signal => parts.suspects.saveUnsaved(signal));
	supervisor.start('source', async signal => followSource({...parts, sharedState: knowledge, followsStore: () => role.follows()}, signal));
	await firstNews(parts);
	await listen(callerServer, settings.listen.callers);
	parts.callers.open = true;
	parts.members.raiseHeartbeat(isReady(parts));
	logger.info('gateway listening', {callers: settings.listen.callers, incarnation: parts.members.self.incarnation});
	return {
		stop: async () => stopGateway(parts, callerServer),
	};
}

/** Takes what another gateway tells, and tells it what it lacks. */
function answerGateway({members: told, heartbeats, hints: heard, known}: ExchangeMessage, {members, readClock}: GatewayParts, {knowledge, hints}: {knowledge: SharedState; hints: HintExchange}): ExchangeMessage {
	const now = readClock();
	members.merge(told, now.steady);
	if (heartbeats) {
		members.mergeHeartbeats(heartbeats, now.steady);
		hints.merge(heard);
		return {members: [members.self, ...members.unknownTo(heartbeats, now.steady)], heartbeats: members.heartbeats(now.steady), hints: hints.collect()};
	}

	const asksAnew = known?.configurationVersion === 0;
	return {
		members: asksAnew ? members.live(now.steady) : [members.self],
		news: known && knowledge.updateFor(known, now),
	};
}

/**
 * Waits until callers can be served and it is known which requests are suspected, for a while: until then a refused connection sends
 * callers to another gateway at once.
 */
async function firstNews({configuration, suspects, clock}: GatewayParts): Promise<void> {
	const until = clock() + firstNewsMilliseconds;
	while (!(configuration.table && suspects.known.isTold) && clock() < until) {
		await pause(firstLookMilliseconds);
	}
}

type NewsOptions = {supervisor: Supervisor; parts: GatewayParts; knowledge: SharedState; role: StoreRole; seeds: readonly string[]};

/** Asks the seeds, then follows the store or those who do. */
function startNews({supervisor, parts, knowledge, role, seeds}: NewsOptions): void {
	const {members} = parts;
	supervisor.start('news', async signal => {
		const learnt = await querySeeds({
			...parts, seeds, sharedState: knowledge, onUpdate() {
				members.raiseHeartbeat(isReady(parts));
			},
		}, signal);
		role.begin(learnt);
		followStore(supervisor, parts, () => role.follows());
		await registerMember({...parts, shouldRegister: () => role.shouldBeFound()}, signal);
		await untilAborted(signal);
		return ok();
	});
}

async function untilAborted(signal: AbortSignal): Promise<void> {
	if (!signal.aborted) {
		await once(signal, 'abort');
	}
}

async function listenUnlessSame(server: Server, address: string, other: string): Promise<void> {
	if (address !== other) {
		await listen(server, address);
	}
}

async function stopGateway(parts: GatewayParts, callerServer: Server): Promise<void> {
	const {stopping, logger, clock, members} = parts;
	stopping.begin(clock());
	members.raiseHeartbeat(false);
	logger.info('gateway stops', {inProgress: stopping.inProgress});
	while (!stopping.mayEnd(clock())) {
		if (!stopping.takes(clock()) && callerServer.listening) {
			callerServer.close();
			callerServer.closeIdleConnections();
		}

		await pause(lookMilliseconds);
	}

	logger.info('gateway stopped', {inProgress: stopping.inProgress});
}
