/**
 * Fleets and files for tests of the configuration.
 *
 * @module
 */
import {request} from 'undici';
import {PlatformClient} from '../table-service/mod.ts';
import {Fleet, operatorKey} from './fleet.ts';

/** Options that let the publisher ask routers whether a version is in force. */
export const asking = ['--operator-key', operatorKey];

/** Returns a plain service's file; tests change its deadline. */
export function deskFile(deadlineSeconds: number, service = 'desk'): Record<string, unknown> {
	return {service, kind: 'plain', deadlineSeconds};
}

/** Creates a fleet of routers that know each other from the host list. */
export async function createRouters(count: number): Promise<Fleet> {
	const fleet = await Fleet.create();
	for (let number = 1; number <= count; number++) {
		await fleet.startRouter(`router-${number}`, {}, number % 2 === 0 ? 'zone-b' : 'zone-a');
	}

	await fleet.publishHosts();
	return fleet;
}

/** Returns a client of the fleet's platform. */
export function platformOf(fleet: Fleet): PlatformClient {
	return new PlatformClient({url: `http://${fleet.process('platform').address}`});
}

/** Version that a router has in force. */
export async function versionOn(fleet: Fleet, name: string): Promise<number> {
	const status = await fleet.operator<{configurationVersion: number}>(name, '/status');
	return status.configurationVersion;
}

/** Number of the version in force by the table; 0 before the first. */
export async function versionInTable(fleet: Fleet): Promise<number> {
	const {rows} = await fleet.control<{rows: Array<{key: string; value: {version: number}}>}>('platform', '/control/rows?table=configuration');
	return rows.find(({key}) => key === 'head')?.value.version ?? 0;
}

/** Asks a router for a path that does not exist: 404 for a key in force, 401 for another one, 503 when it is not ready, 0 without an answer. */
export async function statusForKey(fleet: Fleet, name: string, key: string): Promise<number> {
	try {
		const answer = await request(`http://${fleet.hosts.get(name)!.entry!.callers}/v1/nothing`, {
			headers: {authorization: `Bearer ${key}`}, signal: AbortSignal.timeout(2000),
		});
		await answer.body.dump();
		return answer.statusCode;
	} catch {
		return 0;
	}
}
