/**
 * The gateway daemon, which proxies requests of callers to endpoints on the users' platform.
 *
 * @module
 */

export * from './gateway.ts';
