/**
 * The baseline of recovery: a caller that starts again from the beginning on another endpoint.
 *
 * @module
 */
import {createParser} from 'eventsource-parser';
import {Client} from 'undici';
import {testKey} from '../testing/fleet.ts';

/** Options of {@linkcode callWithRestarts}. */
export type RestartingCallOptions = {
	/** Addresses of engines or entries, in the order in which to try them. */
	addresses: string[];
	body: Record<string, unknown>;
	/** Token after whose index the answer is whole. */
	tokens: number;
	/** Time without a byte after which the connection is given up, in milliseconds. */
	silenceMilliseconds: number;
	/** Called with the index of each token that goes beyond all earlier ones, and the address it came from. */
	onProgress: (index: number, address: string) => void;
};

/**
 * Requests an answer and, after each loss, requests it again from index 0 at the next address.
 *
 * @param options Addresses and body.
 */
export async function callWithRestarts(options: RestartingCallOptions): Promise<void> {
	let furthest = -1;
	const progress = (index: number, address: string) => {
		if (index > furthest) {
			furthest = index;
			options.onProgress(index, address);
		}
	};

	for (let attempt = 0; furthest < options.tokens - 1; attempt += 1) {
		await readOnce(options.addresses[attempt % options.addresses.length]!, attempt, options, progress);
	}
}

async function readOnce(address: string, attempt: number, {body, silenceMilliseconds}: RestartingCallOptions, onToken: (index: number, address: string) => void): Promise<void> {
	const client = new Client(`http://${address}`, {connectTimeout: 1000, headersTimeout: silenceMilliseconds, bodyTimeout: silenceMilliseconds});
	const parser = createParser({
		onEvent(message) {
			const index = indexOf(message.data);
			if (index !== undefined) {
				onToken(index, address);
			}
		},
	});
	try {
		const response = await client.request({
			method: 'POST',
			path: '/v1/completions',
			headers: {authorization: `Bearer ${testKey}`, 'content-type': 'application/json'},
			body: JSON.stringify({...body, attempt: attempt + 1, stream: true}),
		});
		const decoder = new TextDecoder();
		for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
			parser.feed(decoder.decode(chunk, {stream: true}));
		}
	} catch {
		// The next address is tried.
	} finally {
		void client.destroy();
	}
}

/** Reads the token's index from an event of an engine or an entry. */
function indexOf(data: string): number | undefined {
	if (data === '[DONE]') {
		return undefined;
	}

	const event = JSON.parse(data) as {event?: string; index?: number; token_index?: number};
	return event.event === 'token' ? event.index : event.token_index;
}
