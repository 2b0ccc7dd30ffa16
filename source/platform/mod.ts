/**
 * Adapter for the users' platform: the only place that knows the platform's names, formats and calls. It contains no decisions.
 *
 * @module
 */

export * from './configuration-row.ts';
export * from './decode-features.ts';
export * from './endpoint-row.ts';
export * from './engine-cache.ts';
export * from './engine-report.ts';
export * from './management-calls.ts';
export * from './request-headers.ts';
export * from './rollout-row.ts';
export * from './store-client.ts';
export * from './store-era.ts';
