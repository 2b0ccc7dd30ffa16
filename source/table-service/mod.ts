/**
 * Client and messages of the platform's table service, object store and host list.
 *
 * @module
 */

export * from './host-list-protocol.ts';
export * from './platform-client.ts';
export * from './table-protocol.ts';
