/**
 * Messages and exit codes of azuretack-publish.
 *
 * @module
 */
import {type Result} from 'neverthrow';
import {type PublishFailure, type Settlement, type CommitFailure} from '../configuration/mod.ts';
import {formatFault} from '../settings/mod.ts';

/** Exit codes of azuretack-publish. */
export const publishExitCodes = {
	accepted: 0, nothingPublished: 1, notInForceEverywhere: 3, outcomeUnknown: 4,
};

/** A human-readable message and its exit code. */
export type OutcomeDescription = {text: string; exitCode: number};

/**
 * Describes why nothing was published, or that the outcome is unknown.
 *
 * @param failure The failure.
 * @param platform Address of the platform, for the command that settles the outcome.
 */
export function describeFailure(failure: PublishFailure, platform: string): OutcomeDescription {
	const {nothingPublished, outcomeUnknown} = publishExitCodes;
	switch (failure.kind) {
		case 'faults': {
			return {text: failure.faults.map(fault => formatFault(fault)).join('\n'), exitCode: nothingPublished};
		}

		case 'conflict': {
			const lines = failure.conflicts.map(({name, version}) => version === undefined
				? `${name} was removed by somebody else`
				: `${name} was changed by somebody else in version ${version}`);
			const advice = `nothing was published; version ${failure.version} is in force: look at it, then publish again`;
			return {text: [...lines, advice].join('\n'), exitCode: nothingPublished};
		}

		case 'unknown': {
			return {text: unknownOutcomeText(failure.token, platform, failure.message), exitCode: outcomeUnknown};
		}

		case 'bad_base':
		case 'bad_removal':
		case 'unavailable':
		case 'unreadable': {
			return {text: `nothing was published: ${failure.message}`, exitCode: nothingPublished};
		}
	}
}

/**
 * Describes the outcome of a publication.
 *
 * @param settled Outcome of the settlement.
 * @param token Token of the publication.
 * @param platform Address of the platform, for the command that retries the settlement.
 */
export function describeSettlement(settled: Result<Settlement, CommitFailure>, token: string, platform: string): OutcomeDescription {
	if (settled.isErr()) {
		return {text: unknownOutcomeText(token, platform, settled.error.message), exitCode: publishExitCodes.outcomeUnknown};
	}

	const descriptions: Record<Settlement['kind'], OutcomeDescription> = {
		accepted: {text: `accepted as ${token.split('-')[0]}`, exitCode: publishExitCodes.accepted},
		not_published: {text: 'it was not published and never will be', exitCode: publishExitCodes.nothingPublished},
		forgotten: {text: 'it is too long ago to tell', exitCode: publishExitCodes.outcomeUnknown},
	};
	return descriptions[settled.value.kind];
}

function unknownOutcomeText(token: string, platform: string, message: string): string {
	return `outcome unknown: ${message}\nit is settled later by: azuretack-publish --platform ${platform} --settle ${token}`;
}
