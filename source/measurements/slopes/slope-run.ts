/**
 * One point of a slope: a fleet of a given size, left alone for a while and then sampled.
 *
 * @module
 */
import {setTimeout as delay} from 'node:timers/promises';
import {pause} from '../../supervision/mod.ts';
import {Fleet, workspacesFile, type RouterChanges} from '../../testing/fleet.ts';
import {runLoad} from './slope-load.ts';
import {
	meanSpending, sampleRouter, spendingBetween, type RouterSpending,
} from './router-sample.ts';

/** Size and load of a fleet; one field is varied at a time. */
export type SlopeSize = {
	routers: number;
	endpoints: number;
	workspaces: number;
	changesPerMinute: number;
	/** Live generations at the measured router. */
	generations: number;
	tokensPerSecond: number;
	/** Short requests for each second at the measured router. */
	requestsPerSecond: number;
};

/** Time until connections are up and start-up work is done, in milliseconds. */
const settleMilliseconds = 12_000;

/** Time between the two samples, in milliseconds. */
const windowMilliseconds = 10_000;

/** Silence limit above the time between two tokens of the slowest point, in milliseconds. */
const slowestStepMilliseconds = 5000;

/** Engines that serve the load. */
const loadedEngines = 4;

/**
 * Measures what a router spends in a fleet of a given size.
 *
 * @param size The size.
 * @param changes Changes to the settings of every router. Default none.
 * @returns Mean over all routers, or the loaded router alone where there is a load.
 */
export async function runSlopePoint(size: SlopeSize, changes: RouterChanges = {}): Promise<RouterSpending & {losses: number}> {
	await using fleet = await startFleet(size, changes);
	const loaded = size.generations > 0 || size.requestsPerSecond > 0;
	const names = Array.from({length: loaded ? 1 : size.routers}, (_, position) => `router-${position}`);
	const stop = new AbortController();
	const load = runLoad({
		address: fleet.hosts.get('router-0')!.entry!.callers,
		generations: size.generations,
		tokensPerGeneration: 8000,
		requestsPerSecond: size.requestsPerSecond,
		keys: workspaceNames(size.workspaces).map(name => keyOf(name)),
		signal: stop.signal,
	});
	const publications = publishChanges(fleet, size, stop.signal);
	await delay(settleMilliseconds);
	const before = await Promise.all(names.map(async name => sampleRouter(fleet, name)));
	const startedAt = performance.now();
	await delay(windowMilliseconds);
	const after = await Promise.all(names.map(async name => sampleRouter(fleet, name)));
	const seconds = (performance.now() - startedAt) / 1000;
	stop.abort();
	await publications;
	const spendings = names.map((_, position) => spendingBetween(before[position]!, after[position]!, seconds));
	return {...meanSpending(spendings), losses: await load};
}

async function startFleet(size: SlopeSize, changes: RouterChanges): Promise<Fleet> {
	const fleet = await Fleet.create();
	const stepMilliseconds = size.tokensPerSecond > 0 ? Math.max(1, (size.generations * 1000) / size.tokensPerSecond) : 100;
	const engines = Array.from({length: loadedEngines}, async (_, position) => fleet.startEngine(`engine-${position}`, 'briefs', {
		stepMilliseconds, batchSize: 256, prefillMillisecondsPerToken: 0,
	}));
	await Promise.all(engines);
	await startIdleEndpoints(fleet, size.endpoints);
	for (let position = 0; position < size.routers; position += 1) {
		await fleet.startRouter(`router-${position}`, {
			platform: {hostListMilliseconds: 1000, configurationMilliseconds: 3000}, log: {level: 'warn'}, ...changes,
		}, `zone-${position % 4}`);
	}

	await fleet.publishHosts();
	const published = await fleet.publish({...serviceFiles(0), 'all.workspaces.jsonc': workspacesOf(size.workspaces)});
	if (published.code !== 0) {
		throw new Error(published.errors);
	}

	await fleet.waitUntilReady();
	return fleet;
}

/** Puts idle endpoints of a second service on the host list, all in one process. */
async function startIdleEndpoints(fleet: Fleet, count: number): Promise<void> {
	const [address = '', port = '0'] = fleet.allocate().split(':');
	const firstPort = Number(port) + 10_000;
	await fleet.startStandIn('idle-engines', 'idle-engines', {address, firstPort, count});
	for (let position = 0; position < count; position += 1) {
		fleet.addHost({
			name: `idle-${position}`,
			availabilityZone: `zone-${position % 4}`,
			region: 'home',
			state: 'live',
			endpoints: [{service: 'notes', address: `${address}:${firstPort + position}`}],
		});
	}
}

async function publishChanges(fleet: Fleet, size: SlopeSize, signal: AbortSignal): Promise<void> {
	for (let change = 1; size.changesPerMinute > 0 && !signal.aborted; change += 1) {
		await fleet.publish(serviceFiles(change));
		await pause(60_000 / size.changesPerMinute, signal);
	}
}

function serviceFiles(change: number): Record<string, unknown> {
	const model = {name: 'model', version: 'v1'};
	return {
		'briefs.service.jsonc': {
			service: 'briefs', kind: 'model', model, engineTokens: 100_000_000, recovery: {silenceMilliseconds: slowestStepMilliseconds},
		},
		'notes.service.jsonc': {
			service: 'notes', kind: 'model', model, deadlineSeconds: 600 + change,
		},
	};
}

function workspaceNames(count: number): string[] {
	return Array.from({length: count}, (_, position) => `workspace-${position}`);
}

function workspacesOf(count: number): unknown {
	return workspacesFile(Object.fromEntries(workspaceNames(count).map(name => [name, {key: keyOf(name)}])));
}

function keyOf(workspace: string): string {
	return `key-of-${workspace}`;
}
