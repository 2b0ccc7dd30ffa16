/**
 * The gateway daemon: creates the components, listens, starts the background tasks and shuts down gracefully.
 *
 * @module
 */
import {type Server} from 'node:http';
import {ok} from 'neverthrow';
import {
	querySeeds, followMembers, followSource, registerMember, startExchangeServer, type ExchangeMessage, type HintExchange, type SharedState,
} from '../fleet/mod.ts';
import {intakeLimits} from '../intake/mod.ts';
import {type EarlyListener} from '../supervision/early-listener.ts';
import {listen} from '../supervision/listen.ts';
import {type GatewaySettings} from '../settings/gateway-settings.ts';
import {pause} from '../supervision/pause.ts';
import {Supervisor} from '../supervision/supervisor.ts';
import {type Logger} from '../telemetry/logger.ts';
import {createCallerServer, createEntryServer, createMetricsServer} from './caller-server.ts';
import {followStore} from './follow-store.ts';
import {createGatewayParts, type GatewayParts} from './gateway-parts.ts';
import {isReady} from './readiness.ts';
import {createHintExchange} from './hints.ts';
import {createSharedState} from './shared-state.ts';
import {startRollouts} from './rollout-tasks.ts';
import {StoreRole} from './store-role.ts';

/** A running gateway. */
export type Gateway = {
	/** Shuts down gracefully; resolves once no request is in progress or the shutdown timeout has passed. */
	stop(): Promise<void>;
};

/** Interval between checks for the initial state, in milliseconds. */
const initialStatePollMilliseconds = 10;

/** Maximum wait for the own state before a gateway that has none is answered, in milliseconds; less than the timeout of its question. */
const stateForAskerMilliseconds = 200;

/** Time for which the last responses are sent before the process exits, in milliseconds. */
const lastResponsesMilliseconds = 50;

/** Interval between checks for a complete shutdown, in milliseconds. */
const shutdownPollMilliseconds = 50;

/**
 * Starts a gateway.
 *
 * @param settings Validated settings.
 * @param logger Receives log lines.
 * @param earlyListener Accepts connections from callers already. Default none.
 * @returns The gateway, once it accepts connections from callers.
 * @throws {Error} When it cannot listen on an address.
 */
export async function startGateway(settings: GatewaySettings, logger: Logger, earlyListener?: EarlyListener): Promise<Gateway> {
	const parts = createGatewayParts(settings, logger);
	const supervisor = new Supervisor({logger});
	const sharedState = createSharedState(parts);
	const hints = createHintExchange(parts);
	const callerServer = createCallerServer(parts);
	const entryServer = createEntryServer(parts);
	if (parts.startHold) {
		await listenForCallers(callerServer, settings.listen.callers, earlyListener);
	}

	await listen(entryServer, settings.listen.entries);
	await listenUnlessSame(createEntryServer(parts), settings.listen.readiness, settings.listen.entries);
	await listen(createMetricsServer(parts), settings.listen.metrics);
	await startExchangeServer({
		listen: settings.listen.peers,
		connections: intakeLimits(settings.resources).peerConnections,
		async handle(message) {
			await waitForAsker(message, parts);
			return answerExchange(message, parts, {sharedState, hints});
		},
		answerPermit: request => parts.limiter.answer(request),
		lendRetries: parts.lendRetries,
	});
	const role = new StoreRole(parts, sharedState);
	startUpdates({
		supervisor, parts, sharedState, role, seeds: settings.seeds,
	});
	supervisor.start('members', async signal => followMembers({...parts, hints, ready: () => isReady(parts)}, signal));
	supervisor.start('unsaved crashes', async signal => parts.suspects.saveUnsaved(signal));
	supervisor.start('leases of limited endpoints', async signal => parts.limiter.maintain(signal));
	supervisor.start('source', async signal => followSource({...parts, sharedState, followsStore: () => role.followsStore()}, signal));
	startRollouts(supervisor, parts, () => role.followsStore());
	if (parts.startHold) {
		void waitForInitialState(parts).then(() => {
			openCallers(parts);
		});
	} else {
		await waitForInitialState(parts);
		await listen(callerServer, settings.listen.callers);
		openCallers(parts);
	}

	return {
		stop: async () => stopGateway(parts, callerServer),
	};
}

/** Listens for callers, on the listener that accepts their connections already if there is one. */
async function listenForCallers(server: Server, address: string, earlyListener: EarlyListener | undefined): Promise<void> {
	if (earlyListener?.address !== address || !await earlyListener.handOver(server)) {
		await listen(server, address);
	}
}

