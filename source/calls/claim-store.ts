/**
 * Writes claims to the table, and reads them back after a lost answer to determine which claim is stored.
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
	/** Time for which the final write of a claim is retried, in milliseconds. Default 120,000. */
	giveUpMilliseconds?: number;
};

/**
 * Outcome of an attempt to claim a call.
 *
 * `held`: another claim is stored, or one whose value cannot be decoded. `unavailable`: the table did not accept any write of
 * this claim. `unread`: another claim is stored and could not be read. `unsettled`: the claim may be stored, or a delayed write
 * may still store it.
 */
export type ClaimOutcome
	= | {kind: 'claimed'}
		| {kind: 'held'; claim: Claim | undefined}
		| {kind: 'unavailable'}
		| {kind: 'unread'}
		| {kind: 'unsettled'};

/** Final state that a router writes to its own claim. */
export type FinalClaimState = {state: 'ended'; answer: StoredAnswer} | {state: 'unknown'};

/** Outcome of a withdrawal: `overtaken` when the row belongs to another claim. */
export type WithdrawalOutcome = 'withdrawn' | 'overtaken';

/** Maximum number of writes of one claim before its outcome is left open. */
const maximumClaimWrites = 3;

/** A claim's row as read; the claim is undefined when the row is absent or cannot be decoded. */
type ReadRow = {condition: Condition; claim: Claim | undefined};

/**
 * Creates, finishes and withdraws claims. Every write contains the claim's token and is conditional on the row as it was read, so
 * a delayed or duplicated write has no effect.
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

	/** Claims a call whose row is absent or whose claim is withdrawn. */
	async claim(name: ClaimName, claim: Claim): Promise<ClaimOutcome> {
		let condition: Condition = {kind: 'absent'};
		let mayBeStored = false;
		for (let attempt = 0; attempt < maximumClaimWrites; attempt += 1) {
			const written = await this.#put(name, claim, condition);
			if (written === 'committed') {
				return {kind: 'claimed'};
			}

			if (written === 'refused' && !mayBeStored) {
				return {kind: 'unavailable'};
			}

			mayBeStored ||= written === 'unknown';
			const seen = await this.#read(name);
			if (!seen) {
				return {kind: mayBeStored ? 'unsettled' : 'unread'};
			}

			if (seen.claim?.token === claim.token) {
				return seen.claim.state === 'running' ? {kind: 'claimed'} : {kind: 'held', claim: seen.claim};
			}

			if (seen.condition.kind !== 'absent' && seen.claim?.state !== 'withdrawn') {
				return {kind: 'held', claim: seen.claim};
			}

			// An earlier write may still take effect while its condition holds; once the row has changed, it cannot.
			mayBeStored &&= equalConditions(condition, seen.condition);
			condition = seen.condition;
		}

		return {kind: mayBeStored ? 'unsettled' : 'unread'};
	}

	/**
	 * Writes the final state of a claim, retrying until it is stored.
	 *
	 * @returns `true` when it is stored, `false` when the row belongs to another claim, `undefined` when the time limit was reached.
	 */
	async finish(name: ClaimName, claim: Claim, final: FinalClaimState): Promise<boolean | undefined> {
		return retryWrite(async () => {
			const seen = await this.#read(name);
			if (!seen) {
				return undefined;
			}

			if (seen.claim?.token !== claim.token) {
				return false;
			}

			if (seen.claim.state === final.state && !seen.claim.settledBy) {
				return true;
			}

			return await this.#put(name, {...claim, ...final}, seen.condition) === 'committed' ? true : undefined;
		}, this.#retry);
	}

	/**
	 * Withdraws a claim of a call of which no byte has been sent, retrying until the claim can no longer be stored as running. An
	 * absent row is written too, so that a delayed write of the claim fails its condition.
	 *
	 * @returns The outcome; `undefined` when the time limit was reached.
	 */
	async withdraw(name: ClaimName, claim: Claim): Promise<WithdrawalOutcome | undefined> {
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

	async #read(name: ClaimName): Promise<ReadRow | undefined> {
		const rows = await this.#platform.read([{table: claimTable, key: claimKey(name)}]);
		return rows.isOk() ? parseRow(rows.value[0]) : undefined;
	}
}

function parseRow(row: Row | undefined): ReadRow {
	if (!row) {
		return {condition: {kind: 'absent'}, claim: undefined};
	}

	const checked = claimSchema.safeParse(row.value);
	return {condition: {kind: 'revision', revision: row.revision}, claim: checked.success ? checked.data : undefined};
}

function equalConditions(left: Condition, right: Condition): boolean {
	return left.kind === right.kind && (left.kind !== 'revision' || right.kind !== 'revision' || left.revision === right.revision);
}
