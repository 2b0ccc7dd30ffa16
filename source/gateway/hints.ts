/**
 * The hints about endpoints that gateways exchange: unsaved crashes and incarnations that are leaving.
 *
 * @module
 */
import {type HintExchange} from '../fleet/mod.ts';
import {type GatewayParts} from './gateway-parts.ts';

/**
 * Creates the functions that collect and merge the hints exchanged with other gateways.
 *
 * @param parts The gateway's components.
 */
export function createHintExchange({endpoints, suspects, clock}: GatewayParts): HintExchange {
	return {
		collect: () => ({unsavedEnds: suspects.unsavedCrashes(), leavingLives: endpoints.leavingIncarnations(clock())}),
		merge(hints) {
			if (hints) {
				suspects.receiveCrashes(hints.unsavedEnds);
				endpoints.mergeLeaving(hints.leavingLives, clock());
			}
		},
	};
}
