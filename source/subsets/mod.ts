/**
 * Subsets: which few of a service's endpoints a gateway considers, so that it keeps few connections and asks few engines.
 *
 * @module
 */

export * from './endpoint-ring.ts';
export * from './gateway-subsets.ts';
export * from './query-steps.ts';
