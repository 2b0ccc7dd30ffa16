/**
 * One word of the scenario language: its fields and what it does.
 *
 * @module
 */
import * as z from 'zod';
import {type ScenarioContext} from './_scenario-context.ts';

/** A word that may stand in a step. */
export type Verb = {
	schema: z.ZodObject;
	/** Acts or checks; throws when that fails, and returns what happened in a few words. */
	handle: (input: unknown, run: ScenarioContext) => Promise<string>;
};

/** Words by name. */
export type Verbs = Record<string, Verb>;

/**
 * Defines a word whose handler sees checked fields.
 *
 * @param shape Schemas of its fields.
 * @param handle What it does with them.
 */
export function verb<Shape extends z.ZodRawShape>(shape: Shape, handle: (input: z.output<z.ZodObject<Shape>>, run: ScenarioContext) => Promise<string>): Verb {
	return {
		schema: z.strictObject(shape),
		async handle(input, run) {
			return handle(input as z.output<z.ZodObject<Shape>>, run);
		},
	};
}

/**
 * Builds the schema of any word of a table.
 *
 * @param discriminator Field that holds the word.
 * @param verbs The table.
 */
export function verbsSchema(discriminator: string, verbs: Verbs) {
	const options = Object.entries(verbs).map(([name, {schema}]) => schema.extend({[discriminator]: z.literal(name)}));
	return z.discriminatedUnion(discriminator, options as unknown as [z.ZodObject, ...z.ZodObject[]]);
}
