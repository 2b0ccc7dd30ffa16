/**
 * What a gateway tells others of what it has seen of endpoints, and takes from them.
 *
 * @module
 */
import {type HintExchange} from '../fleet/mod.ts';
import {type GatewayParts} from './gateway-parts.ts';

/**
 * Creates the exchange of hints.
 *
 * @param parts The gateway's parts.
 */
export function createHints({endpoints, suspects, clock}: GatewayParts): HintExchange {
	return {
		collect: () => ({unsavedEnds: suspects.unsavedEnds(), leavingLives: endpoints.leavingIncarnations(clock())}),
		merge(hints) {
			if (hints) {
				suspects.hear(hints.unsavedEnds);
				endpoints.mergeLeaving(hints.leavingLives, clock());
			}
		},
	};
}
