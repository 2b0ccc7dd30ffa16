/**
 * Endpoints that announced that they are leaving, ahead of their entries in the store.
 *
 * @module
 */
import {incarnationKey, type EndpointIncarnation, type LeavingIncarnation} from '../registry/mod.ts';

/** Options of {@linkcode LeavingAnnouncements}. */
export type LeavingAnnouncementsOptions = {
	/** Maximum number of announcements that are retained; the oldest ones are dropped. */
	maximumSize: number;
};

/** Time for which gateways pass on an announcement, in milliseconds; the endpoint's entry in the store shows it much sooner. */
const announcementMilliseconds = 30_000;

/**
 * Holds the announcements of each incarnation: gateways pass those of an earlier one on for some time, also when the next one leaves.
 *
 * @example
 * ```ts
 * announcements.add({id: 'desk-1', startedAt}, now);
 * announcements.has({id: 'desk-1', startedAt}); // true
 * ```
 */
export class LeavingAnnouncements {
	readonly #maximumSize: number;
	/** Announcements by incarnation, the oldest first, with their steady time in milliseconds. */
	readonly #announced = new Map<string, EndpointIncarnation & {reportedAt: number}>();

	constructor({maximumSize}: LeavingAnnouncementsOptions) {
		this.#maximumSize = maximumSize;
	}

	/** Whether an incarnation announced that it is leaving. */
	has(incarnation: EndpointIncarnation): boolean {
		return this.#announced.has(incarnationKey(incarnation));
	}

	/**
	 * Records an announcement.
	 *
	 * @param incarnation The incarnation that is leaving.
	 * @param reportedAt Steady time of the announcement, in milliseconds.
	 * @returns Whether it was new.
	 */
	add({id, startedAt}: EndpointIncarnation, reportedAt: number): boolean {
		const key = incarnationKey({id, startedAt});
		if (this.#announced.has(key)) {
			return false;
		}

		this.#announced.set(key, {id, startedAt, reportedAt});
		if (this.#announced.size > this.#maximumSize) {
			this.#announced.delete(this.#announced.keys().next().value!);
		}

		return true;
	}

	/** Forgets the announcements of endpoints. */
	delete(ids: ReadonlySet<string>): void {
		for (const [key, {id}] of this.#announced) {
			if (ids.has(id)) {
				this.#announced.delete(key);
			}
		}
	}

	/** Returns the announcements that are recent enough to be passed on. */
	recent(now: number): LeavingIncarnation[] {
		return [...this.#announced.values()]
			.filter(({reportedAt}) => now - reportedAt < announcementMilliseconds)
			.map(({id, startedAt, reportedAt}) => ({id, startedAt, ageMilliseconds: Math.round(now - reportedAt)}));
	}
}
