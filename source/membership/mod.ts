/**
 * Hosts, peers and entries.
 *
 * @module
 */

export * from './follow-hosts.ts';
export * from './host-directory.ts';
