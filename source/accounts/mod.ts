/**
 * Usage totals by workspace.
 *
 * @module
 */

export * from './accounts.ts';
export * from './heard-usage.ts';
export * from './usage-row.ts';
export * from './usage-store.ts';
export * from './write-usage.ts';
