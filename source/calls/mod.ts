/**
 * Calls to plain services: idempotent ones are retried and hedged, all others run at most once.
 *
 * @module
 */

export * from './call.ts';
export * from './claim.ts';
export * from './claim-store.ts';
export * from './idempotency.ts';
export * from './recent-latency.ts';
export * from './run-at-most-once.ts';
export * from './run-idempotent.ts';
export * from './settle-claim.ts';
