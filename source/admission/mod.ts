/**
 * Limits, fairness and deadlines of requests.
 *
 * @module
 */

export * from './admission.ts';
