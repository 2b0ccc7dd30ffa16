/**
 * Limits the memory that a gateway uses to buffer endpoints' responses.
 *
 * A response is buffered so that the request can still be retried elsewhere if it breaks off. Endpoints may send responses that never
 * end, on many connections at the same time, so the memory for this is limited.
 *
 * @module
 */

/** Options of {@linkcode ResponseBuffers}. */
export type ResponseBuffersOptions = {
	/** Maximum number of buffered bytes of one response. */
	maximumResponseBytes: number;
	/** Maximum number of buffered bytes of all responses together. */
	maximumTotalBytes: number;
	/** Maximum number of responses that are streamed at a time; each uses the buffers of two connections. */
	maximumStreams: number;
};

/** Accounts for the buffered bytes of one response. */
export type ResponseBuffer = {
	/** Sets the number of buffered bytes; returns whether it is within the limits. */
	resize(bytes: number): boolean;
	/** Switches from buffering to streaming, so that no bytes are buffered; returns whether the limit on streamed responses allows it. */
	startStreaming(): boolean;
	/** Releases the buffered bytes and the stream. */
	release(): void;
};

/**
 * Accounts for the buffered bytes and the streams of all responses.
 *
 * @example
 * ```ts
 * const buffer = responseBuffers.allocate();
 * if (!buffer.resize(chunk.length)) response.cancel();
 * buffer.release();
 * ```
 */
export class ResponseBuffers {
	readonly #options: ResponseBuffersOptions;
	#totalBytes = 0;
	#streams = 0;

	constructor(options: ResponseBuffersOptions) {
		this.#options = options;
	}

	/** Number of buffered bytes of all responses. */
	get totalBytes(): number {
		return this.#totalBytes;
	}

	/** Starts accounting for a response. */
	allocate(): ResponseBuffer {
		let bufferedBytes = 0;
		let isStreaming = false;
		const resize = (bytes: number) => {
			this.#totalBytes += bytes - bufferedBytes;
			bufferedBytes = bytes;
			return bufferedBytes <= this.#options.maximumResponseBytes && this.#totalBytes <= this.#options.maximumTotalBytes;
		};

		return {
			resize,
			startStreaming: () => {
				resize(0);
				const mayStream = isStreaming || this.#streams < this.#options.maximumStreams;
				this.#streams += mayStream && !isStreaming ? 1 : 0;
				isStreaming ||= mayStream;
				return mayStream;
			},
			release: () => {
				resize(0);
				this.#streams -= isStreaming ? 1 : 0;
				isStreaming = false;
			},
		};
	}
}
