/**
 * Cache of the rows of a table that all gateways follow.
 *
 * @module
 */
import {eraOf} from './store-revision.ts';

/** A change of a row: its new content, or its removal when `content` is absent. */
export type RowChange<Content> = {key: string; content?: Content; revision: number};

type CachedRow<Content> = {content: Content | undefined; revision: number};

/** Maximum number of removed rows to keep as tombstones, so that an older change that arrives late cannot restore them. */
const maximumTombstones = 1000;

/**
 * Caches the newest known content of each row. Changes from the store and from other gateways may arrive in any order.
 *
 * @example
 * ```ts
 * cache.apply([{key, content, revision}]);
 * cache.get(key);
 * ```
 */
export class RowCache<Content> {
	readonly #rows = new Map<string, CachedRow<Content>>();
	readonly #listeners: Array<(key: string, content: Content | undefined) => void> = [];
	#revision = 0;

	/** Revision of the store up to which all changes are known; 0 before the first list. */
	get revision(): number {
		return this.#revision;
	}

	/** Returns the content of a row. */
	get(key: string): Content | undefined {
		return this.#rows.get(key)?.content;
	}

	/** Returns all rows that have content. */
	entries(): Array<[key: string, content: Content]> {
		return [...this.#rows].flatMap(([key, {content}]) => content === undefined ? [] : [[key, content] as [string, Content]]);
	}

	/** Registers a function that is called after each change with the row's key and new content. */
	onChange(listener: (key: string, content: Content | undefined) => void): void {
		this.#listeners.push(listener);
	}

	/** Applies changes; those older than what is known are ignored. */
	apply(changes: ReadonlyArray<RowChange<Content>>): void {
		for (const {key, content, revision} of changes) {
			if (revision <= (this.#rows.get(key)?.revision ?? 0)) {
				continue;
			}

			this.#rows.delete(key);
			this.#rows.set(key, {content, revision});
			for (const listener of this.#listeners) {
				listener(key, content);
			}
		}

		this.#pruneTombstones();
	}

	/**
	 * Applies the complete list of rows at a revision. Rows that are missing from it were removed, but for those known from before the store
	 * came back from an older copy: whoever wrote these writes them again.
	 */
	replace(changes: ReadonlyArray<RowChange<Content>>, revision: number): void {
		const listed = new Set(changes.map(({key}) => key));
		const removed = [...this.#rows].filter(([key, row]) => !listed.has(key) && eraOf(row.revision) === eraOf(revision)).map(([key]) => ({key, revision}));
		this.apply([...changes, ...removed]);
	}

	/** Records that all changes up to a revision have been applied. */
	confirm(revision: number): void {
		this.#revision = Math.max(this.#revision, revision);
	}

	/** Returns the rows that changed after a revision, to send to other gateways. */
	changesSince(revision: number): Array<RowChange<Content>> {
		return [...this.#rows].filter(([, row]) => row.revision > revision).map(([key, row]) => ({key, ...row}));
	}

	#pruneTombstones(): void {
		const tombstones = [...this.#rows].filter(([, {content}]) => content === undefined);
		for (const [key] of tombstones.slice(0, Math.max(0, tombstones.length - maximumTombstones))) {
			this.#rows.delete(key);
		}
	}
}
