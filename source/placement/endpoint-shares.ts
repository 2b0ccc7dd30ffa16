/**
 * How much of an endpoint one router may use before hints of demand say more.
 *
 * @module
 */
import {type ConfigurationInForce, type Service} from '../configuration/mod.ts';
import {type HostDirectory} from '../membership/mod.ts';

/**
 * Creates the default share of each endpoint: one over the routers that can be expected to use it.
 *
 * A router uses a subset of the endpoints, so an endpoint is shared by that fraction of the routers only.
 *
 * @param directory The hosts known.
 * @param endpointsPerService Endpoints of each service that a router uses.
 * @returns The share of an endpoint by address, from 0 to 1.
 * @example
 * ```ts
 * const shareOf = createShares(directory, 48);
 * ```
 */
export function createShares(directory: HostDirectory, endpointsPerService: number): (address: string) => number {
	let hosts: HostDirectory['hosts'] | undefined;
	let shares = new Map<string, number>();
	return address => {
		if (directory.hosts !== hosts) {
			({hosts} = directory);
			shares = sharesOf(hosts, endpointsPerService);
		}

		return shares.get(address) ?? 1;
	};
}

/**
 * Returns the tokens that one endpoint of a service takes at the start, or its calls for a plain service.
 *
 * @param service The service; one that is unknown has no limit.
 */
export function startTokensOf(service: Service | undefined): number {
	if (!service) {
		return Number.MAX_SAFE_INTEGER;
	}

	return service.kind === 'model' ? service.engineTokens : service.endpointCalls;
}

/** Returns the names of the services of model engines in force. */
export function modelServices(configuration: ConfigurationInForce): string[] {
	return (configuration.current?.services ?? []).filter(({kind}) => kind === 'model').map(({service}) => service);
}

function sharesOf(hosts: HostDirectory['hosts'], endpointsPerService: number): Map<string, number> {
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
