/**
 * Signed cursors, with which a caller resumes a generation at any router.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {
	createHash, createHmac, createSecretKey, timingSafeEqual, type KeyObject,
} from 'node:crypto';
import {
	err, ok, type Result,
} from 'neverthrow';
import xxhash from 'xxhash-wasm';
import * as z from 'zod';

/** Identity of a model. An engine can continue the text of another engine that serves a model of the same identity. */
export type ModelIdentity = {name: string; version: string; adapter?: string};

/** Position in a generation after one token. */
export type Cursor = {
	/** Name of the generation. */
	generation: string;
	/** Number of the attempt that produced the token. */
	attempt: number;
	/** Index of the token in the generation, from 0. */
	index: number;
	/** `address:port` of the endpoint that produced it. */
	endpoint: string;
	/** Model that produces the whole generation. */
	model: ModelIdentity;
	/** Checksum of the text up to and including the token. */
	textChecksum: string;
};

/** Context that the signature of a cursor covers besides its own fields. */
export type CursorScope = {
	/** Name of the workspace. */
	workspace: string;
	/** Digest of the request, as {@linkcode digestText} computes it. */
	requestDigest: string;
};

/** Cache of prepared keys by their text; the settings contain only a few. */
const signingKeys = new Map<string, KeyObject>();

const hasher = await xxhash();

const cursorSchema = z.tuple([z.string(), z.number().int(), z.number().int(), z.string(), z.array(z.string()), z.string()]);

/** Length of a truncated digest, in characters: 128 bits in base64url. */
const digestCharacters = 22;

/**
 * Computes a running checksum of a text.
 *
 * It detects text from a caller that does not match its cursor. It need not resist forgery: the cursor is signed, and a caller
 * that forges its own text only corrupts its own answer.
 */
export class TextChecksum {
	readonly #hash = hasher.create64();

	/** Adds more text. */
	add(text: string): void {
		this.#hash.update(text);
	}

	/** Returns the checksum of the text added so far. */
	value(): string {
		return this.#hash.digest().toString(36);
	}
}

/**
 * Computes the checksum of a whole text.
 *
 * @param text Any text.
 * @returns 64 bits in base 36.
 * @example
 * ```ts
 * checksumText(receivedText) === cursor.textChecksum;
 * ```
 */
export function checksumText(text: string): string {
	const checksum = new TextChecksum();
	checksum.add(text);
	return checksum.value();
}

/**
 * Computes the digest of a whole text.
 *
 * @param text Any text.
 * @returns 128 bits in base64url.
 * @example
 * ```ts
 * const requestDigest = digestText(JSON.stringify(request));
 * ```
 */
export function digestText(text: string): string {
	return createHash('sha256').update(text).digest('base64url').slice(0, digestCharacters);
}

/**
 * Serializes and signs a cursor for the `id` of a server-sent event.
 *
 * @param cursor Position in the generation.
 * @param scope Workspace and request that the signature covers.
 * @param key Signing key.
 * @example
 * ```ts
 * const id = formatCursor(cursor, {workspace, requestDigest}, key);
 * ```
 */
export function formatCursor(cursor: Cursor, scope: CursorScope, key: string): string {
	const {name, version, adapter} = cursor.model;
	const model = adapter === undefined ? [name, version] : [name, version, adapter];
	const fields = [cursor.generation, cursor.attempt, cursor.index, cursor.endpoint, model, cursor.textChecksum];
	const payload = Buffer.from(JSON.stringify(fields)).toString('base64url');
	return `${payload}.${sign(payload, scope, key)}`;
}

/**
 * Parses a cursor and verifies that it was signed for this workspace and request.
 *
 * @param text Value of the `Last-Event-ID` header.
 * @param scope Workspace and request of the caller that sent it.
 * @param keys Accepted signing keys.
 * @returns The cursor, or the reason for its refusal.
 * @example
 * ```ts
 * const cursor = parseCursor(header, {workspace, requestDigest}, keys);
 * ```
 */
export function parseCursor(text: string, scope: CursorScope, keys: string[]): Result<Cursor, string> {
	const [payload = '', signature = ''] = text.split('.');
	if (!keys.some(key => equalSignatures(signature, sign(payload, scope, key)))) {
		return err('the cursor was not issued for this workspace and this request');
	}

	const [generation, attempt, index, endpoint, model, textChecksum] = cursorSchema.parse(JSON.parse(Buffer.from(payload, 'base64url').toString()));
	const [name = '', version = '', adapter] = model;
	return ok({
		generation, attempt, index, endpoint, model: adapter === undefined ? {name, version} : {name, version, adapter}, textChecksum,
	});
}

function sign(payload: string, scope: CursorScope, key: string): string {
	return createHmac('sha256', signingKey(key)).update(`${scope.workspace}\n${scope.requestDigest}\n${payload}`).digest('base64url').slice(0, digestCharacters);
}

/** Returns the prepared form of a key, created at its first use. */
function signingKey(key: string): KeyObject {
	const prepared = signingKeys.get(key) ?? createSecretKey(key, 'utf8');
	signingKeys.set(key, prepared);
	return prepared;
}

function equalSignatures(left: string, right: string): boolean {
	return left.length === right.length && timingSafeEqual(Buffer.from(left), Buffer.from(right));
}
