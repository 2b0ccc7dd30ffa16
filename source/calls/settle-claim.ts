/**
 * Lets an operator read a claim, and settle one whose outcome no router can determine.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import {type PlatformClient, type Row} from '../table-service/mod.ts';
import {
	claimKey, claimSchema, claimTable, type Claim, type ClaimName,
} from './claim.ts';

/** Reason why a claim could not be read or settled. */
export type SettleFailure = {
	kind: 'store_unavailable' | 'no_claim' | 'unreadable_claim' | 'still_running' | 'already_settled' | 'changed_meanwhile';
	message: string;
};

/** Options of {@linkcode settleClaim}. */
export type SettleClaimOptions = {
	name: ClaimName;
	/**
	 * Whether the call has run, as the operator found at the service. `yes` ends the claim permanently. `no` withdraws it, so that a
	 * repeat runs; it is safe only once the router in the claim has certainly terminated, since a paused one may still send the call
	 * when it resumes.
	 */
	run: 'yes' | 'no';
	/** Name of the operator, stored in the claim. */
	operator: string;
	/** Wall-clock time, in milliseconds. */
	now: number;
	/** Unique token of this write. */
	token: string;
};

type ClaimRow = {claim: Claim; row: Row};

/**
 * Reads a claim.
 *
 * @param platform Client of the table.
 * @param name Workspace, service and idempotency key.
 * @returns The claim, or the reason why it could not be read.
 * @example
 * ```ts
 * const claim = await readClaim(platform, {workspace: 'vans', service: 'orders', idempotencyKey: 'refill-7'});
 * ```
 */
export async function readClaim(platform: PlatformClient, name: ClaimName): Promise<Result<Claim, SettleFailure>> {
	const stored = await readClaimRow(platform, name);
	return stored.map(({claim}) => claim);
}

/**
 * Settles a claim whose outcome is unknown.
 *
 * @param platform Client of the table.
 * @param options The claim, whether the call has run, and the operator.
 * @returns The settled claim, or the reason why it was not changed.
 * @example
 * ```ts
 * const settled = await settleClaim(platform, {name, run: 'yes', operator: 'ana', now: Date.now(), token: randomUUID()});
 * ```
 */
export async function settleClaim(platform: PlatformClient, options: SettleClaimOptions): Promise<Result<Claim, SettleFailure>> {
	const {name, run, operator, now, token} = options;
	const stored = await readClaimRow(platform, name);
	if (stored.isErr()) {
		return err(stored.error);
	}

	const {claim, row} = stored.value;
	if (claim.state === 'ended' || claim.state === 'withdrawn') {
		return err({kind: 'already_settled', message: `the claim is ${claim.state}`});
	}

	if (claim.state === 'running' && now < claim.endsBefore) {
		return err({kind: 'still_running', message: `router ${claim.router} may still end the call`});
	}

	const settled: Claim = {...claim, state: run === 'yes' ? 'ended' : 'withdrawn', settledBy: {operator, token}};
	const written = await platform.transact([{
		kind: 'put', table: claimTable, key: claimKey(name), value: settled, condition: {kind: 'revision', revision: row.revision},
	}]);
	if (written.isOk() && written.value.kind === 'committed') {
		return ok(settled);
	}

	if (written.isErr() && written.error.kind === 'refused') {
		return err({kind: 'store_unavailable', message: written.error.message});
	}

	const after = await readClaimRow(platform, name);
	return after.andThen(({claim: current}): Result<Claim, SettleFailure> => current.settledBy?.token === token
		? ok(current)
		: err({kind: 'changed_meanwhile', message: 'the claim has changed or the write was lost; read it again'}));
}

async function readClaimRow(platform: PlatformClient, name: ClaimName): Promise<Result<ClaimRow, SettleFailure>> {
	const rows = await platform.read([{table: claimTable, key: claimKey(name)}]);
	if (rows.isErr()) {
		return err({kind: 'store_unavailable', message: rows.error.message});
	}

	const [row] = rows.value;
	if (!row) {
		return err({kind: 'no_claim', message: `there is no claim ${claimKey(name)}`});
	}

	const checked = claimSchema.safeParse(row.value);
	return checked.success ? ok({claim: checked.data, row}) : err({kind: 'unreadable_claim', message: checked.error.message});
}
