/**
 * What a router knows of configuration and endpoints, and how old that is.
 *
 * @module
 */

export * from './clock.ts';
export * from './configuration-belief.ts';
export * from './endpoint-list.ts';
export * from './follow-table.ts';
export * from './news-times.ts';
export * from './store-clock.ts';
