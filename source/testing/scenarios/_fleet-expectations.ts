/**
 * Expectations about the state of the fleet; each waits until it holds.
 *
 * @module
 */
import assert from 'node:assert/strict';
import {request} from 'undici';
import * as z from 'zod';
import {usageRowSchema, usageTable} from '../../accounts/mod.ts';
import {type Row} from '../../table-service/mod.ts';
import {verb, type Verbs} from './_verb.ts';

const withinSeconds = z.number().positive().default(20);

/** Words that check processes, configuration, entries and effects. */
export const fleetExpectations: Verbs = {
	runs: verb({
		key: z.string(), exactly: z.number().int().nonnegative().optional(), atMost: z.number().int().nonnegative().default(1),
	}, async ({key, exactly, atMost}, run) => {
		const counted = await run.runsOf(key);
		if (exactly === undefined) {
			assert.ok(counted <= atMost, `${key} ran ${counted} times`);
		} else {
			assert.equal(counted, exactly, `runs of ${key}`);
		}

		return `${key} ran ${counted} times`;
	}),
	configuration: verb({version: z.number().int().positive(), routers: z.array(z.string()).optional(), withinSeconds}, async ({version, routers, withinSeconds: seconds}, run) => {
		const names = routers ?? run.routerNames;
		for (const name of names) {
			await run.fleet.until(async () => {
				const status = await run.fleet.operator<{configurationVersion: number}>(name, '/status');
				return status.configurationVersion === version;
			}, `${name} has version ${version}`, seconds * 1000);
		}

		return `version ${version} in force on ${names.join(', ')}`;
	}),
	host_leaving: verb({host: z.string(), routers: z.array(z.string()).optional(), withinSeconds}, async ({host, routers, withinSeconds: seconds}, run) => {
		const names = routers ?? run.routerNames;
		for (const name of names) {
			await run.fleet.until(async () => {
				const {leavingHosts} = await run.fleet.operator<{leavingHosts: string[]}>(name, '/status');
				return leavingHosts.includes(host);
			}, `${name} holds ${host} for leaving`, seconds * 1000);
		}

		return `${names.join(', ')} hold ${host} for leaving`;
	}),
	entries: verb({
		from: z.string(), list: z.array(z.string()).default([]), omit: z.array(z.string()).default([]), withinSeconds,
	}, async ({from, list, omit, withinSeconds: seconds}, run) => {
		const addressOf = (name: string) => run.fleet.hosts.get(name)!.entry!.callers;
		await run.fleet.until(async () => {
			const response = await request(`http://${addressOf(from)}/v1/entries`, {signal: AbortSignal.timeout(1000)});
			const {entries} = await response.body.json() as {entries: Array<{address: string}>};
			const addresses = new Set(entries.map(({address}) => address));
			return list.every(name => addresses.has(addressOf(name))) && omit.every(name => !addresses.has(addressOf(name)));
		}, `entries of ${from} list ${list.join(', ')} and omit ${omit.join(', ')}`, seconds * 1000);
		return `entries of ${from} are as expected`;
	}),
	exited: verb({process: z.string(), code: z.number().int().default(0), withinSeconds}, async ({process, code, withinSeconds: seconds}, run) => {
		const {child} = run.fleet.process(process);
		await run.fleet.until(() => child.exitCode !== null || child.signalCode !== null, `${process} has ended`, seconds * 1000);
		assert.equal(child.exitCode, code, `exit code of ${process}`);
		return `${process} exited with ${code}`;
	}),
	ran_on: verb({
		request: z.string(),
		/** Engines that may have taken the request at most. */
		enginesAtMost: z.number().int().positive().optional(),
		/** Engines that must not have taken it. */
		never: z.array(z.string()).default([]),
	}, async ({request: name, enginesAtMost, never}, run) => {
		const engines = await run.enginesThatRan(run.generation(name).prompt);
		assert.ok(enginesAtMost === undefined || engines.length <= enginesAtMost, `${name} ran on ${engines.join(', ')}`);
		assert.deepEqual(engines.filter(engine => never.includes(engine)), [], `${name} ran where it must not`);
		return `${name} ran on ${engines.join(', ')}`;
	}),
	extra_work: verb({tokensAtMost: z.number().int().nonnegative()}, async ({tokensAtMost}, run) => {
		const extra = await run.extraWork();
		assert.ok(extra <= tokensAtMost, `${extra} tokens of work beyond an undisturbed run`);
		return `${extra} tokens of work beyond an undisturbed run`;
	}),
	usage: verb({workspace: z.string().default('test'), deliveredTokens: z.number().int().nonnegative(), withinSeconds}, async ({workspace, deliveredTokens, withinSeconds: seconds}, run) => {
		let counted = 0;
		await run.fleet.until(async () => {
			const {rows} = await run.fleet.control<{rows: Row[]}>('platform', `/control/rows?table=${usageTable}`);
			const usage = rows.map(({value}) => usageRowSchema.parse(value)).filter(row => row.workspace === workspace);
			counted = usage.reduce((sum, row) => sum + row.delivered_tokens, 0);
			return counted >= deliveredTokens;
		}, `${deliveredTokens} tokens are accounted to ${workspace}`, seconds * 1000);
		assert.equal(counted, deliveredTokens, `tokens accounted to ${workspace}`);
		return `${counted} tokens accounted to ${workspace}`;
	}),
};
