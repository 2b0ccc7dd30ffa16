/**
 * Actions on the platform, on links and on the host list.
 *
 * @module
 */
import * as z from 'zod';
import {serviceFileSchema} from '../../configuration/mod.ts';
import {linkFaultSchema} from '../stand-ins/link.ts';
import {platformFaultSchema} from '../stand-ins/platform-stand-in.ts';
import {processSchema} from './_process-reference.ts';
import {verb, type Verbs} from './_verb.ts';

/** Words that disturb the platform and the links, and that change what the platform says. */
export const platformActions: Verbs = {
	platform_fault: verb(platformFaultSchema.shape, async (fault, run) => {
		await run.fleet.control('platform', '/control/fault', fault);
		return `platform ${fault.mode}`;
	}),
	link_fault: verb({
		link: processSchema, mode: linkFaultSchema.shape.mode, delayMilliseconds: linkFaultSchema.shape.delayMilliseconds,
	}, async ({link, mode, delayMilliseconds}, run) => {
		const name = await run.resolveLink(link);
		await run.fleet.control('proxy', '/control/fault', {link: name, mode, delayMilliseconds});
		return `link ${name} ${mode}`;
	}),
	host: verb({host: processSchema, state: z.enum(['live', 'leaving', 'gone'])}, async ({host, state}, run) => {
		const name = await run.resolve(host);
		await run.setHostState(name, state);
		return `host ${name} ${state}`;
	}),
	publish: verb({
		services: z.array(serviceFileSchema).min(1),
		/** Whether the publisher is expected to succeed. */
		succeeds: z.boolean().default(true),
	}, async ({services, succeeds}, run) => {
		const end = await run.publish(services);
		if ((end.code === 0) !== succeeds) {
			throw new Error(`the publisher ended with ${end.code}: ${end.errors}`);
		}

		return `${end.output}${end.errors}`.trim();
	}),
};
