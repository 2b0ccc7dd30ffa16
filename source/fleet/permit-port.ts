/**
 * Reaches the gateway that grants the permits of a limited endpoint.
 *
 * @module
 */
import {type EndpointLimiterOptions} from '../limits/endpoint-limiter.ts';
import {permitLifetimeMilliseconds} from '../limits/permit-message.ts';
import {probeEndpoint, type ProbeOutcome} from '../supervision/probe-endpoint.ts';
import {type Logger} from '../telemetry/mod.ts';
import {type ExchangeClient} from './exchange-client.ts';

/** Options of {@linkcode createPermitPort}. */
export type PermitPortOptions = {
	/** Client that no other calls share, since a failed call closes the connection. */
	client: Pick<ExchangeClient, 'requestPermit'>;
	logger: Logger;
	/** Returns the addresses at which all other live gateways are reached. Default none. */
	peerAddresses?: () => readonly string[];
	/** Returns a number from 0 up to 1. Default `Math.random`. */
	random?: () => number;
	/** Probes whether a process listens at an address. Default opens a connection. */
	probe?: (address: string) => Promise<ProbeOutcome>;
};

/** Timeout for connecting to a gateway that may have ended, in milliseconds. */
const probeTimeoutMilliseconds = 150;

/** Other gateways that are probed to tell an ended gateway from a broken network. */
const witnesses = 3;

/**
 * Creates the calls to other gateways that the limiter depends on.
 *
 * @param options Client and logger.
 * @example
 * ```ts
 * const limiter = new EndpointLimiter({...createPermitPort({client: new ExchangeClient(), logger}), ...options});
 * ```
 */
export function createPermitPort({
	client,
	logger,
	peerAddresses = () => [],
	random = Math.random,
	probe = async address => probeEndpoint(address, probeTimeoutMilliseconds),
}: PermitPortOptions): Pick<EndpointLimiterOptions, 'askHolder' | 'hasEnded'> {
	return {
		async askHolder(address, request) {
			const reply = await client.requestPermit(address, request, permitLifetimeMilliseconds);
			if (reply.isErr()) {
				logger.info('no reply to a request for a permit', {endpoint: request.endpoint.id, address, reason: reply.error});
			}

			return reply.unwrapOr(undefined);
		},
		async hasEnded(address) {
			if (await probe(address) !== 'ended') {
				return false;
			}

			const others = peerAddresses()
				.filter(other => other !== address)
				.map(other => ({other, order: random()}))
				.toSorted((left, right) => left.order - right.order)
				.slice(0, witnesses);
			const outcomes = await Promise.all(others.map(async ({other}) => probe(other)));
			return reachesMost(outcomes);
		},
	};
}

/**
 * Whether a gateway reaches most of the others, so that a refused connection to one of them proves that its process has ended. A gateway that is
 * cut off from the others is refused by them too, although they live, and after a while knows of none.
 */
function reachesMost(outcomes: readonly ProbeOutcome[]): boolean {
	const living = outcomes.filter(outcome => outcome === 'lives').length;
	return living * 2 > outcomes.length;
}
