/**
 * Requests that end the process of each endpoint that runs them.
 *
 * @module
 */

export * from './request-identity.ts';
