/**
 * What a gateway knows of one endpoint, and how it is sent to other gateways.
 *
 * @module
 */
import {type EndpointChange, type EndpointEntry} from '../registry/mod.ts';
import {eraOf} from '../stored-rows/mod.ts';

/** What a gateway knows of one endpoint. */
export type KnownEndpoint = {
	/** The current entry; undefined if it was removed. */
	entry: EndpointEntry | undefined;
	/** Revision of the newest row received. */
	revision: number;
	/** Revision at which the content of the entry last changed, or may have. */
	changedAt: number;
	/** What replaces the entry later, unless a newer row is received; undefined if nothing does. */
	upcoming: UpcomingEntry | undefined;
};

/** An entry, or a removal, that takes effect at a steady time in milliseconds. */
type UpcomingEntry = {entry: EndpointEntry | undefined; at: number};

/**
 * Returns the change that tells another gateway what is known of an endpoint. An entry that is about to be removed is sent as removed.
 *
 * @param id Id of the endpoint.
 * @param known What is known of it.
 * @param now Steady time, in milliseconds.
 */
export function changeOf(id: string, {entry, revision, upcoming}: KnownEndpoint, now: number): EndpointChange {
	return {
		id,
		entry: upcoming ? undefined : entry,
		upcoming: upcoming?.entry && {entry: upcoming.entry, inMilliseconds: Math.max(0, Math.round(upcoming.at - now))},
		revision,
	};
}

/**
 * Turns a new entry into a removal that the entry follows after a time.
 *
 * @param change The entry.
 * @param milliseconds The time.
 */
export function postpone({id, entry, revision}: EndpointChange, milliseconds: number): EndpointChange {
	return {id, upcoming: entry && {entry, inMilliseconds: milliseconds}, revision};
}

/** Returns whether an endpoint's entry was removed in an earlier era of the store than that of a row. */
export function wasRemovedBeforeCopy(known: KnownEndpoint | undefined, {revision}: EndpointChange): boolean {
	return known !== undefined && known.entry === undefined && eraOf(known.revision) < eraOf(revision);
}
