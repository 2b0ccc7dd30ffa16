/**
 * The choice of endpoints.
 *
 * @module
 */

export * from './circuits.ts';
export * from './endpoint-limits.ts';
export * from './endpoint-shares.ts';
export * from './follow-endpoints.ts';
export * from './placement.ts';
export * from './prefix-key.ts';
export * from './rendezvous.ts';
