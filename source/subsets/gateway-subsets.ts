/**
 * The subsets of endpoints that this gateway uses, as far as it knows the others.
 *
 * @module
 */
import {type Logger} from '../telemetry/logger.ts';
import {
	endpointSubset, gatewayPlace, type EndpointSubsetOptions, type GatewayPlace,
} from './endpoint-ring.ts';

/** Time for which a place among the gateways is used before it is computed again, in milliseconds. */
const placeMilliseconds = 1000;

/** Options of {@linkcode GatewaySubsets}. */
export type GatewaySubsetsOptions = {
	/** Whether subsets are used; without them, all endpoints are. */
	enabled: boolean;
	/** Name of this gateway. */
	self: string;
	/** Returns the names of the live gateways, this one included, as far as this one knows. */
	liveGateways: (now: number) => readonly string[];
	logger: Pick<Logger, 'debug'>;
};

/**
 * Selects the endpoints that this gateway uses.
 *
 * @example
 * ```ts
 * const endpoints = subsets.select({endpoints: usable, isSound: ({id}) => !health.shouldAvoid(id, now), now});
 * ```
 */
export class GatewaySubsets {
	readonly #options: GatewaySubsetsOptions;
	#place: GatewayPlace = {index: 0, gateways: 1};
	#placeUntil = Number.NEGATIVE_INFINITY;

	constructor(options: GatewaySubsetsOptions) {
		this.#options = options;
	}

	/** Place of this gateway among the live ones at a monotonic time in milliseconds. */
	placeAt(now: number): GatewayPlace {
		if (now >= this.#placeUntil) {
			const {self, liveGateways, logger} = this.#options;
			const place = gatewayPlace(self, liveGateways(now));
			if (place.index !== this.#place.index || place.gateways !== this.#place.gateways) {
				logger.debug('place among gateways', {...place, before: this.#place.index, gatewaysBefore: this.#place.gateways});
			}

			this.#place = place;
			this.#placeUntil = now + placeMilliseconds;
		}

		return this.#place;
	}

	/**
	 * Returns the endpoints that this gateway uses among those that a request may be sent to.
	 *
	 * @param options Endpoints, which of them are sound, and the monotonic time in milliseconds.
	 */
	select<Endpoint extends {id: string; address: string}>({endpoints, isSound, now}: Omit<EndpointSubsetOptions<Endpoint>, 'place'> & {now: number}): readonly Endpoint[] {
		return this.#options.enabled ? endpointSubset({endpoints, place: this.placeAt(now), isSound}) : endpoints;
	}
}
