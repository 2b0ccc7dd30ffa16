/**
 * What a gateway takes in from callers that it does not control: bodies within its memory, connections within its descriptors.
 *
 * @module
 */

export * from './body-account.ts';
export * from './connection-guard.ts';
export * from './intake-limits.ts';
export * from './read-request-body.ts';
