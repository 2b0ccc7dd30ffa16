/**
 * Limits on the request rate that endpoints name for all gateways together.
 *
 * @module
 */

export * from './endpoint-limit.ts';
export * from './endpoint-limiter.ts';
export * from './held-limit.ts';
export * from './permit-client.ts';
export * from './limit-lease-keeper.ts';
export * from './limit-lease-table.ts';
export * from './permit-bucket.ts';
export * from './permit-message.ts';
export * from './permit-queue.ts';
