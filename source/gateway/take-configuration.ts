/**
 * Puts a configuration in force, wherever it came from.
 *
 * @module
 */
import {type RoutingConfiguration} from '../routing/mod.ts';
import {type GatewayParts} from './gateway-parts.ts';

/**
 * Takes a configuration, unless a newer one is known; one that is news is counted and logged.
 *
 * @param parts The gateway's parts.
 * @param newest The configuration.
 * @param origin Where it came from, for the log.
 */
export function takeConfiguration({configuration, metrics, logger}: GatewayParts, newest: RoutingConfiguration, origin: {revision: number} | {source: 'gateway'}): void {
	if (configuration.update(newest)) {
		metrics.configurationVersion.set(newest.version);
		logger.info('configuration in force', {version: newest.version, routes: newest.routes.length, ...origin});
	}
}
