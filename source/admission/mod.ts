/**
 * Admission of requests at a router: fair queueing, the retry budget, and blocking of requests that crash endpoints.
 *
 * @module
 */

export * from './admission.ts';
export * from './fair-queue.ts';
export * from './hold-time.ts';
export * from './retry-budget.ts';
export * from './service-admission.ts';
export * from './suspects/mod.ts';
