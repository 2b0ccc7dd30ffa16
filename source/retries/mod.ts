/**
 * How many retries all gateways together may make.
 *
 * @module
 */

export * from './sliding-count.ts';
