/**
 * Caches of the configuration and the endpoints that the store holds, with the age of their content.
 *
 * @module
 */

export * from './clock.ts';
export * from './configuration-cache.ts';
export * from './decode-row.ts';
export * from './endpoint-entry.ts';
export * from './endpoint-list.ts';
export * from './follow-table.ts';
export * from './missing-entries.ts';
export * from './update-times.ts';
export * from './row-cache.ts';
export * from './store-clock.ts';
export * from './store-era-record.ts';
export * from './store-revision.ts';
