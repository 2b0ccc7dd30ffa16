/**
 * Applies what responses state about the limits of endpoints.
 *
 * @module
 */
import {type EndpointIncarnation} from '../registry/mod.ts';
import {handleKind} from '../supervision/handle-kind.ts';
import {type Logger} from '../telemetry/mod.ts';
import {type NamedLimit} from './endpoint-limit.ts';
import {type LimitedEndpoint} from './limited-endpoint.ts';
import {type LimitedEndpoints} from './limited-endpoints.ts';
import {type LimitObservation} from './permit-message.ts';

/** Options of {@linkcode LimitObserver}. */
export type LimitObserverOptions = {
	limitedEndpoints: Pick<LimitedEndpoints, 'lookUp' | 'track'>;
	/** Called with an endpoint that has named its first limit here. */
	onLimited: (limited: LimitedEndpoint) => void;
	/** Called with a change of a known limit. */
	onChange: (limited: LimitedEndpoint, change: LimitObservation) => void;
	logger: Logger;
	/** Returns monotonic time, in milliseconds. */
	clock: () => number;
};

/** Maximum number of incarnations with an unreadable limit that are remembered, so that each is logged once. */
const maximumUnreadable = 1000;

/**
 * Tells new, changed and lifted limits from the responses of endpoints.
 *
 * @example
 * ```ts
 * observer.observe(endpoint, {kind: 'limit', requestsPerSecond: 1.5}, sentAt);
 * ```
 */
export class LimitObserver {
	readonly #options: LimitObserverOptions;
	readonly #unreadable = new Set<string>();

	constructor(options: LimitObserverOptions) {
		this.#options = options;
	}

	/**
	 * Records what a response states about the endpoint's limit.
	 *
	 * @param endpoint The endpoint that responded.
	 * @param named What the response states.
	 * @param sentAt Monotonic time at which the request was sent, in milliseconds; a response without a limit lifts only one that was known then.
	 */
	observe(endpoint: EndpointIncarnation, named: NamedLimit, sentAt: number): void {
		handleKind(named, {
			none: () => {
				this.#observeNone(endpoint, sentAt);
			},
			limit: ({requestsPerSecond}) => {
				this.#observeLimit(endpoint, requestsPerSecond);
			},
			unreadable: ({text}) => {
				this.#observeUnreadable(endpoint, text);
			},
		});
	}

	#observeNone(endpoint: EndpointIncarnation, sentAt: number): void {
		const {limitedEndpoints, onChange, clock} = this.#options;
		const limited = limitedEndpoints.lookUp(endpoint);
		if (limited && sentAt > limited.namedAt) {
			onChange(limited, {ageMilliseconds: Math.max(0, clock() - sentAt)});
		}
	}

	#observeLimit(endpoint: EndpointIncarnation, requestsPerSecond: number): void {
		const {limitedEndpoints, onLimited, onChange, logger, clock} = this.#options;
		const limited = limitedEndpoints.lookUp(endpoint);
		const namedAt = clock();
		if (!limited) {
			logger.info('endpoint names a limit', {endpoint: endpoint.id, startedAt: endpoint.startedAt, requestsPerSecond});
			const first = limitedEndpoints.track(endpoint, {requestsPerSecond, namedAt, holder: undefined});
			first.observedAt = namedAt;
			onLimited(first);
			return;
		}

		limited.namedAt = namedAt;
		limited.observedAt = namedAt;
		if (limited.requestsPerSecond !== requestsPerSecond) {
			limited.requestsPerSecond = requestsPerSecond;
			onChange(limited, {requestsPerSecond, ageMilliseconds: 0});
		}
	}

	#observeUnreadable({id, startedAt}: EndpointIncarnation, text: string): void {
		const incarnation = `${id}/${startedAt}`;
		if (this.#unreadable.has(incarnation)) {
			return;
		}

		if (this.#unreadable.size >= maximumUnreadable) {
			this.#unreadable.clear();
		}

		this.#unreadable.add(incarnation);
		this.#options.logger.warn('limit of an endpoint cannot be read and is ignored', {endpoint: id, startedAt, text});
	}
}
