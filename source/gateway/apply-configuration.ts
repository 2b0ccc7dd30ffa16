/**
 * Applies a configuration received from the store or another gateway.
 *
 * @module
 */
import {type RoutingConfiguration} from '../routing/mod.ts';
import {type GatewayParts} from './gateway-parts.ts';

/**
 * Applies a configuration unless a version at least as new is known; reports a new version in metrics and log.
 *
 * @param parts The gateway's components.
 * @param received The received configuration.
 * @param origin Its source, for the log.
 */
export function applyConfiguration({configuration, metrics, logger}: GatewayParts, received: RoutingConfiguration, origin: {revision: number} | {source: 'gateway'}): void {
	if (configuration.update(received)) {
		metrics.configurationVersion.set(received.version);
		logger.info('configuration in force', {version: received.version, routes: received.routes.length, ...origin});
	}
}
