/**
 * Identifies a request across the attempts of its callers.
 *
 * @module
 */
import {createHash} from 'node:crypto';

/** Options of {@linkcode RequestIdentity}. */
export type RequestIdentityOptions = {
	/** Host name that the request is for. */
	host: string;
	method: string;
	/** Path and query. */
	target: string;
	/** Workspace of the caller; absent for a request without a key. */
	workspace: string | undefined;
	body: Uint8Array;
};

/** Length of a digest in base64url characters; 22 of them hold 132 bits. */
const digestLength = 22;

/**
 * Identifies a request by host, method, path, workspace and body. A request that is sent again has the same identity, even with another
 * attempt ID or through another gateway.
 *
 * @example
 * ```ts
 * const identity = new RequestIdentity({host, method: 'POST', target: '/drafts/1', workspace: 'workspace-1', body});
 * await suspects.admit(identity);
 * ```
 */
export class RequestIdentity {
	readonly #options: RequestIdentityOptions;
	#digest: string | undefined;

	constructor(options: RequestIdentityOptions) {
		this.#options = options;
	}

	/** Digest of the request; computed on first use, since few requests need it. */
	get digest(): string {
		this.#digest ??= this.#compute();
		return this.#digest;
	}

	#compute(): string {
		const {host, method, target, workspace, body} = this.#options;
		return createHash('sha256')
			.update(JSON.stringify([host.toLowerCase(), method, target, workspace ?? null]))
			.update(body)
			.digest('base64url')
			.slice(0, digestLength);
	}
}
