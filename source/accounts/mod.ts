/**
 * Usage totals by workspace.
 *
 * @module
 */

export * from './workspace-usage.ts';
export * from './peer-usage.ts';
export * from './usage-row.ts';
export * from './usage-store.ts';
export * from './usage-writer.ts';
