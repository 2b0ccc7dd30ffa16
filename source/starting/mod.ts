/**
 * Decisions on requests that arrive before a gateway has its initial state.
 *
 * @module
 */

export * from './start-hold.ts';
