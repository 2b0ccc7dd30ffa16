/**
 * Records for roll-outs how attempts at the versions of a service ended.
 *
 * @module
 */
import {type EndpointEntry} from '../registry/mod.ts';
import {type CallAttemptResult} from './call-attempt-result.ts';
import {type Exchange} from './exchange.ts';
import {type GenerationEnd} from './generation-attempt.ts';

/** Lowest status of an endpoint's own errors. */
const firstErrorStatus = 500;

/** Duration of an attempt of a call, and whether it was given up since another one answered first. */
export type CallVersionEnd = {milliseconds: number; isOvertaken: boolean};

/**
 * Records the end of an attempt of a call, unless the endpoint did not run it.
 *
 * @param exchange The call.
 * @param result Result of the attempt.
 * @param attempt Its duration; one that was overtaken, or whose caller has left, counts by the time that it took until then.
 */
export function recordCallVersion({versions, callerDisconnected}: Exchange, result: CallAttemptResult, {milliseconds, isOvertaken}: CallVersionEnd): void {
	if (!versions || (result.kind === 'unsuccessful' && result.end === 'not-run')) {
		return;
	}

	const isLost = result.kind === 'unsuccessful' && !isOvertaken && !callerDisconnected.aborted;
	const isError = result.kind !== 'unsuccessful' && result.response.status >= firstErrorStatus;
	versions.recordEnd(result.endpoint, {isFailure: isLost || isError, milliseconds});
}

/** End of an attempt of a generation, its duration, and whether the caller has received events of it. */
export type GenerationVersionEnd = {end: GenerationEnd; milliseconds: number; hasBegun: boolean};

/**
 * Records the end of an attempt of a generation, unless the engine did not run it; one whose caller has left counts by the time that it took until then.
 *
 * @param exchange The generation.
 * @param endpoint The engine.
 * @param attempt How the attempt ended.
 */
export function recordGenerationVersion({versions}: Exchange, endpoint: EndpointEntry, {end, milliseconds, hasBegun}: GenerationVersionEnd): void {
	if (!versions || end.kind === 'not-run') {
		return;
	}

	if (hasBegun) {
		versions.recordBegin(endpoint);
	}

	versions.recordEnd(endpoint, {isFailure: end.kind === 'failed' || end.kind === 'lost', milliseconds});
}
