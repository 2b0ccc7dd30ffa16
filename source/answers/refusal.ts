/**
 * The error response that a caller receives.
 *
 * @module
 */

/** Whether the work of a refused request was run; `no` only if that is certain. */
export type RunState = 'no' | 'yes' | 'unknown';

/** Stable codes of error responses; callers may branch on them. */
export type RefusalCode
	= | 'answer_not_kept'
		| 'bad_request'
		| 'bad_idempotency_key'
		| 'body_timeout'
		| 'call_in_progress'
		| 'conflicting_body'
		| 'cursor_refused'
		| 'deadline_exceeded'
		| 'endpoint_failed'
		| 'generation_incomplete'
		| 'host_leaving'
		| 'missing_idempotency_key'
		| 'no_endpoint'
		| 'no_room'
		| 'not_found'
		| 'not_ready'
		| 'outcome_unknown'
		| 'overloaded'
		| 'request_convicted'
		| 'store_unavailable'
		| 'unauthorized';

/** An error response: why a request was not completed. */
export type Refusal = {
	/** HTTP status of the response. */
	status: number;
	/** Stable code. */
	code: RefusalCode;
	/** Human-readable message of one sentence. */
	message: string;
	/** Whether the work was run. */
	run: RunState;
	/** Seconds after which the caller may retry; absent if a retry cannot succeed. */
	retryAfterSeconds?: number;
	/** Addresses of other entries that the caller may use immediately. */
	entries?: string[];
};

/**
 * Returns the refusal of a request that was not run since the endpoints of its service have reached the limits that they name.
 *
 * @param service Name of the service.
 * @param delayMilliseconds Time after which the caller may retry, in milliseconds.
 */
export function limitedRefusal(service: string, delayMilliseconds: number): Refusal {
	return {
		status: 503, code: 'overloaded', message: `The endpoints of "${service}" take no more requests now.`, run: 'no', retryAfterSeconds: Math.max(1, Math.ceil(delayMilliseconds / 1000)),
	};
}

/**
 * Returns the JSON body of an error response.
 *
 * @param refusal The refusal.
 * @returns An object with one field, `error`.
 * @example
 * ```ts
 * response.end(JSON.stringify(refusalBody(refusal)));
 * ```
 */
export function refusalBody(refusal: Refusal) {
	return {
		error: {
			code: refusal.code,
			message: refusal.message,
			run: refusal.run,
			...(refusal.retryAfterSeconds !== undefined && {retry_after_seconds: refusal.retryAfterSeconds}),
			...(refusal.entries && {entries: refusal.entries}),
		},
	};
}
