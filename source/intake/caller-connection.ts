/**
 * A connection of a caller whose bytes are handed on in slices, when there is time and memory for them.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import process from 'node:process';
import {Duplex} from 'node:stream';
import {type CallerMemory} from './caller-memory.ts';
import {initialSliceBytes, nextSliceBytes, type ReadingTurns} from './reading-turns.ts';

/** What is used of a caller's connection. */
export type CallerSocket = Duplex & {
	/** Bytes received on it. */
	readonly bytesRead: number;
	/** Bytes sent on it, or waiting to be. */
	readonly bytesWritten: number;
	/** Closes it once all that was written is sent. */
	destroySoon(): void;
};

/** Options of {@linkcode CallerConnection}. */
export type CallerConnectionOptions = {
	memory: CallerMemory<CallerSocket>;
	turns: ReadingTurns<CallerConnection>;
	/** Called after bytes were handed on. */
	onRead: () => void;
	/** Called after bytes were given up. */
	onGiveUp: () => void;
	/** Called after bytes were received. */
	onReceive: () => void;
	/** Returns monotonic time, in milliseconds. */
	clock: () => number;
};

type WrittenChunk = {chunk: Uint8Array | string; encoding: BufferEncoding};

type WriteCallback = Parameters<Duplex['_destroy']>[1];

/** Bytes that are received ahead while a connection waits, so that the leaving of its caller is noticed. */
const aheadBytes = 16_384;

/** Bytes of a slice that holds further requests behind an unanswered one; it should not hold many. */
const requestSliceBytes = 1024;

/** Time for which a connection that is being closed is read, in milliseconds. */
const lingerMilliseconds = 2000;

const noBytes = new Uint8Array(0);

/**
 * Stands between the socket of a caller and the HTTP server, which takes it for the connection.
 *
 * @example
 * ```ts
 * server.emit('connection', new CallerConnection(socket, options));
 * ```
 */
export class CallerConnection extends Duplex implements CallerSocket {
	readonly #socket: Socket;
	readonly #options: CallerConnectionOptions;
	/** Bytes received and not handed on yet. */
	#unread: Uint8Array = noBytes;
	/** Bytes of the received piece that is handed on now, which take memory until all of it was. */
	#pieceBytes = 0;
	#sliceBytes = initialSliceBytes;
	#isReading = false;
	/** Whether the caller has ended its input, and whether the server knows. */
	#hasEnded = false;
	#isEndHandedOn = false;
	/** Whether the connection is closed, but for what the caller still sends. */
	#isLingering = false;

	constructor(socket: Socket, options: CallerConnectionOptions) {
		super({
			allowHalfOpen: true, decodeStrings: false, readableHighWaterMark: socket.readableHighWaterMark, writableHighWaterMark: socket.writableHighWaterMark,
		});
		this.#socket = socket;
		this.#options = options;
		options.memory.heads.open(this, () => {
			this.readOnLater();
		});
		this.on('resume', () => {
			this.readOnLater();
		});
		this.#followSocket();
	}

	/** Bytes received on the connection. */
	get bytesRead(): number {
		return this.#socket.bytesRead;
	}

	/** Bytes sent on the connection, or waiting to be. */
	get bytesWritten(): number {
		return this.#socket.bytesWritten;
	}

	/** IP address of the caller. */
	get remoteAddress(): string | undefined {
		return this.#socket.remoteAddress;
	}

	/** Reports by the event `timeout` that nothing was received or sent for a time, in milliseconds; 0 for never. */
	setTimeout(milliseconds: number): this {
		this.#socket.setTimeout(milliseconds);
		return this;
	}

	/**
	 * Closes the connection once all that was written is sent. What the caller still sends is dropped for a while: a connection that is closed
	 * before would be reset, and the caller would lose what was sent to it.
	 */
	destroySoon(): void {
		if (this.writable) {
			this.end();
		}

		if (this.writableFinished) {
			this.#linger();
		} else {
			this.once('finish', () => {
				this.#linger();
			});
		}
	}

	/** Hands on what was received, as far as there is time and memory, and receives more. */
	readOn(): void {
		if (this.#isReading || this.#isLingering) {
			return;
		}

		this.#isReading = true;
		try {
			while (this.#canHandOn() && this.#receive() && this.#handOn()) {
				// Goes on until one of them has to wait.
			}

			this.#lookAhead();
		} finally {
			this.#isReading = false;
		}
	}

	/** Reads on after what runs now. */
	readOnLater(): void {
		process.nextTick(() => {
			this.readOn();
		});
	}

	override _read(): void {
		this.readOnLater();
	}

	override _write(chunk: Uint8Array | string, encoding: BufferEncoding, callback: WriteCallback): void {
		this.#socket.write(chunk, encoding, callback);
		this.#giveUp(chunk.length);
	}

