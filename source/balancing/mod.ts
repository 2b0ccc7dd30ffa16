/**
 * Load balancing: chooses the endpoint for a request.
 *
 * @module
 */

export * from './cached-prompt.ts';
export * from './choose-endpoint.ts';
export * from './choose-engine.ts';
export * from './endpoint-health.ts';
export * from './endpoint-loads.ts';
export * from './endpoint-backoff.ts';
