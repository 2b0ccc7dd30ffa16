/**
 * Splits a stream of server-sent events into complete events.
 *
 * @module
 */
import {Buffer} from 'node:buffer';

/** One complete event. */
export type StreamEvent = {
	/** Value of the `id` field, if present. */
	id: string | undefined;
	/** Whether it has an `id` or `data` field; an empty line or a comment alone does not count. */
	isMessage: boolean;
	/** Whether it has a line that is neither a comment nor a field, as another response has that a faulty engine wrote into the stream. */
	hasForeignLine: boolean;
	/** Bytes of the event, including the empty line at its end. */
	bytes: Uint8Array;
};

const lineFeed = 0x0A;
const decoder = new TextDecoder();
const carriageReturn = 0x0D;

/** A line that is not empty, no comment, and does not begin with the name of a field. */
const foreignLinePattern = /^(?!:|[\w\-]+(?::|\r?$)|\r?$)./mv;

/**
 * Buffers bytes and returns the events that they complete; an incomplete event stays in the buffer.
 *
 * @example
 * ```ts
 * for (const event of splitter.push(chunk)) {
 * 	response.write(event.bytes);
 * }
 * ```
 */
export class EventSplitter {
	#incomplete: Uint8Array = new Uint8Array();

	/** Bytes of the event that is not complete yet. */
	get incompleteBytes(): Uint8Array {
		return this.#incomplete;
	}

	/**
	 * Adds bytes of the stream.
	 *
	 * @param chunk The bytes.
	 * @returns The events that are complete now.
	 */
	push(chunk: Uint8Array): StreamEvent[] {
		this.#incomplete = this.#incomplete.length === 0 ? chunk : Buffer.concat([this.#incomplete, chunk]);
		const events: StreamEvent[] = [];
		let start = 0;
		for (let end = findEventEnd(this.#incomplete, start); end >= 0; end = findEventEnd(this.#incomplete, start)) {
			const bytes = this.#incomplete.subarray(start, end);
			events.push(parseEvent(bytes));
			start = end;
		}

		this.#incomplete = this.#incomplete.subarray(start);
		return events;
	}
}

/** Returns the position after the empty line that ends an event, or -1 if there is none yet. */
function findEventEnd(bytes: Uint8Array, start: number): number {
	for (let index = bytes.indexOf(lineFeed, start); index >= 0; index = bytes.indexOf(lineFeed, index + 1)) {
		const next = bytes[index + 1];
		if (next === lineFeed) {
			return index + 2;
		}

		if (next === carriageReturn && bytes[index + 2] === lineFeed) {
			return index + 3;
		}
	}

	return -1;
}

function parseEvent(bytes: Uint8Array): StreamEvent {
	const text = decoder.decode(bytes);
	const id = /^id:[ ]?(?<id>[^\r\n]*)/mv.exec(text)?.groups?.id;
	return {
		id, isMessage: id !== undefined || /^data(?::|\r?$)/mv.test(text), hasForeignLine: foreignLinePattern.test(text), bytes,
	};
}
