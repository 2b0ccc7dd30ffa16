/**
 * Identifies a request across the attempts of its callers, and the prompt parts that it shares with others.
 *
 * @module
 */
import {createHash} from 'node:crypto';
import {type SubjectKind} from './suspicion.ts';

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
	/** Model that a generation is for. */
	model?: string;
	/** Ids of the parts of a generation's prompt that other requests may share. Default none. */
	promptParts?: readonly string[];
};

/** A request, or a part of prompts that requests share. */
export type SuspectSubject = {kind: SubjectKind; digest: string};

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
	#partDigests: readonly string[] | undefined;

	constructor(options: RequestIdentityOptions) {
		this.#options = options;
	}

	/** Digest of the request; computed on first use, since few requests need it. */
	get digest(): string {
		this.#digest ??= this.#compute();
		return this.#digest;
	}

	/** What may be suspected of crashing endpoints: the request itself and its prompt parts. */
	get subjects(): readonly SuspectSubject[] {
		return [{kind: 'request', digest: this.digest}, ...this.partDigests.map(digest => ({kind: 'part' as const, digest}))];
	}

	/** Digests of the prompt parts that other requests may share, each with the model. */
	get partDigests(): readonly string[] {
		const {model, promptParts = []} = this.#options;
		this.#partDigests ??= [...new Set(promptParts)].map(part => digestOf(JSON.stringify(['prompt part', model ?? null, part])));
		return this.#partDigests;
	}

	#compute(): string {
		const {host, method, target, workspace, body} = this.#options;
		return digestOf(JSON.stringify([host.toLowerCase(), method, target, workspace ?? null]), body);
	}
}

function digestOf(...contents: ReadonlyArray<string | Uint8Array>): string {
	const hash = createHash('sha256');
	for (const content of contents) {
		hash.update(content);
	}

	return hash.digest('base64url').slice(0, digestLength);
}
