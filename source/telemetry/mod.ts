/**
 * Logging, metrics and tracing.
 *
 * @module
 */

export * from './logger.ts';
export * from './metrics.ts';
export * from './tracing.ts';
