/**
 * Admission of requests.
 *
 * @module
 */

export * from './admission.ts';
export * from './fair-queue.ts';
export * from './hold-time.ts';
export * from './retry-budget.ts';
export * from './service-admission.ts';
export * from './suspects/mod.ts';
