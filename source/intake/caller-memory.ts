/**
 * Accounts for all bytes that callers make a process hold.
 *
 * Designed for crowds of callers that send more than a process has memory for, whatever they send: bodies, heads, bytes that wait to be
 * handled, and bytes that were handled or given up and still take memory until they are collected.
 *
 * @module
 */
import {BodyAccount} from './body-account.ts';
import {HeadAccount} from './head-account.ts';
import {type IntakeLimits} from './intake-limits.ts';

/** Kinds of bytes that are held. */
export type HeldKind = 'bodies' | 'heads' | 'unread' | 'uncollected';

/** How much of what was given up a collection frees: `minor` what was held for a short time only, `full` all. */
export type CollectionKind = 'minor' | 'full';

/**
 * The bytes that callers make a process hold, by kind.
 *
 * @example
 * ```ts
 * memory.setUnread(connection, 4096);
 * memory.giveUp(4096, 'minor');
 * const kind = memory.dueCollection;
 * ```
 */
export class CallerMemory<Key> {
	readonly bodies: BodyAccount;
	readonly heads: HeadAccount<Key>;
	readonly #limits: IntakeLimits;
	readonly #unread = new Map<Key, number>();
	#unreadBytes = 0;
	/** Bytes given up, by the collection that frees them. */
	readonly #uncollected: Record<CollectionKind, number> = {minor: 0, full: 0};

	constructor(limits: IntakeLimits) {
		this.#limits = limits;
		this.bodies = new BodyAccount({
			...limits,
			onGiveUp: bytes => {
				this.giveUp(bytes, 'full');
			},
		});
		this.heads = new HeadAccount(limits);
	}

	/** Bytes that are held, by kind. */
	get heldBytes(): Record<HeldKind, number> {
		return {
			bodies: this.bodies.totalBytes, heads: this.heads.totalBytes, unread: this.#unreadBytes, uncollected: this.#uncollected.minor + this.#uncollected.full,
		};
	}

	/** The collection that is due, as so much was given up; `undefined` if none is. */
	get dueCollection(): CollectionKind | undefined {
		const {uncollectedBytes} = this.#limits;
		if (this.#uncollected.full >= uncollectedBytes) {
			return 'full';
		}

		return this.#uncollected.minor >= uncollectedBytes ? 'minor' : undefined;
	}

	/** Returns the connection to close because too much waits to be handled: the one for which most does; `undefined` if there is room. */
	chooseVictim(): Key | undefined {
		if (this.#unreadBytes < this.#limits.allUnreadBytes) {
			return undefined;
		}

		let most: {key: Key; bytes: number} | undefined;
		for (const [key, bytes] of this.#unread) {
			if (bytes > (most?.bytes ?? 0)) {
				most = {key, bytes};
			}
		}

		return most?.key;
	}

	/** Sets the number of bytes that a connection has received and that are not handled yet. */
	setUnread(key: Key, bytes: number): void {
		this.#unreadBytes += bytes - (this.#unread.get(key) ?? 0);
		if (bytes === 0) {
			this.#unread.delete(key);
		} else {
			this.#unread.set(key, bytes);
		}
	}

	/**
	 * Records bytes that are not used any more, and take memory until they are collected.
	 *
	 * @param bytes Number of bytes.
	 * @param kind The collection that frees them.
	 */
	giveUp(bytes: number, kind: CollectionKind): void {
		this.#uncollected[kind] += bytes;
	}

	/** Records that what was given up has been collected. */
	recordCollection(kind: CollectionKind): void {
		this.#uncollected.minor = 0;
		if (kind === 'full') {
			this.#uncollected.full = 0;
		}
	}

	/** Removes a connection that has closed. */
	close(key: Key): void {
		this.giveUp(this.#unread.get(key) ?? 0, 'full');
		this.setUnread(key, 0);
		this.heads.close(key);
	}
}
