/**
 * Schema of a scenario file.
 *
 * @module
 */
import * as z from 'zod';
import {serviceFileSchema} from '../../configuration/mod.ts';
import {actions, expectations} from './_verbs.ts';
import {verbsSchema} from './_verb.ts';

const optionsSchema = z.record(z.string(), z.unknown()).default({});

const fleetSchema = z.strictObject({
	/** Options of the platform stand-in. */
	platform: optionsSchema,
	/** Routers; each is in a zone of its own unless it names one. */
	routers: z.array(z.strictObject({
		name: z.string(),
		availabilityZone: z.string().optional(),
		/** Sections of the router's settings file that differ from the defaults. */
		settings: z.record(z.string(), z.record(z.string(), z.unknown())).default({}),
	})).min(1),
	/** Model engines, each on a host of its own name. */
	engines: z.array(z.strictObject({
		name: z.string(), service: z.string(), availabilityZone: z.string().default('zone-a'), options: optionsSchema,
	})).default([]),
	/** Endpoints of plain services, each on a host of its own name. */
	plainServices: z.array(z.strictObject({name: z.string(), service: z.string(), options: optionsSchema})).default([]),
	/** Connections that go through the fault proxy. */
	links: z.array(z.strictObject({
		name: z.string(),
		/** Process that the link leads to. */
		to: z.string(),
		/** The only router that uses the link; for links to the platform. Default all. */
		from: z.string().optional(),
		/** Port of a router that the link leads to. */
		port: z.enum(['callers', 'peers']).default('callers'),
	})).default([]),
	/** Service files, published before the first step. */
	services: z.array(serviceFileSchema).min(1),
	/** Workspaces and their keys. Default one workspace, `test`. */
	workspaces: z.record(z.string(), z.strictObject({key: z.string(), weight: z.number().positive().default(1)})).optional(),
});

const stepSchema = z.strictObject({
	/** Waits until this time since the first step, in milliseconds. */
	at: z.number().nonnegative().optional(),
	/** Waits for an event: `REQUEST token N`, `REQUEST answered`. */
	after: z.string().regex(/^\S+ (?:token \d+|answered)$/v, 'expected "REQUEST token N" or "REQUEST answered"').optional(),
	do: verbsSchema('action', actions).optional(),
	expect: verbsSchema('fact', expectations).optional(),
}).refine(step => (step.do === undefined) !== (step.expect === undefined), 'expected exactly one of "do" and "expect"');

/** Schema of a scenario file. */
export const scenarioSchema = z.strictObject({
	/** What the scenario shows, in one sentence. */
	description: z.string().min(1),
	fleet: fleetSchema,
	/** Steps, one after the other. */
	steps: z.array(stepSchema).min(1),
}).superRefine((scenario, context) => {
	const {routers, engines, plainServices, links} = scenario.fleet;
	const names = new Set(['platform', ...[...routers, ...engines, ...plainServices].map(({name}) => name)]);
	for (const [index, {to}] of links.entries()) {
		if (!names.has(to)) {
			context.addIssue({code: 'custom', path: ['fleet', 'links', index, 'to'], message: `the fleet has no process "${to}"`});
		}
	}

	const requests = new Set(scenario.steps.flatMap(step => step.do && 'name' in step.do ? [step.do.name] : []));
	for (const [index, {after}] of scenario.steps.entries()) {
		const request = after?.split(' ')[0];
		if (request !== undefined && !requests.has(request)) {
			context.addIssue({code: 'custom', path: ['steps', index, 'after'], message: `no step starts a request "${request}"`});
		}
	}
});

/** A checked scenario. */
export type Scenario = z.output<typeof scenarioSchema>;

/** A scenario as it is written, without its defaults. */
export type ScenarioDocument = z.input<typeof scenarioSchema>;
