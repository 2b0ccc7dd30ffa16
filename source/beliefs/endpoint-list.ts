/**
 * What this router knows of the endpoints of all services.
 *
 * @module
 */

import {isDeepStrictEqual} from 'node:util';
import * as z from 'zod';
import {ageOf, type ClockReading} from './clock.ts';

/** One endpoint as it registered itself. */
export const endpointEntrySchema = z.object({
	/** Names one life of an endpoint, mostly. */
	id: z.string(),
	service: z.string(),
	/** IP number and port. */
	address: z.string(),
	availabilityZone: z.string(),
	/** Requests that it works on at once. */
	slots: z.number(),
	/** Whether it takes no new requests. */
	leaving: z.boolean(),
	/** Unix milliseconds of its start; 0 where it does not say. */
	startedAt: z.number(),
});

/** A change of the list: an entry, or the fact that it was removed. */
export const endpointChangeSchema = z.object({id: z.string(), entry: endpointEntrySchema.optional(), revision: z.number()});

/** One endpoint as it registered itself. */
export type EndpointEntry = z.output<typeof endpointEntrySchema>;

/** What the list says of one life of an endpoint: it is listed, it leaves, another life has taken its name, or it was removed. */
export type LifeState = 'listed' | 'leaving' | 'replaced' | 'removed';

/** A change of the list. */
export type EndpointChange = z.output<typeof endpointChangeSchema>;

/** One life of an endpoint's process. */
export const endpointLifeSchema = endpointEntrySchema.pick({id: true, startedAt: true});

/** One life of an endpoint's process. */
export type EndpointLife = z.output<typeof endpointLifeSchema>;

/** One life of an endpoint that has said that it leaves, and the time since then, as gateways tell each other. */
export const leavingLifeSchema = endpointLifeSchema.extend({ageMilliseconds: z.number()});

/** One life of an endpoint that has said that it leaves. */
export type LeavingLife = z.output<typeof leavingLifeSchema>;

type Known = {
	entry: EndpointEntry | undefined;
	/** Revision of the newest row. */
	revision: number;
	/** Revision at which the entry last changed in what it says here. */
	changedAt: number;
	lapsesAt: number | undefined;
};

/** Time after an outage of the store within which endpoints whose entries lapsed during it register again, in milliseconds. */
const registerAgainMilliseconds = 2000;

/** Time for which gateways tell each other that an endpoint has said that it leaves, in milliseconds; its entry says so long before. */
const tellLeavingMilliseconds = 30_000;

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
	/** Lives that said themselves that they leave, and the steady time at which that was heard, by name of the endpoint. */
	readonly #leavingLives = new Map<string, {startedAt: number; heardAt: number}>();
	#byService: Map<string, EndpointEntry[]> | undefined;
	#lapsing = false;
	#outageEndedAt = Number.NEGATIVE_INFINITY;
	#revision = 0;
	#confirmedAt: ClockReading | undefined;

	/** Number of endpoints that are listed. */
	get size(): number {
		return [...this.#known.values()].filter(({entry}) => entry).length;
	}

	/** Revision up to which all changes are known. */
	get revision(): number {
		return this.#revision;
	}

	/** Time since the list was last known to be complete, in milliseconds. */
	age(now: ClockReading): number {
		return this.#confirmedAt ? ageOf(this.#confirmedAt, now) : Number.POSITIVE_INFINITY;
	}

	/**
	 * Records that all changes up to a revision are known, as of a time.
	 *
	 * @param revision The revision.
	 * @param at A time not after the store looked.
	 */
	confirm(revision: number, at: ClockReading): void {
		this.#revision = Math.max(this.#revision, revision);
		if (!this.#confirmedAt || at.steady > this.#confirmedAt.steady) {
			this.#confirmedAt = at;
		}
	}

	/** The entries and removals that changed after a revision, for other routers. */
	changesSince(revision: number): EndpointChange[] {
		return [...this.#known]
			.filter(([, known]) => known.changedAt > revision)
			.map(([id, {entry, changedAt, lapsesAt}]) => ({id, entry: lapsesAt === undefined ? entry : undefined, revision: changedAt}));
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
	 * Records that an endpoint says that it leaves; it is not used in that life again.
	 *
	 * @param life The endpoint and its start.
	 * @param heardAt Steady time at which it said so, in milliseconds.
	 * @returns Whether this was news.
	 */
	markLeaving({id, startedAt}: EndpointLife, heardAt: number): boolean {
		if (this.#leavingLives.get(id)?.startedAt === startedAt) {
			return false;
		}

		this.#leavingLives.delete(id);
		this.#leavingLives.set(id, {startedAt, heardAt});
		if (this.#leavingLives.size > rememberedRemovals) {
			this.#leavingLives.delete(this.#leavingLives.keys().next().value!);
		}

		this.#byService = undefined;
		return true;
	}

	/** The endpoints that have said in the last while that they leave, for other gateways. */
	leavingLives(now: number): LeavingLife[] {
		return [...this.#leavingLives]
			.filter(([, {heardAt}]) => now - heardAt < tellLeavingMilliseconds)
			.map(([id, {startedAt, heardAt}]) => ({id, startedAt, ageMilliseconds: Math.round(now - heardAt)}));
	}

	/** Takes what another gateway tells of endpoints that leave. */
	hearLeaving(lives: readonly LeavingLife[], now: number): void {
		for (const {ageMilliseconds, ...life} of lives) {
			this.markLeaving(life, now - ageMilliseconds);
		}
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

	/** Returns what the list says of one life of an endpoint. */
	stateOf({id, startedAt}: EndpointLife): LifeState {
		const entry = this.#known.get(id)?.entry;
		if (!entry) {
			return 'removed';
		}

		if (entry.startedAt !== startedAt) {
			return 'replaced';
		}

		return entry.leaving || this.#saidLeaving(entry) ? 'leaving' : 'listed';
	}

	#take({id, entry, revision}: EndpointChange, now: number): void {
		const known = this.#known.get(id);
		if (known && revision <= known.revision) {
			return;
		}

		if (!entry && known?.entry && !known.entry.leaving && now - this.#outageEndedAt < registerAgainMilliseconds) {
			this.#known.set(id, {
				...known, revision, changedAt: revision, lapsesAt: this.#outageEndedAt + registerAgainMilliseconds,
			});
			this.#lapsing = true;
			return;
		}

		const leftBefore = known?.entry?.leaving === true && entry?.startedAt === known.entry.startedAt;
		const next = entry && {...entry, leaving: entry.leaving || leftBefore};
		if (known && known.lapsesAt === undefined && isDeepStrictEqual(known.entry, next)) {
			known.revision = revision;
			return;
		}

		this.#known.delete(id);
		this.#known.set(id, {
			entry: next, revision, changedAt: revision, lapsesAt: undefined,
		});
		this.#byService = undefined;
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
			if (!entry || entry.leaving || this.#saidLeaving(entry) || this.#refusedLives.get(entry.id) === entry.startedAt) {
				continue;
			}

			const group = groups.get(entry.service) ?? [];
			group.push(entry);
			groups.set(entry.service, group);
		}

		return groups;
	}

	#saidLeaving({id, startedAt}: EndpointLife): boolean {
		return this.#leavingLives.get(id)?.startedAt === startedAt;
	}

	#forgetOldRemovals(): void {
		const removed = [...this.#known].filter(([, {entry}]) => !entry);
		for (const [id] of removed.slice(0, Math.max(0, removed.length - rememberedRemovals))) {
			this.#known.delete(id);
			this.#refusedLives.delete(id);
			this.#leavingLives.delete(id);
		}
	}
}
