/**
 * Settings documents: JSON with comments, validated against a schema.
 *
 * @module
 */

export * from './gateway-settings.ts';
export * from './load-settings.ts';
export * from './read-document.ts';
export * from './router-settings.ts';
