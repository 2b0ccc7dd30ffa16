/**
 * Clients of model engines and plain services.
 *
 * @module
 */

export * from './connection-refused.ts';
export * from './engine-client.ts';
export * from './engine-protocol.ts';
export * from './engine-stream.ts';
export * from './named-limit.ts';
export * from './pooled-service-client.ts';
export * from './service-message.ts';
export * from './send-once.ts';
