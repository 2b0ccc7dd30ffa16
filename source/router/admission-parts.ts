/**
 * Creates the router's components for admission control, placement and retries.
 *
 * @module
 */
import {
	Admission, BlockedRequests, RetryBudget, SuspectMonitor, Suspects, EndpointClaims, type EndpointLocation,
} from '../admission/mod.ts';
import {type HostDirectory} from '../membership/mod.ts';
import {type Host} from '../table-service/mod.ts';
import {Placement, createEndpointShares, initialLimitOf} from '../placement/mod.ts';
import {type CallerParts} from './caller-context.ts';

/** Kind of the hints that announce blocked requests. The key is the request digest, the value the wall-clock time at which the block expires, in milliseconds. */
const blockedRequestHintKind = 'convicted';

/** Components that {@linkcode createAdmissionParts} creates. */
export type AdmissionParts = Pick<CallerParts, 'admission' | 'placement' | 'blockedRequests' | 'retries' | 'suspects'>;

/** Components that {@linkcode createAdmissionParts} depends on. */
export type AdmissionPartsOptions = Pick<CallerParts, 'clock' | 'configuration' | 'directory' | 'engines' | 'hints' | 'logger' | 'platform' | 'random' | 'settings' | 'wallClock'>;

/**
 * Creates placement, admission, the retry budget and the detection of requests that crash endpoints.
 *
 * @param options The router components that these depend on.
 * @example
 * ```ts
 * const parts = {...base, ...createAdmissionParts(base)};
 * ```
 */
export function createAdmissionParts(options: AdmissionPartsOptions): AdmissionParts {
	const {settings, directory, configuration, engines, hints, platform, logger, random, clock, wallClock} = options;
	const placement = new Placement({
		subsetKey: settings.hostName,
		endpointsPerService: settings.placement.endpointsPerService,
		endpointsOf: service => directory.endpointsOf(service),
		initialLimitOf: service => initialLimitOf(configuration.service(service)),
		limits: {shareOf: createEndpointShares(directory, settings.placement.endpointsPerService)},
	});
	const suspects: Suspects = new Suspects({
		locationOf: createLocationOf(directory, wallClock),
		onBlocked(digest, expiresAt) {
			logger.warn('request blocked', {digest});
			hints.publish({kind: blockedRequestHintKind, key: digest, value: String(expiresAt)}, wallClock());
			void blockedRequests.save(digest, expiresAt);
		},
	});
	hints.onHint(({kind, key, value}) => {
		if (kind === blockedRequestHintKind && Number.isFinite(Number(value))) {
			suspects.receiveBlock(key, Number(value));
		}
	});
	const blockedRequests = new BlockedRequests({
		platform, suspects, logger, wallClock, random,
	});
	const suspectMonitor = new SuspectMonitor({
		suspects, blockedRequests, claims: new EndpointClaims({platform, wallClock}), engines, logger, wallClock, endpointsOf: service => directory.endpointsOf(service).map(({address}) => address),
	});
	return {
		placement,
		blockedRequests,
		suspects: suspectMonitor,
		retries: new RetryBudget({ratio: settings.admission.retryShare}),
		admission: new Admission({
			...settings.admission,
			wallClock,
			random,
			capacityOf: service => placement.capacityOf(service, clock()),
			refusalOf: (digest, now) => suspectMonitor.refusalOf(digest, now),
		}),
	};
}

/** Returns a function that looks up the host and zone of an endpoint; it returns `undefined` for an endpoint that is not listed or whose host is leaving. */
function createLocationOf(directory: HostDirectory, wallClock: () => number): (address: string) => EndpointLocation | undefined {
	let hosts: HostDirectory['hosts'] | undefined;
	let hostOf = new Map<string, Host>();
	return address => {
		if (directory.hosts !== hosts) {
			({hosts} = directory);
			hostOf = new Map(hosts.flatMap(host => host.endpoints.map(endpoint => [endpoint.address, host])));
		}

		const host = hostOf.get(address);
		return host && !directory.isLeaving(host, wallClock())
			? {host: host.name, availabilityZone: host.availabilityZone}
			: undefined;
	};
}
