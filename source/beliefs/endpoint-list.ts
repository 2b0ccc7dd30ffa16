/**
 * Caches the registered endpoints of all services.
 *
 * @module
 */
import {isDeepStrictEqual} from 'node:util';
import {ageOf, type ClockReading} from '../clocks/mod.ts';
import {
	type EndpointChange, type EndpointEntry, type EndpointIncarnation, type IncarnationState, type LeavingIncarnation,
} from '../registry/mod.ts';
import {
	changeOf, postpone, wasRemovedBeforeCopy, type KnownEndpoint,
} from './known-endpoint.ts';
import {LeavingAnnouncements} from './leaving-announcements.ts';

/** Options of {@linkcode EndpointList}. */
export type EndpointListOptions = {
	/** Interval at which endpoints write their entries, in milliseconds; entries that are not written for several of them expire. Default 1200. */
	heartbeatMilliseconds?: number;
};

/** Time after a store outage within which endpoints whose entries expired during it register again, in milliseconds. */
const reregistrationMilliseconds = 2000;

/** Number of heartbeats without a write after which the store removes an entry. */
const heartbeatsUntilExpiry = 3;

/** Number of removed entries that are retained, so that an older change that arrives late cannot restore them. */
const retainedRemovals = 2000;

/**
 * Holds the newest entry of each endpoint. Once an incarnation has been seen leaving, it stays so until a new incarnation replaces it.
 *
 * @example
 * ```ts
 * list.apply([{id, entry, revision}], now);
 * const endpoints = list.endpointsOf('desk', now);
 * ```
 */
export class EndpointList {
	readonly #known = new Map<string, KnownEndpoint>();
	/** Start times of the incarnations that are not to be used again, by id of the endpoint. */
	readonly #excludedIncarnations = new Map<string, Set<number>>();
	readonly #leaving = new LeavingAnnouncements({maximumSize: retainedRemovals});
	/** Available endpoints by service; undefined until it is built again after a change. */
	#byService: Map<string, EndpointEntry[]> | undefined;
	/** Time after which an entry from an older copy of the store is gone unless its endpoint is alive, in milliseconds. */
	readonly #copyExpiryMilliseconds: number;
	/** Number of endpoints that have an entry; undefined until it is counted again after a change. */
	#size: number | undefined;
	#hasUpcoming = false;
	#outageEndedAt = Number.NEGATIVE_INFINITY;
	#revision = 0;
	#confirmedAt: ClockReading | undefined;

	constructor({heartbeatMilliseconds = 1200}: EndpointListOptions = {}) {
		this.#copyExpiryMilliseconds = (heartbeatsUntilExpiry * heartbeatMilliseconds) + reregistrationMilliseconds;
	}

	/** Number of endpoints that have an entry. */
	get size(): number {
		this.#size ??= [...this.#known.values()].filter(({entry}) => entry).length;
		return this.#size;
	}

	/** Returns the number of endpoints that have an entry, or undefined while an entry or a removal is to take effect later. */
	settledSize(now: number): number | undefined {
		this.#applyUpcoming(now);
		return this.#hasUpcoming ? undefined : this.size;
	}

	/** Revision up to which all changes have been received. */
	get revision(): number {
		return this.#revision;
	}

	/** Returns the time since the list was last confirmed to be complete, in milliseconds; infinite if it never was. */
	age(now: ClockReading): number {
		return this.#confirmedAt ? ageOf(this.#confirmedAt, now) : Number.POSITIVE_INFINITY;
	}

	/**
	 * Records that all changes up to a revision have been received and that the store held no later one at the given time.
	 *
	 * @param revision The revision.
	 * @param readAt A time no later than the store's read.
	 */
	confirm(revision: number, readAt: ClockReading): void {
		this.#revision = Math.max(this.#revision, revision);
		if (!this.#confirmedAt || readAt.steady > this.#confirmedAt.steady) {
			this.#confirmedAt = readAt;
		}
	}

