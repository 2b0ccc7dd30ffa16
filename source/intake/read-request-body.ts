/**
 * Reads the body of a caller's request into memory that is accounted for.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {
	err, ok, type Result,
} from 'neverthrow';
import {type BodyAccount, type HeldBody} from './body-account.ts';

/**
 * Why a body was not read: larger than allowed, its connection closed, no room for it, no byte of it for too long, or not whole by the time at
 * which the response is due.
 */
export type BodyFailure = 'too-large' | 'broken' | 'no-room' | 'too-slow' | 'late';

/** A body that was read, and what is held for it. */
export type RequestBody = {bytes: Uint8Array; held: HeldBody};

/** Options of {@linkcode readRequestBody}. */
export type ReadRequestBodyOptions = {
	account: BodyAccount;
	/** Largest body, in bytes. */
	maximumBytes: number;
	/** Time without a byte after which the body counts as too slow, in milliseconds. */
	pauseMilliseconds: number;
	/** Monotonic time by which the body must have arrived, in milliseconds. */
	until: number;
	/** Returns monotonic time, in milliseconds. */
	clock: () => number;
};

/** Size of the buffer at the first byte of a body that takes no room before, in bytes; it doubles when it is full. */
const initialBufferBytes = 2048;

/** Shortest interval between two looks at a body that does not arrive, in milliseconds. */
const minimumCheckMilliseconds = 10;

/**
 * Reads a body. After a failure, the request is paused and its rest is not read.
 *
 * The bytes are copied into one buffer that grows, so that a body which arrives in many small pieces takes no more memory than its size.
 *
 * @param request Request whose body is read.
 * @param options Limits.
 * @returns The body, which must be released once it is not used any more, or why it was not read.
 */
export async function readRequestBody(request: IncomingMessage, options: ReadRequestBodyOptions): Promise<Result<RequestBody, BodyFailure>> {
	if (request.destroyed) {
		return err('broken');
	}

	const announced = Number(request.headers['content-length'] ?? 0);
	if (announced > options.maximumBytes) {
		return err('too-large');
	}

	return new BodyReader(request, options).read();
}

const noBytes = Buffer.alloc(0);

/** Listens for errors of a request whose body is not read any more; those of its connection are reported elsewhere. */
function ignore(): void {
	// Nothing depends on it.
}

class BodyReader {
	readonly #request: IncomingMessage;
	readonly #options: ReadRequestBodyOptions;
	readonly #held: HeldBody;
	#buffer = noBytes;
	#length = 0;
	/** Length that the request announces; absent if its body comes in chunks. */
	readonly #announcedBytes: number | undefined;
	/** Room that was taken before the body is read; 0 for a body that is small or comes in chunks. */
	#reservedBytes = 0;
	#arrivedAt: number;
	#timer: NodeJS.Timeout | undefined;
	#settle: ((result: Result<RequestBody, BodyFailure>) => void) | undefined;

	constructor(request: IncomingMessage, options: ReadRequestBodyOptions) {
		this.#request = request;
		this.#options = options;
		this.#announcedBytes = request.headers['content-length'] === undefined ? undefined : Number(request.headers['content-length']);
		this.#arrivedAt = options.clock();
		this.#held = options.account.open(this.#arrivedAt, () => {
			this.#fail('no-room');
		});
	}

	async read(): Promise<Result<RequestBody, BodyFailure>> {
		if (!this.#reserve()) {
			return err('no-room');
		}

		return new Promise(resolve => {
			this.#settle = resolve;
			this.#request.on('data', this.#onData).on('end', this.#onEnd).on('close', this.#onClose).on('error', this.#onClose);
			this.#startTimer();
		});
	}

	readonly #onData = (chunk: Uint8Array) => {
		this.#add(chunk);
	};

	readonly #onEnd = () => {
		this.#held.complete();
		this.#finish(ok({bytes: this.#buffer.subarray(0, this.#length), held: this.#held}));
	};

	readonly #onClose = () => {
		this.#fail('broken');
	};

	/** Settles; what happens to the request later, such as its close after its end, does not change the result. */
	#finish(result: Result<RequestBody, BodyFailure>): void {
		const settle = this.#settle;
		clearTimeout(this.#timer);
		this.#request.off('data', this.#onData).off('end', this.#onEnd).off('close', this.#onClose);
		this.#request.off('error', this.#onClose).on('error', ignore);
		// The connection keeps its last request, which must not keep the body.
		this.#buffer = noBytes;
		this.#settle = undefined;
		settle?.(result);
	}

	#add(chunk: Uint8Array): void {
		const length = this.#length + chunk.length;
		if (length > this.#options.maximumBytes) {
			this.#fail('too-large');
			return;
		}

		this.#arrivedAt = this.#options.clock();
		if (!this.#makeRoom(length)) {
			this.#fail('no-room');
			return;
		}

		this.#buffer.set(chunk, this.#length);
		this.#length = length;
	}

	/** Takes the room of a large body that announces its length; returns whether there is any. */
	#reserve(): boolean {
		const {account, clock} = this.#options;
		if (this.#announcedBytes === undefined || account.isSmall(this.#announcedBytes)) {
			return true;
		}

		this.#reservedBytes = this.#announcedBytes;
		return this.#held.resize(this.#reservedBytes, clock());
	}

	/** Makes room for more bytes; returns whether there is any. */
	#makeRoom(length: number): boolean {
		const isEnough = length <= this.#buffer.length;
		const size = isEnough ? this.#buffer.length : Math.max(length, Math.min(this.#announcedBytes ?? Number.POSITIVE_INFINITY, Math.max(initialBufferBytes, this.#buffer.length * 2)));
		if (!this.#held.resize(Math.max(size, this.#reservedBytes), this.#arrivedAt)) {
			return false;
		}

		if (!isEnough) {
			const larger = Buffer.allocUnsafeSlow(Math.max(size, this.#reservedBytes));
			larger.set(this.#buffer.subarray(0, this.#length));
			this.#buffer = larger;
		}

		return true;
	}

	#fail(failure: BodyFailure): void {
		this.#request.pause();
		this.#held.release();
		this.#finish(err(failure));
	}

	/** Looks again when the body could have become too slow. */
	#startTimer(): void {
		const {pauseMilliseconds, until, clock} = this.#options;
		const due = Math.min(this.#arrivedAt + pauseMilliseconds, until);
		const now = clock();
		this.#timer = setTimeout(() => {
			if (clock() >= until) {
				this.#fail('late');
			} else if (clock() - this.#arrivedAt >= pauseMilliseconds) {
				this.#fail('too-slow');
			} else {
				this.#startTimer();
			}
		}, Math.max(minimumCheckMilliseconds, due - now));
	}
}
