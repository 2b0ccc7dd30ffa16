/**
 * Reads one attempt's stream and forwards its tokens until the attempt ends.
 *
 * @module
 */
import {type EngineEvent, type EngineStream} from '../endpoints/mod.ts';
import {type Progress, type TokenSink} from './progress.ts';
import {type RecoveryPolicy} from './recovery-policy.ts';

/** How an attempt ended: `silent` without an event in time, `stalled` when a running stream has also sent no token within the stall timeout, `lost` when its stream failed, `unreachable` when it could not be opened, `broken` when the engine violated the protocol. */
export type AttemptResult
	= | {kind: 'finished'; totalTokens: number; finishReason: string}
		| {kind: 'silent'}
		| {kind: 'stalled'}
		| {kind: 'lost'; message: string}
		| {kind: 'unreachable'; message: string; connectionRefused: boolean; reset: boolean}
		| {kind: 'broken'; message: string}
		| {kind: 'superseded'}
		| {kind: 'refused'; message: string; forgotten?: boolean}
		| {kind: 'aborted'}
		| {kind: 'caller_gone'};

/** Options of {@linkcode readVersionState}. */
export type ReadAttemptOptions = {
	stream: EngineStream;
	endpoint: string;
	progress: Progress;
	policy: RecoveryPolicy;
	sink: TokenSink;
	/** Called with the `started` event of the stream. */
	onStarted: (event: Extract<EngineEvent, {event: 'started'}>) => void;
	/** Monotonic time at which the last token arrived on any attempt, in milliseconds. */
	lastTokenAt: number;
	/** Returns the monotonic time, in milliseconds. */
	clock: () => number;
};

type StopReason = Extract<EngineEvent, {event: 'stopped'}>['reason'];

const resultByStopReason: Record<StopReason, AttemptResult> = {
	superseded: {kind: 'superseded'},
	cancelled: {kind: 'superseded'},
	draining: {kind: 'refused', message: 'the engine is draining'},
};

/**
 * Forwards the tokens of a stream. A token whose index is not the next one ends the attempt, so the caller never receives gaps or duplicates.
 *
 * @param options Stream, progress of the generation and sink of its tokens.
 * @returns How the attempt ended; the stream remains open, and the calling function closes it.
 * @example
 * ```ts
 * const result = await readVersionState({stream, endpoint, progress, policy, sink, onStarted, lastTokenAt, clock});
 * ```
 */
export async function readAttempt(options: ReadAttemptOptions): Promise<AttemptResult> {
	const {stream, endpoint, progress, policy, sink, clock} = options;
	let {lastTokenAt} = options;
	let running = false;
	for (;;) {
		const read = await stream.read(policy.silenceMilliseconds);
		if (read.kind === 'silent') {
			return running && clock() - lastTokenAt >= policy.stallTimeoutMilliseconds ? {kind: 'stalled'} : read;
		}

		if (read.kind !== 'event') {
			return read;
		}

		const {event} = read;
		switch (event.event) {
			case 'started': {
				running = event.state === 'running';
				options.onStarted(event);
				break;
			}

			case 'token': {
				if (event.index !== progress.nextIndex) {
					return {kind: 'broken', message: `received token ${event.index}, expected token ${progress.nextIndex}`};
				}

				progress.text += event.text;
				progress.nextIndex += 1;
				const delivered = await sink.token({
					index: event.index, text: event.text, attempt: progress.attempt, endpoint,
				});
				if (!delivered) {
					return {kind: 'caller_gone'};
				}

				lastTokenAt = clock();
				running = true;
				break;
			}

			case 'finished': {
				return event.total_tokens === progress.nextIndex
					? {kind: 'finished', totalTokens: event.total_tokens, finishReason: event.finish_reason}
					: {kind: 'broken', message: `the answer ended at ${event.total_tokens} after ${progress.nextIndex} tokens`};
			}

			case 'stopped': {
				return resultByStopReason[event.reason];
			}
		}
	}
}
