/**
 * Operator commands and the client of routers' operator ports.
 *
 * @module
 */

export type * from './command.ts';
export * from './commands.ts';
export * from './describe-publication.ts';
export * from './explain-request.ts';
export * from './operator-client.ts';
export * from './read-status.ts';
export * from './sum-usage.ts';
export * from './text-table.ts';
export * from './wait-until-in-force.ts';