	override _writev(chunks: WrittenChunk[], callback: WriteCallback): void {
		this.#socket.cork();
		for (const [index, {chunk, encoding}] of chunks.entries()) {
			this.#socket.write(chunk, encoding, index === chunks.length - 1 ? callback : undefined);
			this.#giveUp(chunk.length);
		}

		this.#socket.uncork();
	}

	override _final(callback: WriteCallback): void {
		this.#socket.end(() => {
			callback();
		});
	}

	override _destroy(error: Parameters<Duplex['_destroy']>[0], callback: WriteCallback): void {
		const {memory, turns} = this.#options;
		this.#unread = noBytes;
		memory.close(this);
		turns.close(this);
		if (this.#socket.closed) {
			callback(error);
			return;
		}

		this.#socket.once('close', () => {
			callback(error);
		});
		this.#socket.destroy();
	}

	#followSocket(): void {
		this.#socket.on('readable', () => {
			if (this.#isLingering) {
				this.#drop();
				return;
			}

			this.#countUnread();
			this.readOn();
			this.#options.onReceive();
		}).on('end', () => {
			this.#hasEnded = true;
			if (this.#isLingering) {
				this.destroy();
			} else {
				this.#end();
			}
		}).on('error', error => {
			this.destroy(error);
		}).on('close', () => {
			this.destroy();
		}).on('timeout', () => {
			this.emit('timeout');
		});
	}

	#linger(): void {
		if (this.#hasEnded || this.destroyed || this.#isLingering) {
			this.destroy();
			return;
		}

		this.#isLingering = true;
		this.#setUnread(noBytes);
		this.#drop();
		const timer = setTimeout(() => {
			this.destroy();
		}, lingerMilliseconds);
		this.once('close', () => {
			clearTimeout(timer);
		});
	}

	/** Takes what the socket has received; `undefined` if there is nothing. */
	#read(): Uint8Array | undefined {
		const piece: unknown = this.#socket.read();
		return piece instanceof Uint8Array ? piece : undefined;
	}

	/** Drops what was received. */
	#drop(): void {
		const piece = this.#read();
		if (piece) {
			this.#giveUp(piece.length);
		}
	}

	/** Whether the server takes bytes now. */
	#canHandOn(): boolean {
		return !this.destroyed && !this.#isLingering && this.readableFlowing === true && this.readableLength === 0 && this.#options.memory.heads.mayReadOn(this) && this.#options.turns.mayRead(this);
	}

	/** Makes sure that there are bytes to hand on; returns whether there are. */
	#receive(): boolean {
		if (this.#unread.length > 0) {
			return true;
		}

		const piece = this.#read();
		if (!piece) {
			this.#end();
			return false;
		}

		this.#pieceBytes = piece.length;
		this.#setUnread(piece);
		return true;
	}

	/** Records bytes that were handled, or written for the caller; both take memory until they are collected. */
	#giveUp(bytes: number): void {
		this.#options.memory.giveUp(bytes, 'minor');
		this.#options.onGiveUp();
	}

	#handOn(): boolean {
		const {turns, memory, clock, onRead} = this.#options;
		const allowedBytes = memory.heads.isReadAhead(this) ? Math.min(requestSliceBytes, this.#sliceBytes) : this.#sliceBytes;
		const slice = this.#unread.subarray(0, allowedBytes);
		const startedAt = clock();
		this.#setUnread(this.#unread.subarray(slice.length));
		const takesMore = this.push(slice);
		const now = clock();
		turns.record(this, now - startedAt, now);
		if (this.destroyed) {
			turns.close(this);
		}

		this.#sliceBytes = nextSliceBytes({allowedBytes, bytes: slice.length, milliseconds: now - startedAt});
		if (this.#unread.length === 0) {
			this.#giveUp(this.#pieceBytes);
			this.#pieceBytes = 0;
		}

		onRead();
		return takesMore;
	}

	/** Receives a little more while further requests wait behind an unanswered one: the end of the input tells that the caller has left. */
	#lookAhead(): void {
		if (this.destroyed || this.#unread.length >= aheadBytes || this.#options.memory.heads.mayReadOn(this)) {
			return;
		}

		const piece = this.#read();
		if (piece) {
			this.#pieceBytes += piece.length;
			this.#setUnread(Buffer.concat([this.#unread, piece]));
		}
	}

	/** Ends the connection's input once all was handed on, or at once if what is left are further requests of a caller that has left. */
	#end(): void {
		const mustHandOn = this.#unread.length > 0 && !this.#options.memory.heads.isReadAhead(this);
		if (!this.#hasEnded || this.#isEndHandedOn || this.destroyed || mustHandOn) {
			return;
		}

		this.#isEndHandedOn = true;
		this.#setUnread(noBytes);
		this.push(null);
	}

	#setUnread(bytes: Uint8Array): void {
		this.#unread = bytes;
		this.#countUnread();
	}

	#countUnread(): void {
		this.#options.memory.setUnread(this, this.destroyed ? 0 : this.#unread.length + this.#socket.readableLength);
	}
}
