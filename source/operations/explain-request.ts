/**
 * Reconstructs the path of one request from the spans that all routers keep.
 *
 * @module
 */
import * as z from 'zod';
import {
	type HostResponses, type HostFailure, type OperatorHost, type OperatorClient,
} from './operator-client.ts';
import {formatTextTable} from './text-table.ts';

const attributesSchema = z.record(z.string(), z.unknown());

/** A finished span, as an operator port returns it. */
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

/** Spans sorted by start time, and the hosts that could not be queried. */
export type Explanation = {spans: ExplainedSpan[]; failures: HostFailure[]};

/** Attributes that link spans of other hosts to the same request. */
const linkingAttributes = ['request', 'generation'];

/** Table row for a hop or for an event within it. */
type ExplanationRow = {at: number; duration: number | string; host: string; hop: string; attributes: Record<string, unknown>};

/**
 * Collects the spans of a request from all hosts, including those of a generation that was resumed through another host.
 *
 * @param client Client of the operator ports.
 * @param hosts Hosts to query.
 * @param name Name of a request, generation or trace.
 * @example
 * ```ts
 * const {spans} = await explainRequest(client, hosts, generation);
 * ```
 */
export async function explainRequest(client: OperatorClient, hosts: OperatorHost[], name: string): Promise<Explanation> {
	const spans = new Map<string, ExplainedSpan>();
	const queriedNames = new Set<string>();
	let failures: HostFailure[] = [];
	let names = [name];
	while (names.length > 0) {
		for (const related of names) {
			queriedNames.add(related);
			const found = await fetchSpans(client, hosts, related);
			({failures} = found);
			for (const span of found.answers.flatMap(({answer}) => answer.spans)) {
				spans.set(span.spanId, span);
			}
		}

		names = [...new Set([...spans.values()].flatMap(span => relatedNames(span)))].filter(related => !queriedNames.has(related));
	}

	return {spans: [...spans.values()].toSorted((left, right) => left.startMilliseconds - right.startMilliseconds), failures};
}

/**
 * Formats an explanation as a table with a line for each hop and each event within it.
 *
 * @param explanation Spans sorted by start time.
 */
export function formatExplanation({spans, failures}: Explanation): string {
	const start = spans[0]?.startMilliseconds ?? 0;
	const sortedRows = spans.flatMap(span => rowsOfSpan(span, depthOf(span, spans))).toSorted((left, right) => left.at - right.at);
	const rows = sortedRows.map(({at, duration, host, hop, attributes}) => [Math.round(at - start), duration, host, hop, formatAttributes(attributes)]);
	const missing = failures.map(({host, message}) => `${host}: ${message}`);
	return [formatTextTable(['at ms', 'took ms', 'host', 'hop', 'details'], rows), ...missing].join('\n');
}

async function fetchSpans(client: OperatorClient, hosts: OperatorHost[], name: string): Promise<HostResponses<z.output<typeof explainSchema>>> {
	return client.requestAll(hosts, {path: `/explain?request=${encodeURIComponent(name)}`, schema: explainSchema});
}

function relatedNames(span: ExplainedSpan): string[] {
	const linked = linkingAttributes.map(attribute => span.attributes[attribute]);
	return [span.traceId, ...linked.filter(value => typeof value === 'string')];
}

function rowsOfSpan(span: ExplainedSpan, depth: number): ExplanationRow[] {
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
