/**
 * Writes log lines without blocking on a slow reader.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {write, writeSync} from 'node:fs';

/** Options of {@linkcode LineWriter}. */
export type LineWriterOptions = {
	/** Descriptor to write to. Default 1, standard output. */
	descriptor?: number;
	/** Maximum number of lines per second; further lines are dropped and counted. Default 200. */
	linesPerSecond?: number;
	/** Maximum number of buffered characters; further lines are dropped and counted. Default 262,144. */
	maximumBufferedCharacters?: number;
	/** Returns monotonic time, in milliseconds. */
	clock?: () => number;
};

/** Time for which lines are buffered before they are written, in milliseconds. */
const flushMilliseconds = 100;

/**
 * Buffers lines and writes them in the background, with limits on rate and memory.
 *
 * @example
 * ```ts
 * const writer = new LineWriter();
 * const logger = createLogger('gateway', {write: line => writer.write(line)});
 * ```
 */
export class LineWriter {
	readonly #descriptor: number;
	readonly #linesPerSecond: number;
	readonly #maximumBufferedCharacters: number;
	readonly #clock: () => number;
	#buffer: string[] = [];
	#bufferedCharacters = 0;
	#writing = false;
	#scheduled = false;
	#second = 0;
	#linesInSecond = 0;
	#dropped = 0;

	constructor(options: LineWriterOptions = {}) {
		this.#descriptor = options.descriptor ?? 1;
		this.#linesPerSecond = options.linesPerSecond ?? 200;
		this.#maximumBufferedCharacters = options.maximumBufferedCharacters ?? 262_144;
		this.#clock = options.clock ?? (() => performance.now());
	}

	/** Number of dropped lines that have not been logged yet. */
	get dropped(): number {
		return this.#dropped;
	}

	/** Buffers a line, or drops it if a limit is exceeded. */
	write(line: string): void {
		if (!this.#allows(line)) {
			this.#dropped += 1;
			return;
		}

		if (this.#dropped > 0) {
			this.#append(JSON.stringify({level: 'warn', message: 'log lines dropped', lines: this.#dropped}));
			this.#dropped = 0;
		}

		this.#append(line);
		if (!this.#scheduled) {
			this.#scheduled = true;
			setTimeout(() => {
				this.#flush();
			}, flushMilliseconds).unref();
		}
	}

	/** Writes the buffered lines synchronously before the process exits. */
	end(): void {
		try {
			writeSync(this.#descriptor, this.#drain());
		} catch {
			// The log has no reader; the process exits anyway.
		}
	}

	#allows(line: string): boolean {
		const second = Math.floor(this.#clock() / 1000);
		if (second !== this.#second) {
			this.#second = second;
			this.#linesInSecond = 0;
		}

		this.#linesInSecond += 1;
		return this.#linesInSecond <= this.#linesPerSecond && this.#bufferedCharacters + line.length <= this.#maximumBufferedCharacters;
	}

	#append(line: string): void {
		this.#buffer.push(line);
		this.#bufferedCharacters += line.length + 1;
	}

	#drain(): Uint8Array {
		const text = this.#buffer.map(line => `${line}\n`).join('');
		this.#buffer = [];
		this.#bufferedCharacters = 0;
		return Buffer.from(text);
	}

	#flush(): void {
		this.#scheduled = false;
		if (this.#writing || this.#buffer.length === 0) {
			return;
		}

		this.#writing = true;
		this.#writeAll(this.#drain());
	}

	#writeAll(bytes: Uint8Array): void {
		write(this.#descriptor, bytes, (error, written) => {
			if (!error && written < bytes.length) {
				this.#writeAll(bytes.subarray(written));
				return;
			}

			this.#writing = false;
			this.#flush();
		});
	}
}
