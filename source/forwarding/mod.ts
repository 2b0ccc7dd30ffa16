/**
 * Forwards callers' requests to endpoints.
 *
 * @module
 */

export * from './answer-caller.ts';
export * from './endpoint-connections.ts';
export type * from './exchange.ts';
export * from './forward-call.ts';
export * from './forward-generation.ts';
export type * from './forwarding-parts.ts';
export * from './held-answers.ts';
export * from './lost-attempts.ts';
export type * from './request-terms.ts';
