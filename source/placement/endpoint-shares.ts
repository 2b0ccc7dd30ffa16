/**
 * Initial limits of endpoints, and the default share of each that one router may use.
 *
 * @module
 */
import {type ActiveConfiguration, type Service} from '../configuration/mod.ts';
import {type HostDirectory} from '../membership/mod.ts';

/**
 * Creates a function that returns the share of an endpoint: 1 divided by the expected number of routers that use it.
 *
 * Each router uses a subset of the endpoints, so only the corresponding fraction of the routers shares an endpoint.
 *
 * @param directory Directory of the known hosts.
 * @param endpointsPerService Number of endpoints of each service that a router uses.
 * @returns A function that maps an endpoint's address to its share, from 0 to 1.
 * @example
 * ```ts
 * const shareOf = createEndpointShares(directory, 48);
 * ```
 */
export function createEndpointShares(directory: HostDirectory, endpointsPerService: number): (address: string) => number {
	let hosts: HostDirectory['hosts'] | undefined;
	let shares = new Map<string, number>();
	return address => {
		if (directory.hosts !== hosts) {
			({hosts} = directory);
			shares = computeShares(hosts, endpointsPerService);
		}

		return shares.get(address) ?? 1;
	};
}

/**
 * Returns the initial limit of one endpoint of a service: tokens for a model service, calls for a plain one.
 *
 * @param service The service; an unknown service has no limit.
 */
export function initialLimitOf(service: Service | undefined): number {
	if (!service) {
		return Number.MAX_SAFE_INTEGER;
	}

	return service.kind === 'model' ? service.engineTokens : service.endpointCalls;
}

/** Returns the names of the model services in the current configuration. */
export function modelServices(configuration: ActiveConfiguration): string[] {
	return (configuration.current?.services ?? []).filter(({kind}) => kind === 'model').map(({service}) => service);
}

function computeShares(hosts: HostDirectory['hosts'], endpointsPerService: number): Map<string, number> {
	const routers = hosts.filter(host => host.entry && host.state === 'live').length;
	const endpoints = hosts.filter(host => host.state === 'live').flatMap(host => host.endpoints);
	const counts = new Map<string, number>();
	for (const {service} of endpoints) {
		counts.set(service, (counts.get(service) ?? 0) + 1);
	}

	return new Map(endpoints.map(({address, service}) => {
		const used = Math.min(1, endpointsPerService / counts.get(service)!);
		return [address, 1 / Math.max(1, routers * used)];
	}));
}
