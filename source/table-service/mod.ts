/**
 * The platform's services: table, objects, weights and host list.
 *
 * @module
 */

export * from './host-list-protocol.ts';
export * from './platform-client.ts';
export * from './table-protocol.ts';
