/**
 * The signed cursor that a caller shows to continue a generation at any entry.
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

/** A model that generates: two engines with the same identity continue each other's text. */
export type ModelIdentity = {name: string; version: string; adapter?: string};

/** Where a generation stands after one token. */
export type Cursor = {
	/** Name of the generation. */
	generation: string;
	/** Number of the attempt that produced the token. */
	attempt: number;
	/** Index of the token in the generation, from 0. */
	index: number;
	/** `address:port` of the endpoint that produced it. */
	endpoint: string;
	/** Model that the whole generation is bound to. */
	model: ModelIdentity;
	/** Checksum of the text up to and including the token. */
	textChecksum: string;
};

/** What a cursor is bound to besides its own fields. */
export type CursorScope = {
	/** Name of the workspace. */
	workspace: string;
	/** Digest of the request, as {@linkcode digestText} computes it. */
	requestDigest: string;
};

/** Prepared keys by their text; settings name a few. */
const secrets = new Map<string, KeyObject>();

const hasher = await xxhash();

const cursorSchema = z.tuple([z.string(), z.number().int(), z.number().int(), z.string(), z.array(z.string()), z.string()]);

/** Characters kept of each digest: 128 bits in base64url. */
const digestLength = 22;

/**
 * Computes a running checksum of a text.
 *
 * It detects a caller whose text does not fit its cursor. It need not resist forgery: the cursor is signed, and a caller who
 * forges its own text only harms its own answer.
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
	return createHash('sha256').update(text).digest('base64url').slice(0, digestLength);
}

/**
 * Writes a cursor as the `id` of a server-sent event.
 *
 * @param cursor Where the generation stands.
 * @param scope Workspace and request that it is bound to.
 * @param key Key that signs.
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
 * Reads a cursor and checks that this system signed it for this workspace and request.
 *
 * @param text The `Last-Event-ID` header.
 * @param scope Workspace and request of the caller who shows it.
 * @param keys Keys that are accepted.
 * @returns The cursor, or why it is refused.
 * @example
 * ```ts
 * const cursor = parseCursor(header, {workspace, requestDigest}, keys);
 * ```
 */
export function parseCursor(text: string, scope: CursorScope, keys: string[]): Result<Cursor, string> {
	const [payload = '', signature = ''] = text.split('.');
	if (!keys.some(key => equal(signature, sign(payload, scope, key)))) {
		return err('the cursor was not issued for this workspace and this request');
	}

	const [generation, attempt, index, endpoint, model, textChecksum] = cursorSchema.parse(JSON.parse(Buffer.from(payload, 'base64url').toString()));
	const [name = '', version = '', adapter] = model;
	return ok({
		generation, attempt, index, endpoint, model: adapter === undefined ? {name, version} : {name, version, adapter}, textChecksum,
	});
}

function sign(payload: string, scope: CursorScope, key: string): string {
	return createHmac('sha256', secretOf(key)).update(`${scope.workspace}\n${scope.requestDigest}\n${payload}`).digest('base64url').slice(0, digestLength);
}

/** Prepares a key once for all of its signatures. */
function secretOf(key: string): KeyObject {
	const secret = secrets.get(key) ?? createSecretKey(key, 'utf8');
	secrets.set(key, secret);
	return secret;
}

function equal(left: string, right: string): boolean {
	return left.length === right.length && timingSafeEqual(Buffer.from(left), Buffer.from(right));
}
