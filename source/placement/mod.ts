/**
 * Choice of endpoints for requests.
 *
 * @module
 */

export * from './circuit-breakers.ts';
export * from './endpoint-limits.ts';
export * from './endpoint-shares.ts';
export * from './permitted-placement.ts';
export * from './poll-endpoints.ts';
export * from './placement.ts';
export * from './prefix-key.ts';
export * from './rendezvous.ts';
