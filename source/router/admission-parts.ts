/**
 * Builds the router's parts that decide whether, when and where work starts.
 *
 * @module
 */
import {
	Admission, BlockedRequests, RetryBudget, SuspectMonitor, Suspects, EndpointClaims, type EndpointLocation,
} from '../admission/mod.ts';
import {type HostDirectory} from '../membership/mod.ts';
import {type Host} from '../table-service/mod.ts';
import {Placement, createEndpointShares, startTokensOf} from '../placement/mod.ts';
import {type CallerParts} from './caller-context.ts';

/** Kind of the hints that name convicted requests; the value is the time until which they are refused. */
const convictedHintKind = 'convicted';

/** The parts that are built here. */
export type AdmissionParts = Pick<CallerParts, 'admission' | 'placement' | 'refused' | 'retries' | 'suspects'>;

/** What they are built from. */
export type AdmissionPartsOptions = Pick<CallerParts, 'clock' | 'configuration' | 'directory' | 'engines' | 'hints' | 'logger' | 'platform' | 'random' | 'settings' | 'wallClock'>;

/**
 * Creates placement, admission, the retry budget and the watch for requests that kill endpoints.
 *
 * @param options The router's other parts.
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
		startTokensOf: service => startTokensOf(configuration.service(service)),
		limits: {shareOf: createEndpointShares(directory, settings.placement.endpointsPerService)},
	});
	const suspects: Suspects = new Suspects({
		locationOf: createPlaces(directory, wallClock),
		onBlocked(digest, expiresAt) {
			logger.warn('request convicted', {digest});
			hints.publish({kind: convictedHintKind, key: digest, value: String(expiresAt)}, wallClock());
			void refused.save(digest, expiresAt);
		},
	});
	hints.onHint(({kind, key, value}) => {
		if (kind === convictedHintKind && Number.isFinite(Number(value))) {
			suspects.receiveBlock(key, Number(value));
		}
	});
	const refused = new BlockedRequests({
		platform, suspects, logger, wallClock, random,
	});
	const watch = new SuspectMonitor({
		suspects, blockedRequests: refused, claims: new EndpointClaims({platform, wallClock}), engines, logger, wallClock, endpointsOf: service => directory.endpointsOf(service).map(({address}) => address),
	});
	return {
		placement,
		refused,
		suspects: watch,
		retries: new RetryBudget({ratio: settings.admission.retryShare}),
		admission: new Admission({
			...settings.admission,
			wallClock,
			random,
			capacityOf: service => placement.capacityOf(service, clock()),
			refusalOf: (digest, now) => watch.refusalOf(digest, now),
		}),
	};
}

/** Finds the host and zone of an endpoint that is listed and not leaving. */
function createPlaces(directory: HostDirectory, wallClock: () => number): (address: string) => EndpointLocation | undefined {
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
