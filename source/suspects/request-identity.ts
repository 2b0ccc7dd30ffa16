/**
 * What stays the same when a caller sends a request again.
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

/** Characters of a digest; 22 hold 132 bits. */
const digestLength = 22;

/**
 * Recognizes a request over its callers' attempts: by host, method, path, workspace and body, whatever the attempt is named and
 * whichever gateway it reaches.
 *
 * @example
 * ```ts
 * const identity = new RequestIdentity({host, method: 'POST', target: '/drafts/1', workspace: 'workspace-1', body});
 * suspects.refusalOf(identity.digest, now);
 * ```
 */
export class RequestIdentity {
	readonly #options: RequestIdentityOptions;
	#digest: string | undefined;

	constructor(options: RequestIdentityOptions) {
		this.#options = options;
	}

	/** Digest of the request; computed when it is first asked for, since few requests need it. */
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
