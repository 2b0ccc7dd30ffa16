/**
 * Endpoints that announced that they are leaving, ahead of their entries in the store.
 *
 * @module
 */
import {type EndpointIncarnation, type LeavingIncarnation} from './endpoint-entry.ts';

/** Options of {@linkcode LeavingAnnouncements}. */
export type LeavingAnnouncementsOptions = {
	/** Maximum number of announcements that are retained; the oldest ones are dropped. */
	maximumSize: number;
};

/** Time for which gateways pass on an announcement, in milliseconds; the endpoint's entry in the store shows it much sooner. */
const announcementMilliseconds = 30_000;

/**
 * Holds the last announcement of each endpoint.
 *
 * @example
 * ```ts
 * announcements.add({id: 'desk-1', startedAt}, now);
 * announcements.has({id: 'desk-1', startedAt}); // true
 * ```
 */
export class LeavingAnnouncements {
	readonly #maximumSize: number;
	/** Start time of the incarnation and steady time of its announcement, in milliseconds, by id of the endpoint. */
	readonly #announced = new Map<string, {startedAt: number; reportedAt: number}>();

	constructor({maximumSize}: LeavingAnnouncementsOptions) {
		this.#maximumSize = maximumSize;
	}

	/** Whether an incarnation announced that it is leaving. */
	has({id, startedAt}: EndpointIncarnation): boolean {
		return this.#announced.get(id)?.startedAt === startedAt;
	}

	/**
	 * Records an announcement.
	 *
	 * @param incarnation The incarnation that is leaving.
	 * @param reportedAt Steady time of the announcement, in milliseconds.
	 * @returns Whether it was new.
	 */
	add({id, startedAt}: EndpointIncarnation, reportedAt: number): boolean {
		if (this.has({id, startedAt})) {
			return false;
		}

		this.#announced.delete(id);
		this.#announced.set(id, {startedAt, reportedAt});
		if (this.#announced.size > this.#maximumSize) {
			this.#announced.delete(this.#announced.keys().next().value!);
		}

		return true;
	}

	/** Forgets the announcement of an endpoint. */
	delete(id: string): void {
		this.#announced.delete(id);
	}

	/** Returns the announcements that are recent enough to be passed on. */
	recent(now: number): LeavingIncarnation[] {
		return [...this.#announced]
			.filter(([, {reportedAt}]) => now - reportedAt < announcementMilliseconds)
			.map(([id, {startedAt, reportedAt}]) => ({id, startedAt, ageMilliseconds: Math.round(now - reportedAt)}));
	}
}
