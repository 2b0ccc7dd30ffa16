/**
 * Shapes of the soak's requests: what they say and what must come back.
 *
 * @module
 */
import {type CallKind} from './history.ts';

/** Path prefix of each kind of request that every configuration has. */
export const prefixes: Record<CallKind, string> = {idempotent: '/status/', once: '/deposits/', generation: '/drafts/'};

/** Events of the shortest and the longest generation. */
const eventRange = {fewest: 10, most: 40};

/** Begins the bodies of requests that end the worker that runs them. */
const endingPrefix = 'ending ';

/** Body of a request that ends workers; the number tells one from another, and says how long its generation would be. */
export function endingBody(number: number): string {
	return `${endingPrefix}${number}`;
}

/** Begins the bodies of requests whose prompt has a part that ends workers. */
const partPrefix = 'part ';

/** Body of a request with a prompt part that ends workers; no two are alike. */
export function partBody(number: number, send: number): string {
	return `${partPrefix}${number} ${send}`;
}

/** The prompt part that ends workers in a request with this body; absent if there is none. */
export function endingPartOf(body: string): string | undefined {
	return body.startsWith(partPrefix) ? body.split(' ')[1] : undefined;
}

/** Whether a request with this body ends the worker that runs it. */
export function endsWorkers(body: string): boolean {
	return body.startsWith(endingPrefix) || endingPartOf(body) !== undefined;
}

/** First path segment of a target, with its slashes. */
export function prefixOf(target: string): string {
	return `/${target.split('/')[1]}/`;
}

/** Number of the last event of the generation for a body such as `notes 17`. */
export function lastEventOf(body: string): number {
	const number = Number(body.split(' ')[1]);
	return eventRange.fewest + (number % (eventRange.most - eventRange.fewest + 1));
}

/** Whole events of a stream, without comments and empty lines that come between them, and what is left of an event that is not whole. */
export function splitEvents(body: string): {events: string[]; rest: string} {
	const blocks = body.split('\n\n');
	const rest = blocks.pop()!;
	return {events: blocks.filter(block => block !== '' && !block.startsWith(':')), rest};
}

/** Text of an event of the generation for a body. */
export function eventText(body: string, event: number): string {
	return `token ${event} of ${body}`;
}
