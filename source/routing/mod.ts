/**
 * The configuration of routes, services and workspaces, and the admission of requests by it.
 *
 * @module
 */

export * from './admit-request.ts';
export * from './model.ts';
export * from './route-table.ts';
