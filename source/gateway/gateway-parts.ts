/**
 * The components of a gateway.
 *
 * @module
 */
import {StoreEraRecord} from '../stored-rows/mod.ts';
import {readClock, type ClockReading} from '../clocks/mod.ts';
import {EndpointHealth, EndpointLoads, EndpointBackoff} from '../balancing/mod.ts';
import {
	ConfigurationCache, EndpointList, divideUpdateTime, type UpdateTimes,
} from '../beliefs/mod.ts';
import {
	ExchangeClient, MemberTable, createPermitPort, exchangePeriod,
} from '../fleet/mod.ts';
import {
	CallerConnections, EndpointConnections, ResponseBuffers, CrashDetector, type ForwardingDependencies,
} from '../forwarding/mod.ts';
import {
	ConnectionGuard, Intake, intakeLimits, type CallerSocket,
} from '../intake/mod.ts';
import {EndpointLimiter, LimitLeaseTable} from '../limits/mod.ts';
import {StoreClient, decodeFeatures} from '../platform/mod.ts';
import {type Rollouts} from '../rollouts/mod.ts';
import {type GatewaySettings} from '../settings/gateway-settings.ts';
import {StartHold} from '../starting/mod.ts';
import {GatewaySubsets} from '../subsets/mod.ts';
import {SuspectedRequests, SuspicionTable} from '../suspects/mod.ts';
import {createGatewayMetrics, type GatewayMetrics} from '../telemetry/gateway-metrics.ts';
import {type Logger} from '../telemetry/logger.ts';
import {GracefulShutdown} from './graceful-shutdown.ts';
import {createRetryBudgets, type RetryBudgets} from './retry-budgets.ts';
import {createRollouts} from './rollout-state.ts';

/** The components that the servers and background tasks of a gateway share. */
export type GatewayParts = ForwardingDependencies & Pick<RetryBudgets, 'lendRetries'> & {
	settings: GatewaySettings;
	/** Roll-outs, if the deployment asks for them. */
	rollouts: Rollouts | undefined;
	metrics: GatewayMetrics;
	store: StoreClient;
	configuration: ConfigurationCache;
	members: MemberTable;
	shutdown: GracefulShutdown;
	/** Holds requests that arrive before the initial state is known; absent where callers are refused until then. */
	startHold: StartHold | undefined;
	/** Whether the gateway accepts connections from callers. */
	callers: {open: boolean};
	/** What callers send, on all ports. */
	intake: Intake;
	/** Connections of callers that send requests. */
	connectionGuard: ConnectionGuard<CallerSocket>;
	readClock: () => ClockReading;
	updateTimes: UpdateTimes;
	/** Maximum age of the configuration at which its keys are still accepted, in milliseconds. */
	trustedKeyMilliseconds: number;
};

/** Exchange periods without an update about a gateway after which it counts as gone; an update takes several exchanges to reach all gateways. */
const maximumMissedExchanges = 5;

/** Fraction of the time limit for revoking a key during which a configuration's keys are accepted; the rest allows for late updates from the store. */
const trustedKeyShare = 0.8;

/**
 * Creates the components of a gateway without starting any of them.
 *
 * @param settings Validated settings.
 * @param logger Receives log lines.
 */
