/**
 * Choice of endpoints.
 *
 * @module
 */

export * from './placement.ts';
