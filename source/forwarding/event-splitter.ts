/**
 * Splits a stream of server-sent events into whole events.
 *
 * @module
 */
import {Buffer} from 'node:buffer';

/** One whole event. */
export type StreamEvent = {
	/** Value of its `id` line, if it has one. */
	id: string | undefined;
	/** Whether it brings something; an empty line or a comment alone does not. */
	isMessage: boolean;
	/** The bytes of the event, its empty line included. */
	bytes: Uint8Array;
};

const lineFeed = 0x0A;
const decoder = new TextDecoder();
const carriageReturn = 0x0D;

/**
 * Collects bytes and returns the events that they complete; an event that is not whole is kept back.
 *
 * @example
 * ```ts
 * for (const event of splitter.push(chunk)) {
 * 	response.write(event.bytes);
 * }
 * ```
 */
export class EventSplitter {
	#kept: Uint8Array = new Uint8Array();

	/** Bytes of an event that is not whole yet. */
	get rest(): Uint8Array {
		return this.#kept;
	}

	/**
	 * Takes bytes of the stream.
	 *
	 * @param chunk The bytes.
	 * @returns The events that are whole now.
	 */
	push(chunk: Uint8Array): StreamEvent[] {
		this.#kept = this.#kept.length === 0 ? chunk : Buffer.concat([this.#kept, chunk]);
		const events: StreamEvent[] = [];
		let start = 0;
		for (let end = endOfEvent(this.#kept, start); end >= 0; end = endOfEvent(this.#kept, start)) {
			const bytes = this.#kept.subarray(start, end);
			events.push(readEvent(bytes));
			start = end;
		}

		this.#kept = this.#kept.subarray(start);
		return events;
	}
}

/** Returns the position after the empty line that ends an event; -1 where there is none yet. */
function endOfEvent(bytes: Uint8Array, start: number): number {
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

function readEvent(bytes: Uint8Array): StreamEvent {
	const text = decoder.decode(bytes);
	const id = /^id:[ ]?(?<id>[^\r\n]*)/mv.exec(text)?.groups?.id;
	return {id, isMessage: id !== undefined || /^data(?::|\r?$)/mv.test(text), bytes};
}
