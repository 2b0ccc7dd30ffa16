/**
 * Decides which bodies of callers a gateway holds when there is not room for all of them.
 *
 * Designed for a crowd that sends many bodies of the largest allowed size at once, or stops short of their end and stays connected. Small
 * bodies, which ordinary callers send, have room of their own; there, the body that holds most gives way. A larger body takes its room before
 * it is read, if there is any; one that does not arrive gives way to it. So what is refused takes no memory.
 *
 * @module
 */
import {type IntakeLimits} from './intake-limits.ts';

/** A body that is being read or held. */
export type HeldBody = {
	/** Bytes held for it. */
	readonly bytes: number;
	/** Releases what is held; may be called more than once. */
	release(): void;
	/**
	 * Sets the number of bytes held while the body is read; other bodies may give way.
	 *
	 * @param bytes Bytes held for it from now on.
	 * @param now Monotonic time, in milliseconds.
	 * @returns Whether there is room; if not, nothing is held for it any more.
	 */
	resize(bytes: number, now: number): boolean;
	/** Records that the body is complete, so that it does not give way any more. */
	complete(): void;
};

/** Options of {@linkcode BodyAccount}. */
export type BodyAccountOptions = Pick<IntakeLimits, 'smallBodyBytes' | 'allSmallBytes' | 'allLargeBytes'> & {
	/** Called with the bytes of each body that is not held any more. Default does nothing. */
	onGiveUp?: (bytes: number) => void;
};

type Entry = {
	bytes: number;
	isReading: boolean;
	/** Monotonic time at which bytes last arrived, in milliseconds. */
	progressAt: number;
	onGiveWay: () => void;
};

type SizeClass = 'small' | 'large';

/** Time without a byte after which a body is stalled, in milliseconds. */
const stallMilliseconds = 1000;

/**
 * Accounts for the bytes of all bodies.
 *
 * @example
 * ```ts
 * const held = account.open(now, () => stopReading());
 * if (!held.resize(4096, now)) refuse();
 * held.complete();
 * held.release();
 * ```
 */
export class BodyAccount {
	readonly #options: BodyAccountOptions;
	readonly #entries = new Set<Entry>();
	readonly #totals: Record<SizeClass, number> = {small: 0, large: 0};

	constructor(options: BodyAccountOptions) {
		this.#options = options;
	}

	/** Bytes held for all bodies. */
	get totalBytes(): number {
		return this.#totals.small + this.#totals.large;
	}

	/** Whether a body of this size counts as small. */
	isSmall(bytes: number): boolean {
		return this.#classOf(bytes) === 'small';
	}

	/**
	 * Starts to account for a body.
	 *
	 * @param now Monotonic time, in milliseconds.
	 * @param onGiveWay Called once if the body has to give way to others; nothing is held for it from then on.
	 */
	open(now: number, onGiveWay: () => void): HeldBody {
		const entry: Entry = {
			bytes: 0, isReading: true, progressAt: now, onGiveWay,
		};
		this.#entries.add(entry);
		return {
			get bytes() {
				return entry.bytes;
			},
			release: () => {
				this.#remove(entry);
			},
			resize: (bytes, at) => this.#resize(entry, bytes, at),
			complete() {
				entry.isReading = false;
			},
		};
	}

	#resize(entry: Entry, bytes: number, now: number): boolean {
		if (!this.#entries.has(entry)) {
			return false;
		}

		this.#setBytes(entry, bytes);
		entry.progressAt = now;
		const sizeClass = this.#classOf(bytes);
		while (this.#totals[sizeClass] > this.#limitOf(sizeClass)) {
			const victim = this.#chooseVictim(sizeClass, now);
			if (!victim || victim === entry) {
				this.#remove(entry);
				return false;
			}

			this.#remove(victim);
			victim.onGiveWay();
		}

		return true;
	}

	/** Returns the body that is read and gives way first, if any does: the stalled one that holds most, or, of small ones, the one that holds most. */
	#chooseVictim(sizeClass: SizeClass, now: number): Entry | undefined {
		const isStalled = ({progressAt}: Entry) => now - progressAt >= stallMilliseconds;
		return [...this.#entries]
			.filter(entry => entry.isReading && entry.bytes > 0 && this.#classOf(entry.bytes) === sizeClass && (sizeClass === 'small' || isStalled(entry)))
			.toSorted((left, right) => Number(isStalled(right)) - Number(isStalled(left)) || right.bytes - left.bytes || left.progressAt - right.progressAt)
			.at(0);
	}

	#classOf(bytes: number): SizeClass {
		return bytes <= this.#options.smallBodyBytes ? 'small' : 'large';
	}

	#limitOf(sizeClass: SizeClass): number {
		return sizeClass === 'small' ? this.#options.allSmallBytes : this.#options.allLargeBytes;
	}

	#setBytes(entry: Entry, bytes: number): void {
		this.#totals[this.#classOf(entry.bytes)] -= entry.bytes;
		this.#totals[this.#classOf(bytes)] += bytes;
		entry.bytes = bytes;
	}

	#remove(entry: Entry): void {
		this.#entries.delete(entry);
		this.#options.onGiveUp?.(entry.bytes);
		this.#setBytes(entry, 0);
	}
}
