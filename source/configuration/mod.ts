/**
 * Service files, publication of configuration versions, and the active configuration.
 *
 * @module
 */

export * from './check-workspaces.ts';
export * from './collect-files.ts';
export * from './commit-version.ts';
export * from './configuration.ts';
export * from './active-configuration.ts';
export * from './follow-configuration.ts';
export * from './merge-changes.ts';
export * from './publish.ts';
export * from './service-file.ts';
export * from './split-file.ts';
export * from './stored-configuration.ts';
export * from './version-loader.ts';
