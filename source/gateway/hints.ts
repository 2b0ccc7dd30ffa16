/**
 * What a gateway tells others of what it has seen of endpoints, and takes from them.
 *
 * @module
 */
import {type HintSource} from '../fleet/mod.ts';
import {type GatewayParts} from './gateway-parts.ts';

/**
 * Creates the exchange of hints.
 *
 * @param parts The gateway's parts.
 */
export function createHints({endpoints, suspects, clock}: GatewayParts): HintSource {
	return {
		tell: () => ({unsavedEnds: suspects.unsavedEnds(), leavingLives: endpoints.leavingLives(clock())}),
		hear(hints) {
			if (hints) {
				suspects.hear(hints.unsavedEnds);
				endpoints.hearLeaving(hints.leavingLives, clock());
			}
		},
	};
}
