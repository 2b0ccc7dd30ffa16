/**
 * The task supervisor and utilities shared by its tasks.
 *
 * @module
 */

export * from './caller-signal.ts';
export * from './connect-errors.ts';
export * from './early-listener.ts';
export * from './handle-kind.ts';
export * from './invariant.ts';
export * from './listen.ts';
export * from './pause.ts';
export * from './poll.ts';
export * from './supervisor.ts';
