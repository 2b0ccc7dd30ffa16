/**
 * Rows that gateways keep in the store: the port to it, revisions, and a cache of rows that all gateways follow.
 *
 * @module
 */

export * from './decode-row.ts';
export * from './row-cache.ts';
export type * from './row-store.ts';
export * from './store-era-record.ts';
export * from './store-revision.ts';
