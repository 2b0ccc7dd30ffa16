/**
 * Concurrent attempts of one call.
 *
 * @module
 */
import {type EndpointEntry} from '../registry/mod.ts';
import {settleInTime} from '../supervision/settle-in-time.ts';
import {type CallAttemptResult} from './call-attempt-result.ts';
import {type ResponseBuffer, type ResponseBuffers} from './response-buffers.ts';

/** Context of one attempt. */
export type AttemptContext = {
	/** Aborts the attempt. */
	signal: AbortSignal;
	/** Limits how much of its response is buffered. */
	buffer: ResponseBuffer;
};

/** Options of {@linkcode CallAttempts}. */
export type CallAttemptsOptions = {
	responseBuffers: ResponseBuffers;
	/** Aborts when the caller disconnects. */
	callerDisconnected: AbortSignal;
	/** Returns monotonic time, in milliseconds. */
	clock: () => number;
};

type RunningAttempt = {controller: AbortController; buffer: ResponseBuffer};

/**
 * Runs attempts concurrently, at most one per endpoint.
 *
 * @example
 * ```ts
 * attempts.start(endpoint, async ({signal, buffer}) => send(endpoint, signal, buffer));
 * const result = await attempts.next(until);
 * ```
 */
export class CallAttempts {
	readonly #options: CallAttemptsOptions;
	readonly #running = new Map<string, RunningAttempt>();
	/** Attempts whose result has not been consumed yet, by endpoint id. */
	readonly #pending = new Map<string, Promise<CallAttemptResult>>();
	#hasEnded = false;

	constructor(options: CallAttemptsOptions) {
		this.#options = options;
	}

	/** Number of attempts whose result has not been consumed yet. */
	get pending(): number {
		return this.#pending.size;
	}

	/** Whether the call has ended: it was answered or given up, and the results of remaining attempts are not used. */
	get hasEnded(): boolean {
		return this.#hasEnded;
	}

	/** Starts an attempt at an endpoint. */
	start(endpoint: EndpointEntry, run: (context: AttemptContext) => Promise<CallAttemptResult>): void {
		const controller = new AbortController();
		const buffer = this.#options.responseBuffers.allocate();
		this.#running.set(endpoint.id, {controller, buffer});
		this.#pending.set(endpoint.id, run({signal: controller.signal, buffer}));
	}

	/**
	 * Waits for the next attempt result.
	 *
	 * @param until Monotonic time until which to wait, in milliseconds.
	 * @param preparation Ends the wait as well: the next attempt is prepared. Default none.
	 * @returns The result; `undefined` if the preparation or the given time ends, or the caller disconnects, first.
	 */
	async next(until: number, preparation?: Promise<undefined>): Promise<CallAttemptResult | undefined> {
		const {callerDisconnected: signal, clock} = this.#options;
		if (signal.aborted) {
			return undefined;
		}

		const settled = await settleInTime(Promise.race([...this.#pending.values(), ...(preparation ? [preparation] : [])]), {until, signal, clock});
		const result = settled.unwrapOr(undefined);
		if (result) {
			this.#pending.delete(result.endpoint.id);
		}

		return result;
	}

	/**
	 * Aborts all attempts except one, which continues until the given time or until the caller disconnects.
	 *
	 * @param endpoint Endpoint of the attempt that continues.
	 * @param until Monotonic time at which it is aborted, in milliseconds.
	 * @returns Signal that aborts when the attempt is aborted.
	 */
	abortOthers({id}: EndpointEntry, until: number): AbortSignal {
		const {callerDisconnected, clock} = this.#options;
		const remaining = this.#running.get(id)!;
		this.#hasEnded = true;
		for (const [other, {controller, buffer}] of this.#running) {
			if (other !== id) {
				buffer.release();
				controller.abort();
			}
		}

		const abort = () => {
			remaining.controller.abort();
		};

		const timer = setTimeout(abort, Math.max(0, until - clock()));
		remaining.controller.signal.addEventListener('abort', () => {
			clearTimeout(timer);
		});
		if (callerDisconnected.aborted) {
			abort();
		} else {
			callerDisconnected.addEventListener('abort', abort);
		}

		return remaining.controller.signal;
	}

	/**
	 * Aborts all attempts.
	 *
	 * @param delivered Resolves once the caller's response is delivered or its connection has closed; the buffers are released then.
	 */
	abortAll(delivered: Promise<void>): void {
		this.#hasEnded = true;
		for (const {controller} of this.#running.values()) {
			controller.abort();
		}

		void delivered.then(() => {
			for (const {buffer} of this.#running.values()) {
				buffer.release();
			}
		});
	}
}
