/**
 * Trace spans, one for each hop, kept in memory for the operators' `explain`.
 *
 * @module
 */
import {
	ROOT_CONTEXT, defaultTextMapGetter, defaultTextMapSetter, trace, type Attributes, type Context, type Span, type Tracer,
} from '@opentelemetry/api';
import {W3CTraceContextPropagator, hrTimeToMilliseconds} from '@opentelemetry/core';
import {
	BasicTracerProvider, SimpleSpanProcessor, type ReadableSpan, type SpanExporter,
} from '@opentelemetry/sdk-trace-base';

/** Options of {@linkcode createTracing}. */
export type CreateTracingOptions = {
	/** Name of the host, an attribute of each span. */
	hostName: string;
	/** Number of finished spans kept in memory. Default 2,000. */
	keptSpans?: number;
};

/** A finished span as operators see it. */
export type SpanRecord = {
	traceId: string;
	spanId: string;
	parentSpanId?: string;
	name: string;
	host: string;
	startMilliseconds: number;
	durationMilliseconds: number;
	attributes: Attributes;
	events: Array<{name: string; atMilliseconds: number; attributes: Attributes}>;
};

/** Starts spans and finds finished ones. */
export type Tracing = {
	tracer: Tracer;
	/** Reads the parent of a span from HTTP headers. */
	extract(headers: Record<string, string | string[] | undefined>): Context;
	/** Writes a span into HTTP headers as `traceparent`. */
	inject(span: Span): Record<string, string>;
	/** Starts a span below a parent. */
	start(name: string, parent: Span | Context | undefined, attributes?: Attributes): Span;
	/** Finds the finished spans whose trace, request or generation has this name. */
	explain(name: string): SpanRecord[];
};

const propagator = new W3CTraceContextPropagator();

/**
 * Creates the tracing of one process.
 *
 * @param options Host name and memory bound.
 * @example
 * ```ts
 * const tracing = createTracing({hostName: 'entry-1'});
 * const span = tracing.start('caller', tracing.extract(request.headers));
 * span.end();
 * ```
 */
export function createTracing(options: CreateTracingOptions): Tracing {
	const kept: ReadableSpan[] = [];
	const limit = options.keptSpans ?? 2000;
	const exporter: SpanExporter = {
		export(spans, callback) {
			kept.push(...spans);
			kept.splice(0, kept.length - limit);
			callback({code: 0});
		},
		async shutdown() {
			kept.length = 0;
		},
	};
	const provider = new BasicTracerProvider({spanProcessors: [new SimpleSpanProcessor(exporter)]});
	const tracer = provider.getTracer('azuretack');
	return {
		tracer,
		extract: headers => propagator.extract(ROOT_CONTEXT, headers, defaultTextMapGetter),
		inject(span) {
			const headers: Record<string, string> = {};
			propagator.inject(trace.setSpan(ROOT_CONTEXT, span), headers, defaultTextMapSetter);
			return headers;
		},
		start(name, parent, attributes = {}) {
			const context = parent === undefined ? ROOT_CONTEXT : ('spanContext' in parent ? trace.setSpan(ROOT_CONTEXT, parent) : parent);
			return tracer.startSpan(name, {attributes: {host: options.hostName, ...attributes}}, context);
		},
		explain(name) {
			const traceIds = new Set(kept.filter(span => matches(span, name)).map(span => span.spanContext().traceId));
			return kept.filter(span => traceIds.has(span.spanContext().traceId)).map(span => toRecord(span));
		},
	};
}

function matches(span: ReadableSpan, name: string): boolean {
	return span.spanContext().traceId === name || span.attributes.request === name || span.attributes.generation === name;
}

function toRecord(span: ReadableSpan): SpanRecord {
	return {
		traceId: span.spanContext().traceId,
		spanId: span.spanContext().spanId,
		parentSpanId: span.parentSpanContext?.spanId,
		name: span.name,
		host: String(span.attributes.host),
		startMilliseconds: hrTimeToMilliseconds(span.startTime),
		durationMilliseconds: hrTimeToMilliseconds(span.duration),
		attributes: span.attributes,
		events: span.events.map(event => ({name: event.name, atMilliseconds: hrTimeToMilliseconds(event.time), attributes: event.attributes ?? {}})),
	};
}
