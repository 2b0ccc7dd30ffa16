/**
 * Hosts, peers and entries.
 *
 * @module
 */

export * from './choose-entries.ts';
export * from './choose-peers.ts';
export * from './configuration-exchange.ts';
export * from './follow-hosts.ts';
export * from './follow-peers.ts';
export * from './hint-cache.ts';
export * from './host-directory.ts';
export * from './host-hints.ts';
export * from './load-tracker.ts';
export type * from './peer-context.ts';
export * from './peer-registry.ts';
export {peerKeyField, type Hint} from './peer-protocol.ts';
export {type RouterIdentity, type UsageExchange, type UsageTotals} from './usage-exchange.ts';
