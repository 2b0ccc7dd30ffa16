/**
 * Writes claims to the table so that a lost answer never hides who holds one.
 *
 * @module
 */
import {type PlatformClient, type Condition, type Row} from '../table-service/mod.ts';
import {retryWrite} from './_retry-write.ts';
import {
	claimKey, claimSchema, claimTable, type Claim, type ClaimName, type StoredAnswer,
} from './claim.ts';

/** Options of {@linkcode ClaimStore}. */
export type ClaimStoreOptions = {
	platform: PlatformClient;
	/** Returns the monotonic time, in milliseconds. */
	clock: () => number;
	/** Returns a random number from 0 to 1. */
	random: () => number;
	/** Time for which a claim's last write is tried again, in milliseconds. Default 120,000. */
	giveUpMilliseconds?: number;
};

/**
 * What became of an attempt to claim a call.
 *
 * `held`: another claim stands, or one whose value this program cannot decode. `unavailable`: the table took nothing of this
 * claim. `unread`: another claim was in the way and the table did not say which. `unsettled`: the claim may stand, or may
 * still come to stand.
 */
export type ClaimOutcome
	= | {kind: 'claimed'}
		| {kind: 'held'; claim: Claim | undefined}
		| {kind: 'unavailable'}
		| {kind: 'unread'}
		| {kind: 'unsettled'};

/** Last state that a router gives to its own claim. */
export type ClaimEnd = {state: 'ended'; answer: StoredAnswer} | {state: 'unknown'};

/** What became of a withdrawal: `overtaken` when the row belongs to another claim. */
export type Withdrawal = 'withdrawn' | 'overtaken';

/** Writes of one claim before its outcome is left open. */
const claimAttempts = 3;

/** A claim's row as read: none, a readable one or one that this program cannot read. */
type Seen = {condition: Condition; claim: Claim | undefined};

/**
 * Claims calls, ends and withdraws claims. Every write carries the claim's token and a condition on the row as it was read,
 * so that a write that arrives late or twice changes nothing.
 *
 * @example
 * ```ts
 * const outcome = await claims.claim(name, claim);
 * ```
 */
export class ClaimStore {
	readonly #platform: PlatformClient;
	readonly #retry: {giveUpMilliseconds: number; clock: () => number; random: () => number};

	constructor(options: ClaimStoreOptions) {
		this.#platform = options.platform;
		this.#retry = {giveUpMilliseconds: options.giveUpMilliseconds ?? 120_000, clock: options.clock, random: options.random};
	}

	/** Claims a call whose row is absent or withdrawn. */
	async claim(name: ClaimName, claim: Claim): Promise<ClaimOutcome> {
		let condition: Condition = {kind: 'absent'};
		let mayStand = false;
		for (let attempt = 0; attempt < claimAttempts; attempt += 1) {
			const written = await this.#put(name, claim, condition);
			if (written === 'committed') {
				return {kind: 'claimed'};
			}

			if (written === 'refused' && !mayStand) {
				return {kind: 'unavailable'};
			}

			mayStand ||= written === 'unknown';
			const seen = await this.#read(name);
			if (!seen) {
				return {kind: mayStand ? 'unsettled' : 'unread'};
			}

			if (seen.claim?.token === claim.token) {
				return seen.claim.state === 'running' ? {kind: 'claimed'} : {kind: 'held', claim: seen.claim};
			}

			if (seen.condition.kind !== 'absent' && seen.claim?.state !== 'withdrawn') {
				return {kind: 'held', claim: seen.claim};
			}

			// An earlier write under the same condition may still arrive; under another condition it no longer can.
			mayStand &&= sameCondition(condition, seen.condition);
			condition = seen.condition;
		}

		return {kind: mayStand ? 'unsettled' : 'unread'};
	}

	/**
	 * Writes the end of a claim, again and again until it stands.
	 *
	 * @returns Whether it stands; `undefined` when it was given up, `false` when the row belongs to another claim.
	 */
	async end(name: ClaimName, claim: Claim, end: ClaimEnd): Promise<boolean | undefined> {
		return retryWrite(async () => {
			const seen = await this.#read(name);
			if (!seen) {
				return undefined;
			}

			if (seen.claim?.token !== claim.token) {
				return false;
			}

			if (seen.claim.state === end.state && !seen.claim.settledBy) {
				return true;
			}

			return await this.#put(name, {...claim, ...end}, seen.condition) === 'committed' ? true : undefined;
		}, this.#retry);
	}

	/**
	 * Withdraws a claim of which no byte has left, again and again until it can no longer stand. An absent row is written
	 * too, so that a claim that is still on its way finds it.
	 *
	 * @returns What became of it; `undefined` when it was given up.
	 */
	async withdraw(name: ClaimName, claim: Claim): Promise<Withdrawal | undefined> {
		return retryWrite(async () => {
			const seen = await this.#read(name);
			if (!seen) {
				return undefined;
			}

			const own = seen.claim?.token === claim.token;
			if (own && seen.claim?.state === 'withdrawn') {
				return 'withdrawn';
			}

			if (!own && seen.condition.kind !== 'absent' && seen.claim?.state !== 'withdrawn') {
				return 'overtaken';
			}

			const written = await this.#put(name, {...claim, state: 'withdrawn'}, seen.condition);
			return written === 'committed' ? 'withdrawn' : undefined;
		}, this.#retry);
	}

	async #put(name: ClaimName, claim: Claim, condition: Condition): Promise<'committed' | 'conflict' | 'refused' | 'unknown'> {
		const written = await this.#platform.transact([{
			kind: 'put', table: claimTable, key: claimKey(name), value: claim, condition,
		}]);
		return written.match(({kind}) => kind, ({kind}) => kind);
	}

	async #read(name: ClaimName): Promise<Seen | undefined> {
		const rows = await this.#platform.read([{table: claimTable, key: claimKey(name)}]);
		return rows.isOk() ? seenOf(rows.value[0]) : undefined;
	}
}

function seenOf(row: Row | undefined): Seen {
	if (!row) {
		return {condition: {kind: 'absent'}, claim: undefined};
	}

	const checked = claimSchema.safeParse(row.value);
	return {condition: {kind: 'revision', revision: row.revision}, claim: checked.success ? checked.data : undefined};
}

function sameCondition(left: Condition, right: Condition): boolean {
	return left.kind === right.kind && (left.kind !== 'revision' || right.kind !== 'revision' || left.revision === right.revision);
}
