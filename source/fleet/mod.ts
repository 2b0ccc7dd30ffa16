/**
 * The gateways of one installation and what they tell each other.
 *
 * @module
 */

export * from './ask-seeds.ts';
export * from './choose-entries.ts';
export * from './choose-reader.ts';
export type {ExchangeMessage, Known, News} from './exchange-protocol.ts';
export * from './exchange-server.ts';
export * from './follow-members.ts';
export * from './follow-source.ts';
export type * from './member.ts';
export * from './pack-configuration.ts';
export * from './register-member.ts';
export * from './member-table.ts';
