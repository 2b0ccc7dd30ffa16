/**
 * Trace spans, one per hop, kept in memory for the operator command `explain`.
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
	/** Name of the host, set as an attribute of each span. */
	hostName: string;
	/** Maximum number of finished spans kept in memory. Default 2,000. */
	maximumSpans?: number;
};

/** A finished span, as returned to operators. */
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
	/** Extracts the parent context from HTTP headers. */
	extract(headers: Record<string, string | string[] | undefined>): Context;
	/** Returns HTTP headers that carry a span as `traceparent`. */
	inject(span: Span): Record<string, string>;
	/** Starts a span with an optional parent. */
	start(name: string, parent: Span | Context | undefined, attributes?: Attributes): Span;
	/** Returns the finished spans of every trace that has this id or contains a span with this request or generation. */
	explain(name: string): SpanRecord[];
};

const propagator = new W3CTraceContextPropagator();

/**
 * Creates the tracing of one process.
 *
 * @param options Host name and maximum number of spans.
 * @example
 * ```ts
 * const tracing = createTracing({hostName: 'entry-1'});
 * const span = tracing.start('caller', tracing.extract(request.headers));
 * span.end();
 * ```
 */
export function createTracing(options: CreateTracingOptions): Tracing {
	const finishedSpans: ReadableSpan[] = [];
	const limit = options.maximumSpans ?? 2000;
	const exporter: SpanExporter = {
		export(spans, callback) {
			finishedSpans.push(...spans);
			finishedSpans.splice(0, finishedSpans.length - limit);
			callback({code: 0});
		},
		async shutdown() {
			finishedSpans.length = 0;
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
			const traceIds = new Set(finishedSpans.filter(span => hasName(span, name)).map(span => span.spanContext().traceId));
			return finishedSpans.filter(span => traceIds.has(span.spanContext().traceId)).map(span => toSpanRecord(span));
		},
	};
}

function hasName(span: ReadableSpan, name: string): boolean {
	return span.spanContext().traceId === name || span.attributes.request === name || span.attributes.generation === name;
}

function toSpanRecord(span: ReadableSpan): SpanRecord {
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
