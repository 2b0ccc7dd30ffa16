/**
 * The adapter to the users' platform: the only place that knows its names, formats and calls. It decides nothing.
 *
 * @module
 */

export * from './configuration-row.ts';
export * from './endpoint-row.ts';
export * from './engine-report.ts';
export * from './entry-calls.ts';
export * from './request-terms.ts';
export * from './store-client.ts';