export function createGatewayParts(settings: GatewaySettings, logger: Logger): GatewayParts {
	const {hostName, availabilityZone, region, listen, advertise, bounds} = settings;
	const metrics = createGatewayMetrics();
	const members = new MemberTable({
		self: {
			name: hostName, availabilityZone, region, callers: advertise.callers ?? listen.callers, peers: advertise.peers ?? listen.peers, incarnation: Date.now(),
		},
		heartbeatTimeoutMilliseconds: gateways => exchangePeriod(gateways) * maximumMissedExchanges,
	});
	const store = new StoreClient({
		address: settings.store,
		observe(operation, outcome, bytes) {
			metrics.storeCalls.inc({operation, outcome});
			metrics.storeBytes.inc(bytes);
		},
	});
	const eraRecord = new StoreEraRecord({store, logger});
	const endpoints = new EndpointList({heartbeatMilliseconds: bounds.endpointHeartbeatMilliseconds});
	const clock = () => performance.now();
	const limits = intakeLimits(settings.resources);
	const features = decodeFeatures(settings.contracts);
	const suspects = new SuspectedRequests({
		table: new SuspicionTable({store, logger, random: Math.random}),
		logger,
		clock,
		count(decision) {
			metrics.suspects.inc({decision});
		},
	});
	return {
		settings,
		features,
		startHold: features.earlyCallers ? createStartHold(settings, clock) : undefined,
		rollouts: features.rollouts
			? createRollouts({
				settings, members, endpoints, metrics, logger, clock,
			})
			: undefined,
		logger,
		metrics,
		availabilityZone,
		members,
		store,
		configuration: new ConfigurationCache(),
		endpoints,
		suspects,
		subsets: new GatewaySubsets({
			enabled: features.engineSubsets,
			self: hostName,
			liveGateways: now => members.live(now).map(({name}) => name),
			logger,
		}),
		loads: new EndpointLoads(),
		health: new EndpointHealth(),
		backoff: new EndpointBackoff(),
		limiter: createLimiter({
			store, eraRecord, logger, endpoints, members, metrics, clock,
		}),
		connections: new EndpointConnections({
			keepsConnections: features.engineSubsets,
			maximumIdle: limits.idleEndpointConnections,
			clock,
			count(origin) {
				metrics.endpointRequests.inc({connection: origin});
			},
		}),
		callerConnections: new CallerConnections({
			logger,
			clock,
			count(reason) {
				metrics.closedConnections.inc({reason});
			},
		}),
		responseBuffers: new ResponseBuffers({maximumResponseBytes: settings.answers.heldBytes, maximumTotalBytes: settings.answers.allHeldBytes, maximumStreams: settings.answers.passedOnAtOnce}),
		crashDetector: new CrashDetector({
			endpoints,
			suspects,
			logger,
			countProbe(service, outcome) {
				metrics.lostAttempts.inc({service, fate: outcome});
			},
		}),
		callers: {open: false},
		intake: new Intake({
			limits,
			clock,
			onCollected(kind) {
				metrics.collections.inc({kind});
			},
		}),
		connectionGuard: new ConnectionGuard(limits),
		shutdown: new GracefulShutdown({timeoutMilliseconds: bounds.stopSeconds * 1000}),
		...createRetryBudgets({
			settings, store, eraRecord, members, metrics, logger,
		}),
		countSignal(service, signal) {
			metrics.endpointSignals.inc({service, signal});
		},
		countReturn(service, prompt) {
			metrics.returns.inc({service, prompt});
		},
		countLimited(service, decision) {
			metrics.limitedRequests.inc({service, decision});
		},
		countRetry(service, reason, allowed) {
			metrics.retries.inc({service, reason, decision: allowed ? 'allowed' : 'refused'});
		},
		updateTimes: divideUpdateTime(Math.min(bounds.configurationMilliseconds, bounds.leavingMilliseconds)),
		trustedKeyMilliseconds: bounds.revokedKeyMilliseconds * trustedKeyShare,
		clock,
		random: () => Math.random(),
		readClock,
	};
}

function createStartHold({start: {heldRequests: requests, heldBytes: bytes, heldMilliseconds: milliseconds}}: GatewaySettings, clock: () => number): StartHold {
	return new StartHold({limits: {requests, bytes, milliseconds}, clock});
}

type LimiterParts = Pick<GatewayParts, 'store' | 'logger' | 'endpoints' | 'members' | 'metrics' | 'clock'> & {eraRecord: StoreEraRecord};

function createLimiter({
	store, eraRecord, logger, endpoints, members, metrics, clock,
}: LimiterParts): EndpointLimiter {
	const {name, incarnation, peers} = members.self;
	const self = {name, incarnation, peers};
	return new EndpointLimiter({
		...createPermitPort({
			client: new ExchangeClient(), logger, peerAddresses: () => members.live(clock()).filter(member => member.name !== name).map(member => member.peers),
		}),
		leases: new LimitLeaseTable({
			store, eraRecord, self, logger, readClock,
		}),
		endpoints,
		self,
		countGateways: () => members.live(clock()).length,
		logger,
		readClock,
		random: Math.random,
		count(outcome) {
			metrics.permits.inc({outcome});
		},
	});
}
