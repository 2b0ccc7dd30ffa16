/**
 * The parts of a gateway.
 *
 * @module
 */
import {EndpointHealth, EndpointLoads, EndpointBackoff} from '../balancing/mod.ts';
import {
	ConfigurationCache, EndpointList, divideUpdateTime, readClock, type ClockReading, type UpdateTimes,
} from '../beliefs/mod.ts';
import {MemberTable, exchangePeriod} from '../fleet/mod.ts';
import {
	EndpointConnections, HeldAnswers, LostAttempts, type ForwardingParts,
} from '../forwarding/mod.ts';
import {StoreClient} from '../platform/mod.ts';
import {SharedRetryBudget, SlackBorrower} from '../retries/mod.ts';
import {type GatewaySettings} from '../settings/gateway-settings.ts';
import {RequestSuspects, SuspicionTable} from '../suspects/mod.ts';
import {createGatewayMetrics, type GatewayMetrics} from '../telemetry/gateway-metrics.ts';
import {type Logger} from '../telemetry/logger.ts';
import {Stopping} from './stopping.ts';

/** The parts, shared by servers and tasks. */
export type GatewayParts = ForwardingParts & {
	settings: GatewaySettings;
	metrics: GatewayMetrics;
	store: StoreClient;
	configuration: ConfigurationCache;
	members: MemberTable;
	stopping: Stopping;
	/** Whether callers can connect. */
	callers: {open: boolean};
	readClock: () => ClockReading;
	newsTimes: UpdateTimes;
	/** Age of the configuration up to which keys are trusted, in milliseconds. */
	trustedKeyMilliseconds: number;
};

/** Exchanges without news of a gateway after which it counts as gone; news takes a few of them to reach everyone. */
const silentExchanges = 5;

/** Share of the time to withdraw a key for which a configuration is trusted; the rest covers late news of the store. */
const trustedShare = 0.8;

/**
 * Creates the parts of a gateway; none of them does anything yet.
 *
 * @param settings Checked settings.
 * @param logger Receives log lines.
 */
export function createGatewayParts(settings: GatewaySettings, logger: Logger): GatewayParts {
	const {hostName, availabilityZone, region, listen, advertise, bounds} = settings;
	const metrics = createGatewayMetrics();
	const members = new MemberTable({
		self: {
			name: hostName, availabilityZone, region, callers: advertise.callers ?? listen.callers, peers: advertise.peers ?? listen.peers, incarnation: Date.now(),
		},
		heartbeatTimeoutMilliseconds: gateways => exchangePeriod(gateways) * silentExchanges,
	});
	const store = new StoreClient({
		address: settings.store,
		observe(operation, outcome, bytes) {
			metrics.storeCalls.inc({operation, outcome});
			metrics.storeBytes.inc(bytes);
		},
	});
	const endpoints = new EndpointList();
	const clock = () => performance.now();
	const suspects = new RequestSuspects({
		table: new SuspicionTable({store, logger, random: Math.random}),
		logger,
		clock,
		count(decision) {
			metrics.suspects.inc({decision});
		},
	});
	return {
		settings,
		logger,
		metrics,
		availabilityZone,
		members,
		store,
		configuration: new ConfigurationCache(),
		endpoints,
		suspects,
		loads: new EndpointLoads(),
		health: new EndpointHealth(),
		backoff: new EndpointBackoff(),
		connections: new EndpointConnections(),
		heldAnswers: new HeldAnswers({answerBytes: settings.answers.heldBytes, totalBytes: settings.answers.allHeldBytes, passedOn: settings.answers.passedOnAtOnce}),
		lostAttempts: new LostAttempts({
			endpoints,
			suspects,
			logger,
			count(service, fate) {
				metrics.lostAttempts.inc({service, fate});
			},
		}),
		callers: {open: false},
		stopping: new Stopping({stopMilliseconds: bounds.stopSeconds * 1000}),
		retryBudgetOf: createRetryBudgets({
			settings, store, logger, holder: `${hostName}/${members.self.incarnation}`,
		}),
		countSignal(service, signal) {
			metrics.endpointSignals.inc({service, signal});
		},
		countRetry(service, reason, allowed) {
			metrics.retries.inc({service, reason, decision: allowed ? 'allowed' : 'refused'});
		},
		newsTimes: divideUpdateTime(Math.min(bounds.configurationMilliseconds, bounds.leavingMilliseconds)),
		trustedKeyMilliseconds: bounds.revokedKeyMilliseconds * trustedShare,
		clock,
		random: () => Math.random(),
		readClock,
	};
}

type RetryBudgetParts = {settings: GatewaySettings; store: StoreClient; logger: Logger; holder: string};

/** Returns the budgets of services, each made when it is first asked for. */
function createRetryBudgets({settings: {bounds}, store, logger, holder}: RetryBudgetParts): (service: string) => SharedRetryBudget {
	const windowMilliseconds = bounds.retryWindowSeconds * 1000;
	const terms = {slack: bounds.retrySlack, windowMilliseconds};
	const budgets = new Map<string, SharedRetryBudget>();
	return service => {
		let budget = budgets.get(service);
		if (!budget) {
			const borrower = new SlackBorrower({
				service, holder, terms, store, logger, readClock, random: Math.random,
			});
			budget = new SharedRetryBudget({
				ratio: bounds.retryRatio, windowMilliseconds, borrower, readClock,
			});
			budgets.set(service, budget);
		}

		return budget;
	};
}
