/**
 * Error answers shared by every part that can refuse a request.
 *
 * @module
 */

export * from './refusal.ts';
