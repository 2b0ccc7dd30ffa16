/**
 * The view of a caller that keeps one entry.
 *
 * @module
 */
import {EntryList} from '../client/mod.ts';

/** An entry list that never changes. */
export class PinnedEntry extends EntryList {
	readonly #address: string;

	constructor(address: string) {
		super({seeds: [address]});
		this.#address = address;
	}

	override async listInOrder(): Promise<string[]> {
		return [this.#address];
	}
}
