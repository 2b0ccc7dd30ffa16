/**
 * Service files, versions of the configuration, and the version in force.
 *
 * @module
 */

export * from './collect-files.ts';
export * from './configuration.ts';
export * from './configuration-in-force.ts';
export * from './follow-configuration.ts';
export * from './publish.ts';
export * from './service-file.ts';
export * from './stored-configuration.ts';
