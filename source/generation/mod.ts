/**
 * Generations: cursors, attempts and recovery.
 *
 * @module
 */

export * from './cursor.ts';
export type * from './generation-parts.ts';
export type * from './progress.ts';
export * from './recovery-policy.ts';
export * from './run-generation.ts';
