/**
 * Creates the component that keeps the limits which endpoints name for all routers together.
 *
 * @module
 */
import {Metadata} from '@grpc/grpc-js';
import {decodeRow} from '../stored-rows/mod.ts';
import {readClock} from '../clocks/mod.ts';
import {ExchangeClient, createPermitPort} from '../fleet/mod.ts';
import {
	EndpointLimiter, publishedLimitSchema, type PermitHolder,
} from '../limits/mod.ts';
import {peerKeyField} from '../membership/mod.ts';
import {type CallerParts} from './caller-context.ts';
import {RouterLimitLeases} from './limit-leases.ts';

/** Router components that the limiter depends on. */
export type LimiterOptions = Pick<CallerParts, 'directory' | 'hints' | 'logger' | 'metrics' | 'platform' | 'random' | 'settings' | 'wallClock'>;

/** Kind of the hints that publish limits. The key is the address of the endpoint, the value the limit as JSON, or empty once it was lifted. */
const limitHintKind = 'endpoint_limit';

/**
 * Creates the limiter of a router.
 *
 * @param options The router components that it depends on.
 */
export function createLimiter(options: LimiterOptions): EndpointLimiter {
	const {directory, hints, logger, metrics, platform, random, settings, wallClock} = options;
	const incarnation = wallClock();
	const self = (): PermitHolder => ({
		name: settings.hostName, incarnation, peers: directory.hosts.find(({name}) => name === settings.hostName)?.entry?.peers ?? settings.peers.listen,
	});
	const metadata = new Metadata();
	metadata.set(peerKeyField, settings.peers.key);
	const limiter = new EndpointLimiter({
		...createPermitPort({
			client: new ExchangeClient(metadata),
			logger,
			random,
			peerAddresses: () => directory.entryHosts(wallClock()).filter(({name}) => name !== settings.hostName).map(({entry}) => entry!.peers),
		}),
		leases: new RouterLimitLeases({
			platform,
			self,
			logger,
			readClock,
			publish({id}, limit) {
				hints.publish({kind: limitHintKind, key: id, value: limit ? JSON.stringify(limit) : ''}, wallClock());
			},
		}),
		endpoints: {stateOf: ({id}) => isListed(id, options) ? 'listed' : 'removed'},
		self: self(),
		countGateways: () => Math.max(1, directory.entryHosts(wallClock()).length),
		logger,
		readClock,
		random,
		count(outcome) {
			metrics.permits.inc({outcome});
		},
	});
	hints.onHint(({kind, key, value, stamp}) => {
		if (kind === limitHintKind) {
			const limit = value === '' ? undefined : decodeRow(publishedLimitSchema, new TextEncoder().encode(value)).unwrapOr(undefined);
			limiter.published.apply([{key, content: limit, revision: stamp}]);
		}
	});
	return limiter;
}

function isListed(address: string, {directory}: LimiterOptions): boolean {
	return directory.hosts.some(({endpoints}) => endpoints.some(endpoint => endpoint.address === address));
}
