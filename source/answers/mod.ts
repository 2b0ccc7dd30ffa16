/**
 * Error responses shared by all components that can refuse a request.
 *
 * @module
 */

export * from './refusal.ts';
