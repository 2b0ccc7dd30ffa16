/**
 * Reaches the gateways that lend retries.
 *
 * @module
 */
import {type LenderPort} from '../retries/peer-borrower.ts';
import {type Logger} from '../telemetry/mod.ts';
import {type ExchangeClient} from './exchange-client.ts';
import {type MemberTable} from './member-table.ts';

/** Options of {@linkcode createLenderPort}. */
export type LenderPortOptions = {
	/** Client that no other calls share, since a failed call closes the connection. */
	client: Pick<ExchangeClient, 'requestRetryLoan'>;
	members: Pick<MemberTable, 'self' | 'live'>;
	logger: Logger;
};

/**
 * Creates the calls to other gateways that borrowing of retries depends on.
 *
 * @param options Client, members and logger.
 * @example
 * ```ts
 * const peers = new PeerBorrower({...createLenderPort({client: new ExchangeClient(), members, logger}), ...options});
 * ```
 */
export function createLenderPort({client, members, logger}: LenderPortOptions): LenderPort {
	const {name: self} = members.self;
	return {
		self,
		gateways: ({steady}) => members.live(steady).filter(({name}) => name !== self),
		async requestLoan({name, peers: address}, request, timeoutMilliseconds) {
			const reply = await client.requestRetryLoan(address, request, timeoutMilliseconds);
			if (reply.isErr()) {
				logger.info('no reply to a request for a loan of retries', {service: request.service, gateway: name, reason: reply.error});
			}

			return reply.unwrapOr(undefined);
		},
	};
}
