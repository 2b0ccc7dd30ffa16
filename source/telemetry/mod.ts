/**
 * Logs, metrics and traces.
 *
 * @module
 */

export * from './logger.ts';
export * from './metrics.ts';
export * from './tracing.ts';
