/**
 * What a process takes in from callers that it does not control: bytes within its memory, connections within its descriptors, and both within its time.
 *
 * @module
 */

export * from './body-account.ts';
export * from './caller-connection.ts';
export * from './caller-memory.ts';
export * from './connection-guard.ts';
export * from './head-account.ts';
export * from './intake.ts';
export * from './intake-limits.ts';
export * from './peer-guard.ts';
export * from './read-request-body.ts';
export * from './reading-turns.ts';
export * from './request-intake.ts';
export * from './serve-questions.ts';
