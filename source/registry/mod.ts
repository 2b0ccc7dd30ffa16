/**
 * Registered endpoints and their incarnations.
 *
 * @module
 */

export * from './endpoint-entry.ts';
