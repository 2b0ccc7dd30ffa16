/**
 * Roll-outs: moves a service's traffic to a new version in steps, or back.
 *
 * @module
 */

export * from './choose-versions.ts';
export * from './rollout.ts';
export * from './rollout-conductor.ts';
export * from './rollout-table.ts';
export * from './rollouts.ts';
export * from './version-ticket.ts';
