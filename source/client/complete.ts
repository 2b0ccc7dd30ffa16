/**
 * Client of a generation that continues when any entry is lost.
 *
 * @module
 */
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import {
	err, ok, type Result,
} from 'neverthrow';
import {Client, type Dispatcher} from 'undici';
import * as z from 'zod';
import {pause} from '../supervision/mod.ts';
import {IdleTimeout} from './_idle-timeout.ts';
import {type EntryList} from './entry-list.ts';

const eventSchema = z.object({
	id: z.string(),
	token_index: z.number().int().optional(),
	total_tokens: z.number().int().optional(),
	choices: z.array(z.object({text: z.string()})),
});

const errorSchema = z.object({
	error: z.object({
		code: z.string(), message: z.string(), run: z.enum(['no', 'yes', 'unknown']), retry_after_seconds: z.number().optional(),
	}),
});

/** Request for a generation. */
export type CompletionRequest = {model: string; prompt: string; max_tokens: number; seed?: number};

/** A complete answer. */
export type Completion = {
	text: string;
	tokens: number;
	generation: string;
	/** Number of connections that were lost and replaced. */
	reconnections: number;
	/** Longest time between two tokens, in milliseconds. */
	longestGapMilliseconds: number;
	/** Time to the first token, in milliseconds. */
	firstTokenMilliseconds: number;
};

/** Reason why there is no complete answer. */
export type CompletionFailure = {code: string; message: string; run: 'no' | 'yes' | 'unknown'; text: string};

/** Options of {@linkcode complete}. */
export type CompleteOptions = {
	entries: EntryList;
	key: string;
	request: CompletionRequest;
	/** Called with each token's text. Default does nothing. */
	onToken?: (text: string, index: number, address: string) => void;
	/** Idle timeout of a connection, in milliseconds. Default 2,500 until the response headers arrive, then three heartbeat intervals of the entry. */
	silenceMilliseconds?: number;
	/** Deadline of the complete answer, in milliseconds. Default 600,000. */
	deadlineMilliseconds?: number;
};

/** State of a generation over all of its connections. */
type CompletionState = {
	text: string;
	nextIndex: number;
	cursor: string | undefined;
	generation: string;
	totalTokens: number | undefined;
	startedAt: number;
	lastTokenAt: number;
	longestGapMilliseconds: number;
	firstTokenMilliseconds: number;
};

type StreamEnd = {kind: 'done'} | {kind: 'lost'; message: string} | {kind: 'refused'; failure: CompletionFailure; retryAfterSeconds?: number};

/** Header in which an entry announces its heartbeat interval on an idle stream, in milliseconds. */
const heartbeatHeader = 'x-heartbeat-milliseconds';

/** Idle timeout for an entry that has not announced its heartbeat interval, in milliseconds. */
const defaultIdleMilliseconds = 2500;

/** Heartbeat intervals without data after which the connection is abandoned. */
const toleratedMissedHeartbeats = 3;

/** Delay before the next attempt after an entry failed, in milliseconds. */
const retryMilliseconds = 100;

/**
 * Requests a generation and resumes it by its cursor, at another entry if necessary, until the answer is complete.
 *
 * @param options Entries, key and request.
 * @returns The complete answer, or the reason why there is none.
 * @example
 * ```ts
 * const answer = await complete({entries, key, request: {model: 'briefs', prompt, max_tokens: 200}});
 * ```
 */
export async function complete(options: CompleteOptions): Promise<Result<Completion, CompletionFailure>> {
	const startedAt = performance.now();
	const deadline = startedAt + (options.deadlineMilliseconds ?? 600_000);
	const state: CompletionState = {
		text: '', nextIndex: 0, cursor: undefined, generation: '', totalTokens: undefined, startedAt, lastTokenAt: startedAt, longestGapMilliseconds: 0, firstTokenMilliseconds: 0,
	};
	for (let connection = 0; performance.now() < deadline; connection += 1) {
		const [address] = await options.entries.listInOrder(Date.now());
		const signal = AbortSignal.timeout(Math.max(1, Math.ceil(deadline - performance.now())));
		const end: StreamEnd = address === undefined ? {kind: 'lost', message: 'no entry is known'} : await streamFromEntry(address, options, state, signal);
		if (end.kind === 'done') {
			return ok({
				text: state.text,
				tokens: state.nextIndex,
				generation: state.generation,
				reconnections: connection,
				longestGapMilliseconds: state.longestGapMilliseconds,
				firstTokenMilliseconds: state.firstTokenMilliseconds,
			});
		}

		if (end.kind === 'refused' && end.retryAfterSeconds === undefined) {
			return err(end.failure);
		}

		if (address !== undefined) {
			options.entries.recordFailure(address, Date.now());
		}

		await pause(end.kind === 'refused' ? Math.min(end.retryAfterSeconds! * 1000, deadline - performance.now()) : retryMilliseconds);
	}

	return err({
		code: 'deadline_exceeded', message: 'the answer was not complete before the deadline', run: state.nextIndex > 0 ? 'yes' : 'unknown', text: state.text,
	});
}

