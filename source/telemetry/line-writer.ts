/**
 * Writes log lines without ever waiting for whoever reads them.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {write, writeSync} from 'node:fs';

/** Options of {@linkcode LineWriter}. */
export type LineWriterOptions = {
	/** Descriptor to write to. Default 1, standard output. */
	descriptor?: number;
	/** Lines that may be written in one second; more are dropped and counted. Default 200. */
	linesPerSecond?: number;
	/** Characters that may wait to be written; more are dropped and counted. Default 262,144. */
	waitingCharacters?: number;
	/** Steady time, in milliseconds. */
	clock?: () => number;
};

/** Time for which lines are gathered before they are written, in milliseconds. */
const gatherMilliseconds = 100;

/**
 * Gathers lines and writes them in the background, within bounds of rate and memory.
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
	readonly #waitingCharacters: number;
	readonly #clock: () => number;
	#waiting: string[] = [];
	#waitingLength = 0;
	#writing = false;
	#scheduled = false;
	#second = 0;
	#linesInSecond = 0;
	#dropped = 0;

	constructor(options: LineWriterOptions = {}) {
		this.#descriptor = options.descriptor ?? 1;
		this.#linesPerSecond = options.linesPerSecond ?? 200;
		this.#waitingCharacters = options.waitingCharacters ?? 262_144;
		this.#clock = options.clock ?? (() => performance.now());
	}

	/** Lines dropped so far and not yet told of. */
	get dropped(): number {
		return this.#dropped;
	}

	/** Takes one line, or drops it where there are too many. */
	write(line: string): void {
		if (!this.#allows(line)) {
			this.#dropped += 1;
			return;
		}

		if (this.#dropped > 0) {
			this.#add(JSON.stringify({level: 'warn', message: 'log lines dropped', lines: this.#dropped}));
			this.#dropped = 0;
		}

		this.#add(line);
		if (!this.#scheduled) {
			this.#scheduled = true;
			setTimeout(() => {
				this.#flush();
			}, gatherMilliseconds).unref();
		}
	}

	/** Writes what is waiting before the process ends. */
	end(): void {
		try {
			writeSync(this.#descriptor, this.#take());
		} catch {
			// Nobody reads the log; the process ends all the same.
		}
	}

	#allows(line: string): boolean {
		const second = Math.floor(this.#clock() / 1000);
		if (second !== this.#second) {
			this.#second = second;
			this.#linesInSecond = 0;
		}

		this.#linesInSecond += 1;
		return this.#linesInSecond <= this.#linesPerSecond && this.#waitingLength + line.length <= this.#waitingCharacters;
	}

	#add(line: string): void {
		this.#waiting.push(line);
		this.#waitingLength += line.length + 1;
	}

	#take(): Uint8Array {
		const text = this.#waiting.map(line => `${line}\n`).join('');
		this.#waiting = [];
		this.#waitingLength = 0;
		return Buffer.from(text);
	}

	#flush(): void {
		this.#scheduled = false;
		if (this.#writing || this.#waiting.length === 0) {
			return;
		}

		this.#writing = true;
		this.#writeAll(this.#take());
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
