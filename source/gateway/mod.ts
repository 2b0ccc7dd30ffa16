/**
 * The gateway daemon, which serves callers on the users' platform.
 *
 * @module
 */

export * from './gateway.ts';
