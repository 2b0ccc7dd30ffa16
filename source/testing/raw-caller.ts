/**
 * A caller on a bare socket, which sends the bytes that a test wants and reads each answer on its connection.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

/** A whole answer. */
export type RawAnswer = {status: number; head: string; body: string};

/** The text of an answer's body, and where the bytes after it begin; absent while it is not whole. */
type ParsedBody = {body: string; end: number} | undefined;

/** Interval between looks at what has arrived, in milliseconds. */
const lookMilliseconds = 5;

/**
 * A caller with one connection. What arrives is kept as Latin-1 text, so that its length is that of the bytes.
 *
 * @example
 * ```ts
 * await using caller = await RawCaller.connect(gateway.callers);
 * caller.write(rawRequest({method: 'GET', path: '/status/1', attempt: 'attempt-1'}));
 * const [answer] = await caller.answers(1, 1000);
 * ```
 */
export class RawCaller implements AsyncDisposable {
	/** Opens a connection to `address:port`. */
	static async connect(address: string): Promise<RawCaller> {
		const [hostname, port] = address.split(':');
		const socket = connect(Number(port), hostname);
		const caller = new RawCaller(socket);
		await once(socket, 'connect');
		return caller;
	}

	/** Whether the connection has closed. */
	isClosed = false;
	readonly #socket: Socket;
	readonly #chunks: Uint8Array[] = [];

	private constructor(socket: Socket) {
		this.#socket = socket;
		socket.on('data', (chunk: Uint8Array) => {
			this.#chunks.push(chunk);
		});
		// A reset shows as a closed connection without the rest of its answers.
		socket.on('error', () => undefined);
		socket.on('close', () => {
			this.isClosed = true;
		});
	}

	/** Sends bytes. */
	write(bytes: string): void {
		this.#socket.write(bytes);
	}

	/** Sends bytes in pieces of the same size. */
	async writePieces(bytes: string, pieces: number, pauseMilliseconds: number): Promise<void> {
		const size = Math.ceil(bytes.length / pieces);
		for (let start = 0; start < bytes.length; start += size) {
			this.write(bytes.slice(start, start + size));
			await delay(pauseMilliseconds);
		}
	}

	/** Stops reading. */
	pause(): void {
		this.#socket.pause();
	}

	/** Reads on. */
	resume(): void {
		this.#socket.resume();
	}

	/** Waits until there are so many final answers, the connection has closed or the time is over, and returns all whole answers so far. */
	async answers(count: number, milliseconds: number): Promise<RawAnswer[]> {
		const end = performance.now() + milliseconds;
		let answers = this.#parse();
		while (answers.length < count && !this.isClosed && performance.now() < end) {
			await delay(lookMilliseconds);
			answers = this.#parse();
		}

		return this.#parse();
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#socket.destroy();
		await delay(0);
	}

	#parse(): RawAnswer[] {
		const text = Buffer.concat(this.#chunks).toString('latin1');
		const answers: RawAnswer[] = [];
		for (let start = 0; start < text.length;) {
			const headEnd = text.indexOf('\r\n\r\n', start);
			const head = text.slice(start, headEnd);
			const status = Number(/^HTTP\/1\.1 (?<status>\d{3}) /v.exec(head)?.groups?.status);
			const parsed = headEnd === -1 ? undefined : parseBody(text, headEnd + 4, head);
			if (!parsed) {
				break;
			}

			start = parsed.end;
			if (status !== 100) {
				answers.push({status, head, body: parsed.body});
			}
		}

		return answers;
	}
}

/** Reads the body of an answer that names its length or comes in chunks. */
function parseBody(text: string, start: number, head: string): ParsedBody {
	if (/^transfer-encoding: chunked$/imv.test(head)) {
		return parseChunks(text, start);
	}

	const length = Number(/^content-length: (?<length>\d+)$/imv.exec(head)?.groups?.length ?? 0);
	const end = start + length;
	return end > text.length ? undefined : {body: text.slice(start, end), end};
}

function parseChunks(text: string, start: number): ParsedBody {
	let body = '';
	for (let place = start; ;) {
		const sizeEnd = text.indexOf('\r\n', place);
		const size = Number.parseInt(text.slice(place, sizeEnd), 16);
		const end = sizeEnd + 2 + size + 2;
		if (sizeEnd === -1 || end > text.length) {
			return undefined;
		}

		if (size === 0) {
			return {body, end};
		}

		body += text.slice(sizeEnd + 2, end - 2);
		place = end;
	}
}
