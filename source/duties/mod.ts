/**
 * Duties that one router holds at a time: leases, fencing and orders to engines.
 *
 * @module
 */

export * from './follow-duties.ts';
export * from './lease.ts';
export * from './lease-keeper.ts';
export * from './order-engines.ts';
export * from './wanted-state.ts';
