/**
 * Hints, which are propagated to all routers within seconds.
 *
 * @module
 */
import {type Hint} from './peer-protocol.ts';

/** Options of {@linkcode HintCache}. */
export type HintCacheOptions = {
	/** Time for which a hint is kept and forwarded, in milliseconds. Default 600,000. */
	lifetimeMilliseconds?: number;
	/** Maximum number of hints; the oldest are evicted first. Default 4,096. */
	maxHints?: number;
	/** Maximum number of hints that this router publishes per second; `host` hints are not counted. Default 10. */
	maxPublishedPerSecond?: number;
};

/** A hint to publish. */
export type PublishedHint = {
	/** Category of the hint; `host` is reserved for host states. */
	kind: string;
	/** Identifier of the subject within the kind. */
	key: string;
	/** At most 1,024 characters. */
	value: string;
};

/** Receives hints from other routers. */
export type HintListener = (hint: Hint, now: number) => void;

type StoredHint = {hint: Hint; publishedAt: number; sequence: number; from: string | undefined};

/** Kind of the hints that announce whether a host is live or leaving. */
export const hostHintKind = 'host';

/** Share of the lifetime during which the same value is not published again. */
const refreshShare = 1 / 2;

/** Share of the lifetime during which the same value with a higher stamp is not forwarded again. */
const repeatShare = 1 / 4;

/**
 * Keeps the newest hint of each kind and key. A hint crosses each connection at most once in each direction: a router forwards
 * only hints that are new to it, and not to the peer from which it received them.
 *
 * @example
 * ```ts
 * hints.onHint(hint => handle(hint));
 * hints.publish({kind: 'suspect', key: digest, value: 'endpoint-3'}, Date.now());
 * ```
 */
export class HintCache {
	readonly #lifetimeMilliseconds: number;
	readonly #maxHints: number;
	readonly #maxPublishedPerSecond: number;
	readonly #stored = new Map<string, StoredHint>();
	readonly #listeners = new Set<HintListener>();
	readonly #updateListeners = new Set<() => void>();
	#sequence = 0;
	#second = 0;
	#publishedInSecond = 0;

	constructor(options: HintCacheOptions = {}) {
		this.#lifetimeMilliseconds = options.lifetimeMilliseconds ?? 600_000;
		this.#maxHints = options.maxHints ?? 4096;
		this.#maxPublishedPerSecond = options.maxPublishedPerSecond ?? 10;
	}

	/** Sequence number of the newest hint, for {@linkcode HintCache.since}. */
	get sequence(): number {
		return this.#sequence;
	}

	/**
	 * Publishes a hint; an unchanged value is published again only after half of its lifetime.
	 *
	 * @param published Kind, key and value.
	 * @param now Wall-clock time, in milliseconds.
	 * @returns Whether it is published or was published recently; false when the rate limit is exceeded.
	 */
	publish(published: PublishedHint, now: number): boolean {
		const known = this.#find(published.kind, published.key, now);
		if (known?.hint.value === published.value && now - known.publishedAt < this.#lifetimeMilliseconds * refreshShare) {
			return true;
		}

		if (published.kind !== hostHintKind && !this.#allowPublication(now)) {
			return false;
		}

		const stamp = Math.max(now, (known?.hint.stamp ?? 0) + 1);
		this.#store({...published, stamp, ageMilliseconds: 0}, now, undefined);
		return true;
	}

	/**
	 * Stores a hint that a peer forwarded.
	 *
	 * @param hint The hint.
	 * @param from Name of the peer.
	 * @param now Wall-clock time, in milliseconds.
	 * @returns Whether it was new.
	 */
	receive(hint: Hint, from: string, now: number): boolean {
		if (hint.ageMilliseconds >= this.#lifetimeMilliseconds) {
			return false;
		}

		const known = this.#find(hint.kind, hint.key, now);
		if (known && (hint.stamp <= known.hint.stamp || this.#isRepeat(known, hint, now))) {
			return false;
		}

		this.#store(hint, now - hint.ageMilliseconds, from);
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
	 * Returns the hints after a sequence number, except those received from the given peer.
	 *
	 * @param sequence Sequence number of the last hint sent to the peer; 0 for all.
	 * @param peer Name of the peer.
	 * @param now Wall-clock time, in milliseconds.
	 */
	since(sequence: number, peer: string, now: number): Hint[] {
		if (sequence === this.#sequence) {
			return [];
		}

		return [...this.#stored.values()]
			.filter(kept => kept.sequence > sequence && kept.from !== peer && now - kept.publishedAt < this.#lifetimeMilliseconds)
			.map(kept => ({...kept.hint, ageMilliseconds: Math.max(0, Math.round(now - kept.publishedAt))}));
	}

	/** Calls the listener with each new hint from another router; returns a function that unsubscribes it. */
	onHint(listener: HintListener): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Calls the listener whenever a hint has been stored; returns a function that unsubscribes it. */
	onUpdate(listener: () => void): () => void {
		this.#updateListeners.add(listener);
		return () => {
			this.#updateListeners.delete(listener);
		};
	}

	#isRepeat(known: StoredHint, hint: Hint, now: number): boolean {
		return known.hint.value === hint.value && now - known.publishedAt < this.#lifetimeMilliseconds * repeatShare;
	}

	#find(kind: string, key: string, now: number): StoredHint | undefined {
		const stored = this.#stored.get(nameOf(kind, key));
		return stored && now - stored.publishedAt < this.#lifetimeMilliseconds ? stored : undefined;
	}

	#store(hint: Hint, publishedAt: number, from: string | undefined): void {
		this.#sequence += 1;
		const name = nameOf(hint.kind, hint.key);
		this.#stored.delete(name);
		this.#stored.set(name, {
			hint, publishedAt, from, sequence: this.#sequence,
		});
		if (this.#stored.size > this.#maxHints) {
			this.#stored.delete(this.#stored.keys().next().value!);
		}

		for (const listener of this.#updateListeners) {
			listener();
		}
	}

	#allowPublication(now: number): boolean {
		const second = Math.floor(now / 1000);
		if (second !== this.#second) {
			this.#second = second;
			this.#publishedInSecond = 0;
		}

		this.#publishedInSecond += 1;
		return this.#publishedInSecond <= this.#maxPublishedPerSecond;
	}
}

function nameOf(kind: string, key: string): string {
	return `${kind}/${key}`;
}