	/**
	 * Returns the entries and removals that changed after a revision, to send to another gateway; an entry that is about to expire is sent as a removal.
	 *
	 * @param revision The revision.
	 * @param now Steady time, in milliseconds.
	 */
	changesSince(revision: number, now: number): EndpointChange[] {
		return [...this.#known]
			.filter(([, known]) => known.changedAt > revision)
			.map(([id, known]) => changeOf(id, known, now));
	}

	/**
	 * Applies changes, which may arrive in any order.
	 *
	 * @param changes Entries and removals.
	 * @param now Steady time, in milliseconds.
	 */
	apply(changes: readonly EndpointChange[], now: number): void {
		for (const change of changes) {
			this.#applyChange(change, now);
		}

		this.#pruneRemovals();
	}

	/**
	 * Replaces the whole list; entries that it lacks are removed.
	 *
	 * A list from after the store came back from an older copy may hold entries that have been removed since the copy was made. An endpoint
	 * that is gone does not write such an entry again, so it is used only when it would have expired by then.
	 *
	 * @param changes All entries.
	 * @param revision Revision of the list.
	 * @param now Steady time, in milliseconds.
	 */
	replace(changes: readonly EndpointChange[], revision: number, now: number): void {
		const listed = new Set(changes.map(({id}) => id));
		const removed = [...this.#known.keys()].filter(id => !listed.has(id)).map(id => ({id, entry: undefined, revision}));
		const current = changes.map(change => wasRemovedBeforeCopy(this.#known.get(change.id), change) ? postpone(change, this.#copyExpiryMilliseconds) : change);
		this.apply([...current, ...removed], now);
		this.#markChanged(changes);
	}

	/** Records that the store responds again after an outage, during which entries of live endpoints may have expired. */
	recordOutageEnd(now: number): void {
		this.#outageEndedAt = now;
	}

	/** Excludes an incarnation: the process at its address rejected a request as meant for another endpoint, or reported another start time. */
	excludeIncarnation(id: string, startedAt: number): void {
		const excluded = this.#excludedIncarnations.get(id) ?? new Set();
		this.#excludedIncarnations.set(id, excluded.add(startedAt));
		this.#byService = undefined;
	}

	/**
	 * Records that an endpoint announced that it is leaving; that incarnation is not used again.
	 *
	 * @param incarnation The endpoint's id and start time.
	 * @param reportedAt Steady time of the announcement, in milliseconds.
	 * @returns Whether the announcement was new.
	 */
	markLeaving(incarnation: EndpointIncarnation, reportedAt: number): boolean {
		const isNew = this.#leaving.add(incarnation, reportedAt);
		if (isNew) {
			this.#byService = undefined;
		}

		return isNew;
	}

	/** Returns the incarnations that recently announced that they are leaving, to send to other gateways. */
	leavingIncarnations(now: number): LeavingIncarnation[] {
		return this.#leaving.recent(now);
	}

	/** Merges the leaving incarnations that another gateway sent. */
	mergeLeaving(incarnations: readonly LeavingIncarnation[], now: number): void {
		for (const {ageMilliseconds, ...incarnation} of incarnations) {
			this.markLeaving(incarnation, now - ageMilliseconds);
		}
	}

	/**
	 * Returns the endpoints of a service that accept requests.
	 *
	 * @param service Name of the service.
	 * @param now Steady time, in milliseconds.
	 */
	endpointsOf(service: string, now: number): readonly EndpointEntry[] {
		this.#applyUpcoming(now);
		this.#byService ??= this.#groupByService();
		return this.#byService.get(service) ?? [];
	}

	/** Returns the state of one incarnation of an endpoint. */
	stateOf({id, startedAt}: EndpointIncarnation): IncarnationState {
		const entry = this.#known.get(id)?.entry;
		if (!entry) {
			return 'removed';
		}

		if (entry.startedAt !== startedAt) {
			return 'replaced';
		}

		return entry.leaving || this.#leaving.has(entry) ? 'leaving' : 'listed';
	}

	#applyChange(change: EndpointChange, now: number): void {
		const {id, entry, upcoming, revision} = change;
		const known = this.#known.get(id);
		if (known && revision <= known.revision) {
			return;
		}

		if (known && this.#mayRegisterAgain(known, change, now)) {
			this.#known.set(id, {
				...known, revision, changedAt: revision, upcoming: {entry: undefined, at: this.#outageEndedAt + reregistrationMilliseconds},
			});
			this.#hasUpcoming = true;
			return;
		}

		const wasLeaving = known?.entry?.leaving === true && entry?.startedAt === known.entry.startedAt;
		const next = entry && {...entry, leaving: entry.leaving || wasLeaving};
		if (known && !known.upcoming && !upcoming && isDeepStrictEqual(known.entry, next)) {
			known.revision = revision;
			return;
		}

		this.#known.delete(id);
		this.#known.set(id, {
			entry: next, revision, changedAt: revision, upcoming: upcoming && {entry: upcoming.entry, at: now + upcoming.inMilliseconds},
		});
		this.#hasUpcoming ||= upcoming !== undefined;
		this.#byService = undefined;
		this.#size = undefined;
	}

	/** Marks entries of a list as changed: what happened to them before it was read is not known, and other gateways may have seen it. */
	#markChanged(changes: readonly EndpointChange[]): void {
		for (const {id, revision} of changes) {
			const known = this.#known.get(id);
			if (known?.revision === revision) {
				known.changedAt = revision;
			}
		}
	}

	#applyUpcoming(now: number): void {
		const candidates = this.#hasUpcoming ? this.#known.values() : [];
		this.#hasUpcoming = false;
		for (const known of candidates) {
			if (!known.upcoming) {
				continue;
			}

			if (now < known.upcoming.at) {
				this.#hasUpcoming = true;
			} else {
				known.entry = known.upcoming.entry;
				known.upcoming = undefined;
				this.#byService = undefined;
				this.#size = undefined;
			}
		}
	}

	#groupByService(): Map<string, EndpointEntry[]> {
		const groups = new Map<string, EndpointEntry[]>();
		for (const {entry} of this.#known.values()) {
			if (!entry || entry.leaving || this.#leaving.has(entry) || this.#excludedIncarnations.get(entry.id)?.has(entry.startedAt)) {
				continue;
			}

			const group = groups.get(entry.service) ?? [];
			group.push(entry);
			groups.set(entry.service, group);
		}

		return groups;
	}

	/** Whether a removal may be due to an outage of the store, after which a live endpoint registers again. */
	#mayRegisterAgain(known: KnownEndpoint, {entry, upcoming}: EndpointChange, now: number): boolean {
		const isListed = known.entry !== undefined && !known.entry.leaving;
		return !entry && !upcoming && isListed && now - this.#outageEndedAt < reregistrationMilliseconds;
	}

	#pruneRemovals(): void {
		const removed = [...this.#known].filter(([, {entry}]) => !entry);
		const forgotten = new Set(removed.slice(0, Math.max(0, removed.length - retainedRemovals)).map(([id]) => id));
		if (forgotten.size === 0) {
			return;
		}

		this.#leaving.delete(forgotten);
		for (const id of forgotten) {
			this.#known.delete(id);
			this.#excludedIncarnations.delete(id);
		}
	}
}
