/**
 * The scenario language: files that start a fleet, inject faults and state what must hold.
 *
 * @module
 */

export * from './draw-scenario.ts';
export * from './explore-scenarios.ts';
export * from './read-scenario.ts';
export * from './run-scenario.ts';
export * from './scenario.ts';
