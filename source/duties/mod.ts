/**
 * Duties, each of which one router holds at a time: leases, fencing and reconciliation of engines.
 *
 * @module
 */

export * from './poll-duties.ts';
export * from './lease.ts';
export * from './lease-manager.ts';
export * from './reconcile-engines.ts';
export * from './desired-state.ts';
