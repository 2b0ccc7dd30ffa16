/**
 * A fleet whose usage rows tests watch.
 *
 * @module
 */
import assert from 'node:assert/strict';
import {setTimeout as delay} from 'node:timers/promises';
import {complete} from '../client/mod.ts';
import {type Row} from '../table-service/mod.ts';
import {usageTable, type UsageRow} from '../accounts/mod.ts';
import {Fleet, testKey, workspacesFile} from './fleet.ts';

/** Time between two reports of usage to a keeper, in milliseconds. */
export const hintMilliseconds = 200;
/** Settings of the peers. */
export const peers = {heartbeatMilliseconds: 200};

/** Starts one engine and some routers. */
export async function createUsageFleet(routers: string[], usageMilliseconds: number, usageHintMilliseconds = hintMilliseconds): Promise<Fleet> {
	const fleet = await Fleet.create();
	await fleet.startEngine('engine-1', 'briefs');
	for (const name of routers) {
		await fleet.startRouter(name, {peers: {...peers, usageHintMilliseconds}, platform: {usageMilliseconds, timeoutMilliseconds: 300}});
	}

	await fleet.publishHosts();
	const published = await fleet.publish({
		'briefs.service.jsonc': {service: 'briefs', kind: 'model', model: {name: 'model', version: 'v1'}},
		'all.workspaces.jsonc': workspacesFile(),
	});
	assert.equal(published.code, 0, published.errors);
	await fleet.waitUntilReady();
	return fleet;
}

/** Reads the rows of the usage table. */
export async function rowsOf(fleet: Fleet): Promise<UsageRow[]> {
	const {rows} = await fleet.control<{rows: Row[]}>('platform', `/control/rows?table=${usageTable}`);
	return rows.map(({value}) => value as UsageRow);
}

/** Returns the delivered tokens of all rows. */
export async function totalOf(fleet: Fleet): Promise<number> {
	const rows = await rowsOf(fleet);
	return rows.reduce((sum, row) => sum + row.delivered_tokens, 0);
}

/** Streams an answer; returns the number of tokens received. */
export async function generate(fleet: Fleet, router: string, tokens: number): Promise<number> {
	const answer = await complete({
		entries: fleet.only(router), key: testKey, request: {model: 'briefs', prompt: 'Clans', max_tokens: tokens},
	});
	return answer._unsafeUnwrap().tokens;
}

/** Watches the sum of the table until stopped; returns whether it ever fell or went above a bound. */
export function watchTotals(fleet: Fleet, bound: () => number): () => Promise<{fell: boolean; exceeded: boolean}> {
	const stopping = new AbortController();
	const watched = (async () => {
		const seen = {fell: false, exceeded: false};
		let last = 0;
		while (!stopping.signal.aborted) {
			const total = await totalOf(fleet);
			seen.fell ||= total < last;
			seen.exceeded ||= total > bound();
			last = total;
			await delay(20);
		}

		return seen;
	})();
	return async () => {
		stopping.abort();
		return watched;
	};
}

/** Waits until the table holds a total. */
export async function untilTotal(fleet: Fleet, total: number): Promise<void> {
	await fleet.until(async () => await totalOf(fleet) === total, `the table holds ${total} tokens`);
}

