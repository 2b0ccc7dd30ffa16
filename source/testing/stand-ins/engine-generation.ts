/**
 * One generation inside an engine stand-in: its tokens, its current stream and its state.
 *
 * @module
 */
import {type ServerResponse} from 'node:http';
import {type EngineEvent, type EngineRequest} from '../../endpoints/mod.ts';
import {DeterministicText, splitTokens} from './expected-text.ts';

/** A generation that the engine keeps until it is cancelled or forgotten. */
export class EngineGeneration {
	readonly request: EngineRequest;
	/** Number of the newest attempt that has asked for the stream. */
	attempt: number;
	/** Tokens generated here; the first one has the request's start index. */
	readonly tokens: string[] = [];
	state: 'queued' | 'running' | 'finished' = 'queued';
	prefillTokens = 0;
	cachedTokens = 0;
	/** Time of the last connection's end, in milliseconds; absent while one is open. */
	idleSince: number | undefined;
	readonly #text: DeterministicText;
	#stream: ServerResponse | undefined;

	constructor(request: EngineRequest, seed: number) {
		this.request = request;
		this.attempt = request.attempt;
		this.#text = new DeterministicText({prompt: request.prompt, seed, version: request.version});
		for (const token of splitTokens(request.text_so_far)) {
			this.#text.follow(token);
		}
	}

	/** Index of the next token. */
	get nextIndex(): number {
		return this.request.start_index + this.tokens.length;
	}

	/** Generates one token and sends it; returns whether the answer is whole. */
	decode(): boolean {
		if (this.nextIndex < this.request.max_tokens) {
			const index = this.nextIndex;
			const text = this.#text.next();
			this.tokens.push(text);
			this.#send({event: 'token', index, text});
		}

		if (this.nextIndex < this.request.max_tokens) {
			return false;
		}

		this.state = 'finished';
		this.#finish();
		return true;
	}

	/** Says what was computed before decoding. */
	announce(): void {
		this.state = 'running';
		this.#sendStarted();
	}

	/** Gives the stream to a connection, from the token after an index; ends the earlier connection. */
	attach(response: ServerResponse, attempt: number, afterIndex: number): void {
		this.#send({event: 'stopped', reason: 'superseded'});
		this.#stream?.end();
		this.attempt = attempt;
		this.#stream = response;
		this.idleSince = undefined;
		response.writeHead(200, {'content-type': 'text/event-stream'});
		response.write(': open\n\n');
		response.on('close', () => {
			if (this.#stream === response) {
				this.#stream = undefined;
				this.idleSince = performance.now();
			}
		});
		if (this.state !== 'queued') {
			this.#sendStarted();
		}

		for (const [offset, text] of this.tokens.entries()) {
			const index = this.request.start_index + offset;
			if (index > afterIndex) {
				this.#send({event: 'token', index, text});
			}
		}

		if (this.state === 'finished') {
			this.#finish();
		}
	}

	/** Ends the stream without the end of the answer. */
	stop(reason: Extract<EngineEvent, {event: 'stopped'}>['reason']): void {
		this.#send({event: 'stopped', reason});
		this.#stream?.end();
	}

	#sendStarted(): void {
		this.#send({
			event: 'started', state: 'running', prefill_tokens: this.prefillTokens, cached_tokens: this.cachedTokens,
		});
	}

	#finish(): void {
		this.#send({event: 'finished', finish_reason: 'length', total_tokens: this.nextIndex});
		this.#stream?.end('data: [DONE]\n\n');
	}

	#send(event: EngineEvent): void {
		this.#stream?.write(`data: ${JSON.stringify(event)}\n\n`);
	}
}
