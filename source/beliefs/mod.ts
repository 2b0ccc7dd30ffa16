/**
 * Caches of the configuration and the endpoints that the store holds, with the age of their content.
 *
 * @module
 */

export * from './configuration-cache.ts';
export * from './endpoint-list.ts';
export * from './follow-table.ts';
export * from './missing-entries.ts';
export * from './update-times.ts';
export * from './store-clock.ts';