/** Serves callers from now on, those first whose requests are held. */
function openCallers(parts: GatewayParts): void {
	const {
		logger, settings, members, callers, startHold, configuration, suspects, clock,
	} = parts;
	callers.open = true;
	members.raiseHeartbeat(isReady(parts));
	logger.info('gateway listening', {
		callers: settings.listen.callers, incarnation: members.self.incarnation, configuration: configuration.table?.version, suspectsKnown: suspects.known.isLoaded, held: startHold?.held, mostHeld: startHold?.mostHeld, sinceProcessStart: Math.round(clock()),
	});
	startHold?.release();
}

/**
 * Waits a short time for this gateway's own state before a gateway that has none is answered, so that a fleet that starts together does not
 * lose the time between its questions. Seeds are answered at once: they must not wait for each other.
 */
async function waitForAsker({members: [asker], known}: ExchangeMessage, {startHold, configuration, settings, clock}: GatewayParts): Promise<void> {
	const isLacking = known?.configurationVersion === 0 && startHold && !configuration.table;
	if (isLacking && asker && !settings.seeds.includes(asker.peers)) {
		await startHold.settle(clock() + stateForAskerMilliseconds);
	}
}

/** Applies a message of another gateway, and replies with the members, hints and updates that it lacks. */
function answerExchange(
	{members: receivedMembers, heartbeats, hints: receivedHints, known}: ExchangeMessage,
	{members, readClock}: GatewayParts,
	{sharedState, hints}: {sharedState: SharedState; hints: HintExchange},
): ExchangeMessage {
	const now = readClock();
	members.merge(receivedMembers, now.steady);
	if (heartbeats) {
		members.mergeHeartbeats(heartbeats, now.steady);
		hints.merge(receivedHints);
		return {members: [members.self, ...members.unknownTo(heartbeats, now.steady)], heartbeats: members.heartbeats(now.steady), hints: hints.collect()};
	}

	const hasNoConfiguration = known?.configurationVersion === 0;
	return {
		members: hasNoConfiguration ? members.live(now.steady) : [members.self],
		news: known && sharedState.updateFor(known, now),
	};
}

/**
 * Waits for the first configuration and the first lists of suspected requests and roll-outs, up to a timeout. Until then, requests are held; where they
 * are not, caller connections are refused, so that callers turn to another gateway immediately.
 */
async function waitForInitialState({configuration, suspects, rollouts, clock, settings}: GatewayParts): Promise<void> {
	const until = clock() + settings.start.heldMilliseconds;
	while (!(configuration.table && suspects.known.isLoaded && (rollouts?.isLoaded ?? true)) && clock() < until) {
		await pause(initialStatePollMilliseconds);
	}
}

type UpdateOptions = {supervisor: Supervisor; parts: GatewayParts; sharedState: SharedState; role: StoreRole; seeds: readonly string[]};

/** Requests the current state from the seeds, then follows the store or a gateway that follows it. */
function startUpdates({supervisor, parts, sharedState, role, seeds}: UpdateOptions): void {
	const {members} = parts;
	supervisor.start('news', async signal => {
		const receivedState = await querySeeds({
			...parts, seeds, sharedState, onUpdate() {
				members.raiseHeartbeat(isReady(parts));
			},
		}, signal);
		role.start(receivedState);
		followStore(supervisor, parts, () => role.followsStore());
		await registerMember({...parts, shouldRegister: () => role.shouldBeRegistered()}, signal);
		return ok();
	});
}

async function listenUnlessSame(server: Server, address: string, other: string): Promise<void> {
	if (address !== other) {
		await listen(server, address);
	}
}

async function stopGateway(parts: GatewayParts, callerServer: Server): Promise<void> {
	const {
		shutdown, limiter, logger, clock, members, callerConnections,
	} = parts;
	shutdown.start(clock());
	members.raiseHeartbeat(false);
	logger.info('gateway stops', {inProgress: shutdown.inProgress});
	void limiter.stop();
	while (!shutdown.canExit(clock())) {
		// Closing the server destroys connections whose response has been written, delivered or not.
		if (!shutdown.acceptsRequests(clock()) && callerServer.listening && shutdown.undelivered === 0) {
			callerConnections.stopListening(callerServer);
		}

		await pause(shutdownPollMilliseconds);
	}

	if (shutdown.inProgress > 0) {
		shutdown.endRequests();
		await pause(lastResponsesMilliseconds);
	}

	logger.info('gateway stopped', {inProgress: shutdown.inProgress});
}
