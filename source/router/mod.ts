/**
 * The router daemon.
 *
 * @module
 */

export * from './router.ts';
