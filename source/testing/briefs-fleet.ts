/**
 * A fleet of two engines of one service before two routers.
 *
 * @module
 */
import assert from 'node:assert/strict';
import {Fleet, workspacesFile} from './fleet.ts';

/** Options of {@linkcode createBriefsFleet}. */
export type BriefsFleetOptions = {
	/** Recovery policy of the service. Default that of a service without one. */
	policy?: 'latency' | 'cost';
};

/**
 * Starts engines `engine-1` and `engine-2` of the service `briefs`, and routers `router-1` and `router-2` in two availability zones; waits until the routers are ready.
 *
 * @example
 * ```ts
 * await using fleet = await createBriefsFleet();
 * ```
 */
export async function createBriefsFleet({policy}: BriefsFleetOptions = {}): Promise<Fleet> {
	const fleet = await Fleet.create();
	await fleet.startEngine('engine-1', 'briefs');
	await fleet.startEngine('engine-2', 'briefs');
	await fleet.startRouter('router-1');
	await fleet.startRouter('router-2', {}, 'zone-b');
	await fleet.publishHosts();
	const published = await fleet.publish({
		'briefs.service.jsonc': {
			service: 'briefs', kind: 'model', model: {name: 'model', version: 'v1'}, ...(policy && {recovery: {policy}}),
		},
		'all.workspaces.jsonc': workspacesFile(),
	});
	assert.equal(published.code, 0, published.errors);
	await fleet.waitUntilReady();
	return fleet;
}
