/**
 * The parts of prompts that a worker stand-in keeps, and how it lists them.
 *
 * @module
 */
import {type IncomingHttpHeaders, type ServerResponse} from 'node:http';

/** Parts of prompts that were read; none of them yields. */
export class KeptParts {
	readonly #parts = new Map<string, {tokens: number; model: string | undefined}>();

	/** Keeps the parts of a request's prompt. */
	keep(headers: IncomingHttpHeaders): void {
		const model = headers['x-azuretack-model']?.toString();
		for (const entry of String(headers['x-azuretack-prompt-prefix'] ?? '').split(',')) {
			const [id = '', tokens] = entry.split(':');
			this.#parts.set(id, {tokens: Number(tokens), model});
		}
	}

	/** Answers a request for the list. */
	list(response: ServerResponse): void {
		const held = [...this.#parts].map(([id, {tokens, model}]) => ['', id, tokens, model]);
		response.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify({epoch: 1, next: 1, held}));
	}
}
