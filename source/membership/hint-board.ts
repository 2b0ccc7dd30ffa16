/**
 * Hints that spread over all routers within seconds.
 *
 * @module
 */
import {type Hint} from './peer-protocol.ts';

/** Options of {@linkcode HintBoard}. */
export type HintBoardOptions = {
	/** Time for which a hint is kept and passed on, in milliseconds. Default 600,000. */
	lifetimeMilliseconds?: number;
	/** Number of hints kept; the oldest are dropped first. Default 4,096. */
	keptHints?: number;
	/** Hints that this router may publish in a second; `host` hints are not counted. Default 10. */
	publishedPerSecond?: number;
};

/** A hint to publish. */
export type PublishedHint = {
	/** What the hint is about; `host` is the membership's own. */
	kind: string;
	/** The thing that it is about. */
	key: string;
	/** At most 1,024 characters. */
	value: string;
};

/** Receives hints of other routers. */
export type HintListener = (hint: Hint, now: number) => void;

type KeptHint = {hint: Hint; publishedAt: number; sequence: number; from: string | undefined};

/** Kind of the hints that say whether a host is live or leaving. */
export const hostHintKind = 'host';

/** Share of the lifetime before which the same value is not published again. */
const refreshShare = 1 / 2;

/** Share of the lifetime before which the same value with a higher stamp is not passed on again. */
const repeatedShare = 1 / 4;

/**
 * Keeps the newest hint of each kind and key. A hint crosses each link at most once in each direction: it is passed on only
 * by the router to which it is news, and not back to where it came from.
 *
 * @example
 * ```ts
 * hints.onHint(hint => consider(hint));
 * hints.publish({kind: 'suspect', key: digest, value: 'endpoint-3'}, Date.now());
 * ```
 */
export class HintBoard {
	readonly #lifetimeMilliseconds: number;
	readonly #keptHints: number;
	readonly #publishedPerSecond: number;
	readonly #kept = new Map<string, KeptHint>();
	readonly #listeners = new Set<HintListener>();
	readonly #wakers = new Set<() => void>();
	#sequence = 0;
	#second = 0;
	#publishedInSecond = 0;

	constructor(options: HintBoardOptions = {}) {
		this.#lifetimeMilliseconds = options.lifetimeMilliseconds ?? 600_000;
		this.#keptHints = options.keptHints ?? 4096;
		this.#publishedPerSecond = options.publishedPerSecond ?? 10;
	}

	/** Position of the newest hint, for {@linkcode HintBoard.since}. */
	get sequence(): number {
		return this.#sequence;
	}

	/**
	 * Publishes a hint; the same value again is spread again only after half of its lifetime.
	 *
	 * @param published Kind, key and value.
	 * @param now Wall-clock time, in milliseconds.
	 * @returns Whether it spreads or has spread; false when this router publishes too much.
	 */
	publish(published: PublishedHint, now: number): boolean {
		const known = this.#find(published.kind, published.key, now);
		if (known?.hint.value === published.value && now - known.publishedAt < this.#lifetimeMilliseconds * refreshShare) {
			return true;
		}

		if (published.kind !== hostHintKind && !this.#takeAllowance(now)) {
			return false;
		}

		const stamp = Math.max(now, (known?.hint.stamp ?? 0) + 1);
		this.#keep({...published, stamp, ageMilliseconds: 0}, now, undefined);
		return true;
	}

	/**
	 * Takes a hint that a peer passed on.
	 *
	 * @param hint The hint.
	 * @param from Name of the peer.
	 * @param now Wall-clock time, in milliseconds.
	 * @returns Whether it was news.
	 */
	receive(hint: Hint, from: string, now: number): boolean {
		if (hint.ageMilliseconds >= this.#lifetimeMilliseconds) {
			return false;
		}

		const known = this.#find(hint.kind, hint.key, now);
		if (known && (hint.stamp <= known.hint.stamp || this.#repeats(known, hint, now))) {
			return false;
		}

		this.#keep(hint, now - hint.ageMilliseconds, from);
		for (const listener of this.#listeners) {
			listener(hint, now);
		}

		return true;
	}

	/** Returns the value of a hint that has not expired. */
	value(kind: string, key: string, now: number): string | undefined {
		return this.#find(kind, key, now)?.hint.value;
	}

	/**
	 * Returns the hints that are newer than a position, except those that came from a peer.
	 *
	 * @param sequence Position up to which the peer has been told; 0 for all.
	 * @param peer Name of the peer.
	 * @param now Wall-clock time, in milliseconds.
	 */
	since(sequence: number, peer: string, now: number): Hint[] {
		if (sequence === this.#sequence) {
			return [];
		}

		return [...this.#kept.values()]
			.filter(kept => kept.sequence > sequence && kept.from !== peer && now - kept.publishedAt < this.#lifetimeMilliseconds)
			.map(kept => ({...kept.hint, ageMilliseconds: Math.max(0, Math.round(now - kept.publishedAt))}));
	}

	/** Calls back with each hint of other routers that is news; returns a function that stops it. */
	onHint(listener: HintListener): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Calls back whenever there is something new to pass on; returns a function that stops it. */
	onNews(waker: () => void): () => void {
		this.#wakers.add(waker);
		return () => {
			this.#wakers.delete(waker);
		};
	}

	#repeats(known: KeptHint, hint: Hint, now: number): boolean {
		return known.hint.value === hint.value && now - known.publishedAt < this.#lifetimeMilliseconds * repeatedShare;
	}

	#find(kind: string, key: string, now: number): KeptHint | undefined {
		const kept = this.#kept.get(nameOf(kind, key));
		return kept && now - kept.publishedAt < this.#lifetimeMilliseconds ? kept : undefined;
	}

	#keep(hint: Hint, publishedAt: number, from: string | undefined): void {
		this.#sequence += 1;
		const name = nameOf(hint.kind, hint.key);
		this.#kept.delete(name);
		this.#kept.set(name, {
			hint, publishedAt, from, sequence: this.#sequence,
		});
		if (this.#kept.size > this.#keptHints) {
			this.#kept.delete(this.#kept.keys().next().value!);
		}

		for (const waker of this.#wakers) {
			waker();
		}
	}

	#takeAllowance(now: number): boolean {
		const second = Math.floor(now / 1000);
		if (second !== this.#second) {
			this.#second = second;
			this.#publishedInSecond = 0;
		}

		this.#publishedInSecond += 1;
		return this.#publishedInSecond <= this.#publishedPerSecond;
	}
}

function nameOf(kind: string, key: string): string {
	return `${kind}/${key}`;
}
