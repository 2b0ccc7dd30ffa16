/**
 * Determines which calls are idempotent, and reads the headers of those that are not.
 *
 * @module
 */
import {type IncomingHttpHeaders} from 'node:http';
import {
	err, ok, type Result,
} from 'neverthrow';
import {type Refusal} from '../answers/mod.ts';
import {type PlainService} from '../configuration/mod.ts';
import {isIdempotencyKey, maximumKeyCharacters} from './claim.ts';

/** Header that states that no earlier attempt under the key can have run: `yes`, or absent. */
export const firstAttemptHeader = 'x-first-attempt';

/** Parts of a path that services may decode into another path: encoded dots and slashes, backslashes, empty and parameter segments. */
const ambiguousPath = /%2e|%2f|%5c|\\|\/\/|;/iv;

/**
 * Returns whether the service file declares a call as idempotent.
 *
 * @param service The service.
 * @param method Method of the call.
 * @param path Path of the call without its query.
 * @example
 * ```ts
 * isIdempotent(service, 'GET', '/status/7'); // true with {method: 'GET', path: '/status'}
 * ```
 */
export function isIdempotent(service: PlainService, method: string, path: string): boolean {
	return !ambiguousPath.test(path) && service.idempotentCalls.some(call => {
		const prefix = call.path.endsWith('/') ? call.path : `${call.path}/`;
		return call.method === method && (path === call.path || path.startsWith(prefix));
	});
}

/**
 * Reads the idempotency key of a call that is not idempotent.
 *
 * @param headers Headers of the call.
 * @returns The key, or a refusal with status 400; a call without a valid key is not run.
 * @example
 * ```ts
 * const key = readIdempotencyKey(request.headers);
 * ```
 */
export function readIdempotencyKey(headers: IncomingHttpHeaders): Result<string, Refusal> {
	const key = headers['idempotency-key'];
	if (typeof key !== 'string' || key === '') {
		return err({
			status: 400, code: 'missing_idempotency_key', message: 'This call may not be repeated, so it needs an Idempotency-Key header.', run: 'no',
		});
	}

	return isIdempotencyKey(key)
		? ok(key)
		: err({
			status: 400, code: 'bad_idempotency_key', message: `An idempotency key has 1 to ${maximumKeyCharacters} characters of visible ASCII.`, run: 'no',
		});
}

/**
 * Returns whether the caller states that no earlier attempt under its key can have run: it is the first one, or all earlier
 * ones were answered with run "no".
 *
 * @param headers Headers of the call.
 */
export function isFirstAttempt(headers: IncomingHttpHeaders): boolean {
	return headers[firstAttemptHeader] === 'yes';
}

/**
 * Corrects the run state of a refusal that was created before the claim was read. An earlier attempt under the same key may have
 * run, so run "no" remains only if the caller has excluded that.
 *
 * @param refusal The refusal of this attempt.
 * @param headers Headers of the call.
 * @example
 * ```ts
 * sendErrorResponse(response, refusalOfAttempt(refusal, request.headers));
 * ```
 */
export function refusalOfAttempt(refusal: Refusal, headers: IncomingHttpHeaders): Refusal {
	const earlierMayHaveRun = headers['idempotency-key'] !== undefined && !isFirstAttempt(headers);
	return refusal.run === 'no' && earlierMayHaveRun ? {...refusal, run: 'unknown'} : refusal;
}
