/**
 * Membership of the gateways of one installation, and the exchange of state between them.
 *
 * @module
 */

export * from './query-seeds.ts';
export * from './list-gateways.ts';
export * from './choose-reader.ts';
export type {ExchangeMessage, KnownRevisions, StoreUpdate} from './exchange-protocol.ts';
export * from './exchange-client.ts';
export * from './exchange-server.ts';
export * from './follow-members.ts';
export * from './follow-source.ts';
export * from './lender-port.ts';
export type * from './member.ts';
export * from './pack-configuration.ts';
export * from './permit-port.ts';
export * from './permit-protocol.ts';
export * from './register-member.ts';
export * from './member-table.ts';
