/**
 * Client library behind `azuretack-call`.
 *
 * @module
 */

export * from './complete.ts';
export * from './entry-list.ts';
