/**
 * What this router knows of the endpoints of all services.
 *
 * @module
 */

/** One endpoint as it registered itself. */
export type EndpointEntry = {
	/** Names one life of an endpoint, mostly. */
	id: string;
	service: string;
	/** IP number and port. */
	address: string;
	availabilityZone: string;
	/** Requests that it works on at once. */
	slots: number;
	/** Whether it takes no new requests. */
	leaving: boolean;
	/** Unix milliseconds of its start; 0 where it does not say. */
	startedAt: number;
};

/** A change of the list: an entry, or the fact that it was removed. */
export type EndpointChange = {id: string; entry: EndpointEntry | undefined; revision: number};

type Known = {entry: EndpointEntry | undefined; revision: number; lapsesAt: number | undefined};

/** Time after an outage of the store within which endpoints whose entries lapsed during it register again, in milliseconds. */
const registerAgainMilliseconds = 2000;

/** Removed entries that are remembered, so that an older change cannot bring them back. */
const rememberedRemovals = 2000;

/**
 * Keeps the newest entry of each endpoint. An endpoint that was once seen to leave stays so for that life of it.
 *
 * @example
 * ```ts
 * list.apply([{id, entry, revision}], now);
 * const endpoints = list.endpointsOf('desk', now);
 * ```
 */
export class EndpointList {
	readonly #known = new Map<string, Known>();
	readonly #refusedLives = new Map<string, number>();
	#byService: Map<string, EndpointEntry[]> | undefined;
	#lapsing = false;
	#outageEndedAt = Number.NEGATIVE_INFINITY;

	/** Number of endpoints that are listed. */
	get size(): number {
		return [...this.#known.values()].filter(({entry}) => entry).length;
	}

	/** All entries and removals, for other routers. */
	changesSince(revision: number): EndpointChange[] {
		return [...this.#known]
			.filter(([, known]) => known.revision > revision)
			.map(([id, {entry, revision: changedAt, lapsesAt}]) => ({id, entry: lapsesAt === undefined ? entry : undefined, revision: changedAt}));
	}

	/**
	 * Takes changes, in any order.
	 *
	 * @param changes Entries and removals.
	 * @param now Steady time, in milliseconds.
	 */
	apply(changes: readonly EndpointChange[], now: number): void {
		for (const change of changes) {
			this.#take(change, now);
		}

		this.#forgetOldRemovals();
		this.#byService = undefined;
	}

	/**
	 * Takes the whole list; whatever it lacks is removed.
	 *
	 * @param changes All entries.
	 * @param revision Revision of the list.
	 * @param now Steady time, in milliseconds.
	 */
	replace(changes: readonly EndpointChange[], revision: number, now: number): void {
		const listed = new Set(changes.map(({id}) => id));
		const removed = [...this.#known.keys()].filter(id => !listed.has(id)).map(id => ({id, entry: undefined, revision}));
		this.apply([...changes, ...removed], now);
	}

	/** Records that the store answers again after an outage, during which entries of live endpoints may have lapsed. */
	outageEnded(now: number): void {
		this.#outageEndedAt = now;
	}

	/** Records that an endpoint has refused as another one, or has shown another start: it is not used in that life again. */
	refuse(id: string, startedAt: number): void {
		this.#refusedLives.set(id, startedAt);
		this.#byService = undefined;
	}

	/**
	 * Returns the endpoints of a service that take requests.
	 *
	 * @param service Name of the service.
	 * @param now Steady time, in milliseconds.
	 */
	endpointsOf(service: string, now: number): readonly EndpointEntry[] {
		if (this.#lapsing) {
			this.#removeLapsed(now);
		}

		this.#byService ??= this.#group();
		return this.#byService.get(service) ?? [];
	}

	#take({id, entry, revision}: EndpointChange, now: number): void {
		const known = this.#known.get(id);
		if (known && revision <= known.revision) {
			return;
		}

		if (!entry && known?.entry && !known.entry.leaving && now - this.#outageEndedAt < registerAgainMilliseconds) {
			this.#known.set(id, {entry: known.entry, revision, lapsesAt: this.#outageEndedAt + registerAgainMilliseconds});
			this.#lapsing = true;
			return;
		}

		const leftBefore = known?.entry?.leaving === true && entry?.startedAt === known.entry.startedAt;
		this.#known.delete(id);
		this.#known.set(id, {entry: entry && {...entry, leaving: entry.leaving || leftBefore}, revision, lapsesAt: undefined});
	}

	#removeLapsed(now: number): void {
		this.#lapsing = false;
		for (const known of this.#known.values()) {
			if (known.lapsesAt === undefined) {
				continue;
			}

			if (now < known.lapsesAt) {
				this.#lapsing = true;
			} else {
				known.entry = undefined;
				known.lapsesAt = undefined;
				this.#byService = undefined;
			}
		}
	}

	#group(): Map<string, EndpointEntry[]> {
		const groups = new Map<string, EndpointEntry[]>();
		for (const {entry} of this.#known.values()) {
			if (!entry || entry.leaving || this.#refusedLives.get(entry.id) === entry.startedAt) {
				continue;
			}

			const group = groups.get(entry.service) ?? [];
			group.push(entry);
			groups.set(entry.service, group);
		}

		return groups;
	}

	#forgetOldRemovals(): void {
		const removed = [...this.#known].filter(([, {entry}]) => !entry);
		for (const [id] of removed.slice(0, Math.max(0, removed.length - rememberedRemovals))) {
			this.#known.delete(id);
			this.#refusedLives.delete(id);
		}
	}
}
