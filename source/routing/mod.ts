/**
 * The configuration of routes, services and workspaces, and what it allows.
 *
 * @module
 */

export * from './admit-request.ts';
export * from './model.ts';
export * from './route-table.ts';
