/**
 * Service files, versions of the configuration, and the version in force.
 *
 * @module
 */

export * from './check-workspaces.ts';
export * from './collect-files.ts';
export * from './commit-version.ts';
export * from './configuration.ts';
export * from './configuration-in-force.ts';
export * from './follow-configuration.ts';
export * from './merge-changes.ts';
export * from './publish.ts';
export * from './service-file.ts';
export * from './split-file.ts';
export * from './stored-configuration.ts';
export * from './version-loader.ts';
