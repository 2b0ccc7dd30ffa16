/**
 * What became of one request, from the spans that all routers kept.
 *
 * @module
 */
import * as z from 'zod';
import {
	type HostAnswers, type HostFailure, type OperatedHost, type OperatorClient,
} from './operator-client.ts';
import {textTable} from './text-table.ts';

const attributesSchema = z.record(z.string(), z.unknown());

/** A finished span, as an operator port gives it. */
export const spanSchema = z.object({
	traceId: z.string(),
	spanId: z.string(),
	parentSpanId: z.string().optional(),
	name: z.string(),
	host: z.string(),
	startMilliseconds: z.number(),
	durationMilliseconds: z.number(),
	attributes: attributesSchema,
	events: z.array(z.object({name: z.string(), atMilliseconds: z.number(), attributes: attributesSchema})),
});

const explainSchema = z.object({spans: z.array(spanSchema)});

/** A finished span. */
export type ExplainedSpan = z.output<typeof spanSchema>;

/** Spans in order of their start, and the hosts that could not be asked. */
export type Explanation = {spans: ExplainedSpan[]; failures: HostFailure[]};

/** Attributes by which spans of other hosts belong to the same request. */
const linkingAttributes = ['request', 'generation'];

/** One hop, or one event within it. */
type Line = {at: number; duration: number | string; host: string; hop: string; attributes: Record<string, unknown>};

/**
 * Collects the spans of a request from all hosts, also those of a generation that went on through another host.
 *
 * @param client Client of the operator ports.
 * @param hosts Hosts to ask.
 * @param name Name of a request, generation or trace.
 * @example
 * ```ts
 * const {spans} = await explainRequest(client, hosts, generation);
 * ```
 */
export async function explainRequest(client: OperatorClient, hosts: OperatedHost[], name: string): Promise<Explanation> {
	const spans = new Map<string, ExplainedSpan>();
	const asked = new Set<string>();
	let failures: HostFailure[] = [];
	let names = [name];
	while (names.length > 0) {
		for (const related of names) {
			asked.add(related);
			const found = await askForSpans(client, hosts, related);
			({failures} = found);
			for (const span of found.answers.flatMap(({answer}) => answer.spans)) {
				spans.set(span.spanId, span);
			}
		}

		names = [...new Set([...spans.values()].flatMap(span => namesOf(span)))].filter(related => !asked.has(related));
	}

	return {spans: [...spans.values()].toSorted((left, right) => left.startMilliseconds - right.startMilliseconds), failures};
}

/**
 * Writes an explanation as a table, one line for each hop and each event within it.
 *
 * @param explanation Spans in order of their start.
 */
export function formatExplanation({spans, failures}: Explanation): string {
	const start = spans[0]?.startMilliseconds ?? 0;
	const lines = spans.flatMap(span => linesOf(span, depthOf(span, spans))).toSorted((left, right) => left.at - right.at);
	const rows = lines.map(({at, duration, host, hop, attributes}) => [Math.round(at - start), duration, host, hop, formatAttributes(attributes)]);
	const missing = failures.map(({host, message}) => `${host}: ${message}`);
	return [textTable(['at ms', 'took ms', 'host', 'hop', 'details'], rows), ...missing].join('\n');
}

async function askForSpans(client: OperatorClient, hosts: OperatedHost[], name: string): Promise<HostAnswers<z.output<typeof explainSchema>>> {
	return client.askAll(hosts, {path: `/explain?request=${encodeURIComponent(name)}`, schema: explainSchema});
}

function namesOf(span: ExplainedSpan): string[] {
	const linked = linkingAttributes.map(attribute => span.attributes[attribute]);
	return [span.traceId, ...linked.filter(value => typeof value === 'string')];
}

function linesOf(span: ExplainedSpan, depth: number): Line[] {
	const indent = '  '.repeat(depth);
	const {host, name, startMilliseconds, durationMilliseconds, attributes, events} = span;
	return [
		{
			at: startMilliseconds, duration: Math.round(durationMilliseconds), host, hop: indent + name, attributes,
		},
		...events.map(event => ({
			at: event.atMilliseconds, duration: '', host, hop: `${indent}  ${event.name}`, attributes: event.attributes,
		})),
	];
}

function depthOf(span: ExplainedSpan, spans: ExplainedSpan[]): number {
	let depth = 0;
	let parent = spans.find(({spanId}) => spanId === span.parentSpanId);
	while (parent && depth < spans.length) {
		const {parentSpanId} = parent;
		depth += 1;
		parent = spans.find(({spanId}) => spanId === parentSpanId);
	}

	return depth;
}

function formatAttributes(attributes: Record<string, unknown>): string {
	return Object.entries(attributes)
		.filter(([name]) => name !== 'host')
		.map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
		.join(' ');
}
