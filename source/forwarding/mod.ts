/**
 * Forwards callers' requests to endpoints and returns the responses.
 *
 * @module
 */

export * from './admit-in-time.ts';
export * from './caller-connections.ts';
export * from './caller-response.ts';
export * from './closing-reason.ts';
export * from './endpoint-connections.ts';
export * from './exchange.ts';
export * from './forward-call.ts';
export * from './forward-generation.ts';
export type * from './forwarding-dependencies.ts';
export * from './response-buffers.ts';
export * from './crash-detector.ts';
export type * from './request-terms.ts';
