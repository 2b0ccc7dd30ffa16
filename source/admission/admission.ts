/**
 * Decides when a request may start.
 *
 * @module
 */
import {
	ok, type Result,
} from 'neverthrow';
import {type Refusal} from '../answers/mod.ts';

/** A request that wants to start. */
export type AdmissionRequest = {
	workspace: string;
	/** Share of the workspace relative to the others. */
	weight: number;
	service: string;
	/** Tokens of prompt and expected output; 1 for a plain call. */
	tokens: number;
	/** Digest of workspace, service and body. */
	requestDigest: string;
	/** Wall-clock time after which an answer is of no use, in milliseconds. */
	deadline: number;
};

/** Leave to start; must be released once the work has ended. */
export type Permit = {
	/** Gives the capacity back. */
	release(): void;
};

/**
 * Admits requests to services.
 *
 * @example
 * ```ts
 * const permit = await admission.enter(request, Date.now(), signal);
 * ```
 */
export class Admission {
	/**
	 * Waits until a request may start.
	 *
	 * @param _request The request.
	 * @param _now Wall-clock time, in milliseconds.
	 * @param _signal Ends the wait when the caller is gone.
	 */
	async enter(_request: AdmissionRequest, _now: number, _signal: AbortSignal): Promise<Result<Permit, Refusal>> {
		return ok({
			release() {
				// Nothing is counted yet.
			},
		});
	}
}
