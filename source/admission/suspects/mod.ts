/**
 * Detection and blocking of requests that crash endpoints.
 *
 * @module
 */

export * from './crashes.ts';
export * from './blocked-requests.ts';
export * from './suspect-monitor.ts';
export * from './suspects.ts';
export * from './endpoint-claims.ts';
