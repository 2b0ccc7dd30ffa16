/**
 * What a gateway tells others of configuration and endpoints, and takes from them.
 *
 * @module
 */
import {type ClockReading} from '../beliefs/mod.ts';
import {
	packConfiguration, unpackConfiguration, type StoreUpdate, type SharedState,
} from '../fleet/mod.ts';
import {type GatewayParts} from './gateway-parts.ts';
import {takeConfiguration} from './take-configuration.ts';

/**
 * Creates the exchange of knowledge.
 *
 * @param parts The gateway's parts.
 */
export function createSharedKnowledge(parts: GatewayParts): SharedState {
	const {configuration, endpoints, suspects, logger} = parts;
	/** Takes a configuration; returns whether it could be read. */
	const learnConfiguration = (text: string): boolean => {
		const unpacked = unpackConfiguration(text);
		if (unpacked.isErr()) {
			logger.error('configuration of another gateway cannot be read', {reason: unpacked.error});
			return false;
		}

		takeConfiguration(parts, unpacked.value, {source: 'gateway'});
		return true;
	};

	return {
		knownRevisions: () => ({configurationVersion: configuration.table?.version ?? 0, endpointRevision: endpoints.revision, suspectRevision: suspects.known.revision}),
		age: now => Math.max(configuration.snapshot(now).ageMilliseconds, endpoints.age(now)),
		updateFor({configurationVersion, endpointRevision, suspectRevision}, now) {
			const {table, ageMilliseconds} = configuration.snapshot(now);
			return {
				configuration: table && table.version > configurationVersion ? packConfiguration(table.configuration) : undefined,
				configurationAgeMilliseconds: finite(ageMilliseconds),
				endpoints: endpoints.changesSince(endpointRevision),
				endpointRevision: endpoints.revision,
				endpointAgeMilliseconds: finite(endpoints.age(now)),
				suspects: suspects.known.changesSince(suspectRevision),
				suspectRevision: suspects.known.revision,
			};
		},
		apply(news: StoreUpdate, askedAt: ClockReading) {
			const isRead = news.configuration === undefined || learnConfiguration(news.configuration);
			if (isRead && news.configurationAgeMilliseconds !== undefined) {
				configuration.confirm(earlier(askedAt, news.configurationAgeMilliseconds));
			}

			suspects.known.apply(news.suspects);
			suspects.known.confirm(news.suspectRevision);
			endpoints.apply(news.endpoints, askedAt.steady);
			if (news.endpointAgeMilliseconds !== undefined) {
				endpoints.confirm(news.endpointRevision, earlier(askedAt, news.endpointAgeMilliseconds));
			}
		},
	};
}

function finite(milliseconds: number): number | undefined {
	return Number.isFinite(milliseconds) ? milliseconds : undefined;
}

function earlier({steady, wall}: ClockReading, milliseconds: number): ClockReading {
	return {steady: steady - milliseconds, wall: wall - milliseconds};
}
