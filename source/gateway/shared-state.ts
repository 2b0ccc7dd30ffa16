/**
 * The configuration, endpoints, suspected requests and endpoint limits that gateways send to each other.
 *
 * @module
 */
import {eraOf, revisionOf, versionOf} from '../stored-rows/mod.ts';
import {type ClockReading} from '../clocks/mod.ts';
import {MissingEntries} from '../beliefs/mod.ts';
import {
	packConfiguration, unpackConfiguration, type StoreUpdate, type SharedState,
} from '../fleet/mod.ts';
import {type GatewayParts} from './gateway-parts.ts';
import {applyRolloutUpdate, knownRollouts, rolloutUpdate} from './rollout-state.ts';
import {applyConfiguration} from './apply-configuration.ts';

/**
 * Creates the state that a gateway shares: it builds updates for other gateways and applies those received.
 *
 * @param parts The gateway's components.
 */
export function createSharedState(parts: GatewayParts): SharedState {
	const {configuration, endpoints, suspects, limiter: {published: limits}, logger, random} = parts;
	const missingEntries = new MissingEntries({random});
	/** Applies a packed configuration; returns whether it could be decoded. */
	const applyPackedConfiguration = (text: string): boolean => {
		const unpacked = unpackConfiguration(text);
		if (unpacked.isErr()) {
			logger.error('configuration of another gateway cannot be read', {reason: unpacked.error});
			return false;
		}

		applyConfiguration(parts, unpacked.value, {source: 'gateway'});
		return true;
	};

	/** Newest era of the store from which this gateway holds rows. */
	const currentEra = () => eraOf(Math.max(endpoints.revision, suspects.known.revision, limits.revision));
	return {
		knownRevisions({steady}) {
			const era = currentEra();
			const revisions = {
				era,
				configurationVersion: configuration.table?.version ?? 0,
				endpointRevision: versionIn(era, endpoints.revision),
				suspectRevision: versionIn(era, suspects.known.revision),
				limitRevision: versionIn(era, limits.revision),
				...knownRollouts(parts),
			};
			return missingEntries.shouldRequestAll(steady) ? {...revisions, era: 0, endpointRevision: 0} : revisions;
		},
		age: now => Math.max(configuration.snapshot(now).ageMilliseconds, endpoints.age(now)),
		updateFor({era: knownEra, configurationVersion, endpointRevision, suspectRevision, limitRevision, rollouts}, now) {
			const {table, ageMilliseconds} = configuration.snapshot(now);
			const era = currentEra();
			const withVersions = <Change extends {revision: number}>(changes: readonly Change[]): Change[] => changes.map(change => ({...change, revision: versionIn(era, change.revision)}));
			return {
				era,
				configuration: table && table.version > configurationVersion ? packConfiguration(table.configuration) : undefined,
				configurationAgeMilliseconds: finiteOrUndefined(ageMilliseconds),
				endpoints: withVersions(endpoints.changesSince(revisionOf(knownEra, endpointRevision), now.steady)),
				endpointRevision: versionIn(era, endpoints.revision),
				endpointCount: endpoints.settledSize(now.steady),
				endpointAgeMilliseconds: finiteOrUndefined(endpoints.age(now)),
				suspects: withVersions(suspects.known.changesSince(revisionOf(knownEra, suspectRevision))),
				suspectRevision: versionIn(era, suspects.known.revision),
				limits: withVersions(limits.changesSince(revisionOf(knownEra, limitRevision))),
				limitRevision: versionIn(era, limits.revision),
				...rolloutUpdate(parts, rollouts, now),
			};
		},
		apply(update: StoreUpdate, requestedAt: ClockReading) {
			const isDecoded = update.configuration === undefined || applyPackedConfiguration(update.configuration);
			if (isDecoded && update.configurationAgeMilliseconds !== undefined) {
				configuration.confirm(subtractMilliseconds(requestedAt, update.configurationAgeMilliseconds));
			}

			if (update.era < currentEra()) {
				// The sender does not know yet that the store came back from an older copy.
				return;
			}

			const {era} = update;
			applyRolloutUpdate(parts, update.rollouts, requestedAt);
			const withRevisions = <Change extends {revision: number}>(changes: readonly Change[]): Change[] => changes.map(change => ({...change, revision: revisionOf(era, change.revision)}));
			suspects.known.apply(withRevisions(update.suspects));
			suspects.known.confirm(revisionOf(era, update.suspectRevision));
			limits.apply(withRevisions(update.limits));
			limits.confirm(revisionOf(era, update.limitRevision));
			endpoints.apply(withRevisions(update.endpoints), requestedAt.steady);
			if (update.endpointAgeMilliseconds === undefined) {
				return;
			}

			const revision = revisionOf(era, update.endpointRevision);
			endpoints.confirm(revision, subtractMilliseconds(requestedAt, update.endpointAgeMilliseconds));
			if (endpoints.revision === revision) {
				missingEntries.compare({own: endpoints.settledSize(requestedAt.steady), source: update.endpointCount}, requestedAt.steady);
			}
		},
	};
}

/** Returns the version of a revision, 0 if it belongs to an earlier era. */
function versionIn(era: number, revision: number): number {
	return eraOf(revision) === era ? versionOf(revision) : 0;
}

function finiteOrUndefined(milliseconds: number): number | undefined {
	return Number.isFinite(milliseconds) ? milliseconds : undefined;
}

function subtractMilliseconds({steady, wall}: ClockReading, milliseconds: number): ClockReading {
	return {steady: steady - milliseconds, wall: wall - milliseconds};
}
