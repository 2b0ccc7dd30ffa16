/**
 * Requests that kill endpoints.
 *
 * @module
 */

export * from './deaths.ts';
export * from './refused-requests.ts';
export * from './suspect-watch.ts';
export * from './suspects.ts';
export * from './trial-claims.ts';
