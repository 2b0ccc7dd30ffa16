/**
 * Revisions of the store that stay in order when the store comes back from an older copy.
 *
 * The store numbers its writes by versions. When it is restored from a copy, versions go back and are given out again, and its era rises by
 * one. A revision holds both, so that whatever is written in a later era has a larger revision.
 *
 * @module
 */
import {type IncomingHttpHeaders} from 'node:http';

/** Number of versions in one era; eras and versions fit into the safe integers. */
const versionsPerEra = 1e12;

/** Largest accepted era. */
const maximumEra = 9000;

/** Returns the revision of a version in an era. */
export function revisionOf(era: number, version: number): number {
	return (era * versionsPerEra) + version;
}

/** Returns the era of a revision. */
export function eraOf(revision: number): number {
	return Math.floor(revision / versionsPerEra);
}

/** Returns the version of a revision within its era. */
export function versionOf(revision: number): number {
	return revision % versionsPerEra;
}

/** Decodes the era that a response of the store names; 0 if it names none. */
export function decodeEra(headers: IncomingHttpHeaders): number {
	const era = Number(headers['store-era']);
	return Number.isInteger(era) && era >= 0 && era <= maximumEra ? era : 0;
}
