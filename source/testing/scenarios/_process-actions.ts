/**
 * Actions on processes of the fleet.
 *
 * @module
 */
import * as z from 'zod';
import {processSchema, type ProcessReference} from './_process-reference.ts';
import {type ScenarioContext} from './_scenario-context.ts';
import {verb, type Verbs} from './_verb.ts';

/** Sends a signal; returns the name of the process. */
async function signal(run: ScenarioContext, reference: ProcessReference, name: 'SIGKILL' | 'SIGSTOP' | 'SIGCONT' | 'SIGTERM'): Promise<string> {
	const found = await run.resolve(reference);
	run.fleet.signal(found, name);
	return `${name} to ${found}`;
}

/** Words that start, stop and change processes. */
export const processActions: Verbs = {
	kill: verb({process: processSchema}, async ({process}, run) => {
		const found = await run.resolve(process);
		run.fleet.signal(found, 'SIGKILL');
		await run.fleet.ended(found);
		return `killed ${found}`;
	}),
	pause: verb({process: processSchema}, async ({process}, run) => signal(run, process, 'SIGSTOP')),
	wake: verb({process: processSchema}, async ({process}, run) => signal(run, process, 'SIGCONT')),
	stop: verb({process: processSchema}, async ({process}, run) => signal(run, process, 'SIGTERM')),
	restart: verb({process: z.string()}, async ({process}, run) => {
		await run.restart(process);
		return `restarted ${process}`;
	}),
	start: verb({
		engine: z.string(),
		service: z.string(),
		options: z.record(z.string(), z.unknown()).default({}),
	}, async ({engine, service, options}, run) => {
		await run.startEngine({
			name: engine, service, options, availabilityZone: 'zone-a',
		});
		await run.fleet.publishHosts();
		return `started ${engine}`;
	}),
	load_version: verb({
		process: processSchema, model: z.string().default('model'), version: z.string(), fencingNumber: z.number().int().default(1),
	}, async ({process, model, version, fencingNumber}, run) => {
		const found = await run.resolve(process);
		await run.fleet.control(found, '/v1/orders', {fencing_number: fencingNumber, models: [{model, version, adapters: []}]});
		return `${found} has loaded ${model} ${version}`;
	}),
};