async function streamFromEntry(address: string, options: CompleteOptions, state: CompletionState, signal: AbortSignal): Promise<StreamEnd> {
	const idle = new IdleTimeout(options.silenceMilliseconds ?? defaultIdleMilliseconds, signal);
	const client = new Client(`http://${address}`, {connectTimeout: 1000, headersTimeout: 0, bodyTimeout: 0});
	try {
		const response = await client.request({
			method: 'POST',
			path: '/v1/completions',
			signal: idle.signal,
			headers: {
				authorization: `Bearer ${options.key}`,
				'content-type': 'application/json',
				...(state.cursor !== undefined && {'last-event-id': state.cursor}),
			},
			body: JSON.stringify({...options.request, stream: true, ...(state.cursor !== undefined && {received_text: state.text})}),
		});
		if (response.statusCode !== 200) {
			return parseRefusal(await response.body.text(), state);
		}

		idle.setLimit(options.silenceMilliseconds ?? idleTimeoutFromHeader(response.headers[heartbeatHeader]));
		idle.recordActivity();
		return await readEvents(response.body, {address, idle}, options, state);
	} catch (error) {
		return {kind: 'lost', message: String(error)};
	} finally {
		idle.stop();
		void client.destroy();
	}
}

/** A connection to an entry. */
type EntryConnection = {address: string; idle: IdleTimeout};

async function readEvents(body: Dispatcher.ResponseData['body'], {address, idle}: EntryConnection, options: CompleteOptions, state: CompletionState): Promise<StreamEnd> {
	const messages: EventSourceMessage[] = [];
	const parser = createParser({
		onEvent(message) {
			messages.push(message);
		},
	});
	const decoder = new TextDecoder();
	for await (const chunk of body as AsyncIterable<Uint8Array>) {
		idle.recordActivity();
		parser.feed(decoder.decode(chunk, {stream: true}));
		for (const message of messages.splice(0)) {
			const end = applyEvent(message, address, options, state);
			if (end) {
				return end;
			}
		}
	}

	return {kind: 'lost', message: 'the entry closed the stream before its end'};
}

/** Applies an event to the state; returns the end of the stream if the event is the last one. */
function applyEvent(message: EventSourceMessage, address: string, options: CompleteOptions, state: CompletionState): StreamEnd | undefined {
	if (message.event === 'error') {
		return parseRefusal(message.data, state);
	}

	if (message.data === '[DONE]') {
		return state.totalTokens === state.nextIndex ? {kind: 'done'} : {kind: 'lost', message: `the answer ended at token ${state.nextIndex}`};
	}

	const event = eventSchema.parse(JSON.parse(message.data));
	state.totalTokens = event.total_tokens;
	if (event.token_index === undefined) {
		return undefined;
	}

	if (event.token_index !== state.nextIndex || (state.generation !== '' && event.id !== state.generation)) {
		return {kind: 'lost', message: `token ${event.token_index} of ${event.id} arrived instead of token ${state.nextIndex}`};
	}

	const now = performance.now();
	if (event.token_index === 0) {
		state.firstTokenMilliseconds = now - state.startedAt;
	} else {
		state.longestGapMilliseconds = Math.max(state.longestGapMilliseconds, now - state.lastTokenAt);
	}

	state.lastTokenAt = now;
	state.generation = event.id;
	state.cursor = message.id;
	state.nextIndex += 1;
	const text = event.choices[0]?.text ?? '';
	state.text += text;
	options.onToken?.(text, event.token_index, address);
	return undefined;
}

/** Returns the idle timeout that follows from the heartbeat header, in milliseconds. */
function idleTimeoutFromHeader(header: string | string[] | undefined): number {
	const heartbeatMilliseconds = Number(header);
	return heartbeatMilliseconds > 0 ? heartbeatMilliseconds * toleratedMissedHeartbeats : defaultIdleMilliseconds;
}

function parseRefusal(text: string, state: CompletionState): StreamEnd {
	const {error} = errorSchema.parse(JSON.parse(text));
	return {kind: 'refused', failure: {...error, text: state.text}, retryAfterSeconds: error.retry_after_seconds};
}
