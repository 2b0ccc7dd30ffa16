/**
 * Decides which endpoints of a service may get requests, from their versions and the state of the service's roll-out.
 *
 * @module
 */
import {type EndpointEntry} from '../registry/mod.ts';
import {versionName, type RolloutOrder, type RolloutRecord} from './rollout.ts';

/** What is known of a service's versions. */
export type VersionState = {
	record: RolloutRecord | undefined;
	order: RolloutOrder | undefined;
	/** Version that the service had before any order, if known. */
	initial: string | undefined;
};

/** Endpoints that serve all requests, and those of a version under trial. */
export type VersionChoice = {serving: readonly EndpointEntry[]; trial: readonly EndpointEntry[]};

/** Smallest number of endpoints over which the requests of a trial are spread. */
const minimumTrialEndpoints = 2;

/**
 * Divides the endpoints of a service. Endpoints of versions that no decided order has moved the traffic to are in neither part.
 *
 * @param endpoints Endpoints of the service.
 * @param state What is known of its versions.
 */
export function chooseVersions(endpoints: readonly EndpointEntry[], {record, order, initial}: VersionState): VersionChoice {
	const ofVersion = (version: string) => endpoints.filter(endpoint => versionName(endpoint) === version);
	if (record?.phase === 'running') {
		// Endpoints of the established version may have been replaced without an order, or listed by a gateway that does not know versions.
		const others = endpoints.filter(endpoint => versionName(endpoint) !== record.to);
		return {serving: firstNonEmpty([ofVersion(record.established), others, endpoints]), trial: trialEndpoints(ofVersion(record.to), record.share)};
	}

	if (record) {
		const settled = record.phase === 'rolled-back' ? record.established : record.to;
		return {serving: firstNonEmpty([ofVersion(settled), endpoints.filter(endpoint => mayReplace(record, order, versionName(endpoint)))]), trial: []};
	}

	const withoutOrdered = order ? endpoints.filter(endpoint => versionName(endpoint) !== order.to) : endpoints;
	return {serving: firstNonEmpty([initial === undefined || initial === order?.to ? [] : ofVersion(initial), withoutOrdered, endpoints]), trial: []};
}

/** Returns how many endpoints the requests to a record's new version are spread over. */
export function countNewEndpoints(endpoints: readonly EndpointEntry[], {phase, to, share}: RolloutRecord): number {
	const ofVersion = endpoints.filter(endpoint => versionName(endpoint) === to);
	return phase === 'running' ? trialEndpoints(ofVersion, share).length : ofVersion.length;
}

/** Returns the version of most endpoints, other than one that an order names; undefined if there is none. */
export function mostFrequentVersion(endpoints: readonly EndpointEntry[], except?: string): string | undefined {
	const counts = new Map<string, number>();
	for (const endpoint of endpoints) {
		const version = versionName(endpoint);
		if (version !== except) {
			counts.set(version, (counts.get(version) ?? 0) + 1);
		}
	}

	return [...counts].toSorted(([, a], [, b]) => b - a)[0]?.[0];
}

/** Whether a version may serve where no endpoint of the settled version is left: it was not rolled back and is not ordered. */
function mayReplace({phase, to}: RolloutRecord, order: RolloutOrder | undefined, version: string): boolean {
	return version !== order?.to && (phase !== 'rolled-back' || version !== to);
}

/**
 * Returns the endpoints that the trial's requests go to: only so many that each of them gets about the load that it would have with all
 * requests, so that a version that is bad under load shows it. All gateways choose the same ones.
 */
function trialEndpoints(endpoints: readonly EndpointEntry[], share: number): EndpointEntry[] {
	const count = Math.max(minimumTrialEndpoints, Math.ceil(endpoints.length * share));
	return endpoints.toSorted((a, b) => a.id < b.id ? -1 : 1).slice(0, count);
}

function firstNonEmpty(candidates: ReadonlyArray<readonly EndpointEntry[]>): readonly EndpointEntry[] {
	return candidates.find(candidate => candidate.length > 0) ?? [];
}
