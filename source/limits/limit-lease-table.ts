/**
 * Leases of limited endpoints in the store: which gateway grants their permits.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import {
	eraOf, decodeRow, hasComeBack, type StoreEraRecord, type RowLocation, type RowStore, type StoredRow, type StoredRows,
} from '../stored-rows/mod.ts';
import {type ClockReading} from '../clocks/mod.ts';
import {type EndpointIncarnation} from '../registry/mod.ts';
import {type Logger} from '../telemetry/mod.ts';
import {
	isSameHolder, limitLeaseSchema, type LimitLease, type PermitHolder, type PublishedLimit,
} from './endpoint-limit.ts';
import {permitLifetimeMilliseconds} from './permit-message.ts';

/** Options of {@linkcode LimitLeaseTable}. */
export type LimitLeaseTableOptions = {
	store: Pick<RowStore, 'readRow' | 'transact'>;
	eraRecord: Pick<StoreEraRecord, 'presentSince'>;
	/** This gateway. */
	self: PermitHolder;
	logger: Logger;
	readClock: () => ClockReading;
};

/** Options of {@linkcode LimitLeaseTable.acquire}. */
export type AcquireLeaseOptions = {
	endpoint: EndpointIncarnation;
	requestsPerSecond: number;
	/** Whether the limit must be published, as it or its holder has changed. */
	publish: boolean;
	/** A holder whose process is known to have ended; its lease may be replaced before it expires. */
	endedHolder?: PermitHolder;
	/** Whether this gateway has the lease even if the store has lost it by coming back from an older copy. Default false. */
	isHeld?: boolean;
};

/** Outcome of an attempt to acquire or renew a lease. */
export type LeaseOutcome
	/** This gateway has the lease until `leaseMilliseconds` after the reading. */
	= | {kind: 'held'; since: ClockReading}
	/** Another gateway has it for the given time. */
		| {kind: 'other'; holder: PermitHolder; remainingMilliseconds: number}
	/** The store came back from an older copy; for the given time, a gateway that is not known may have the lease. */
		| {kind: 'uncertain'; remainingMilliseconds: number}
	/** A later incarnation of the endpoint has named a limit. */
		| {kind: 'replaced'}
		| {kind: 'failed'; reason: string};

/** Table of published limits, which all gateways follow; one row per endpoint. */
export const limitTable = 'endpoint-limits';

/** Table of leases, which only gateways read that need one; renewals are not sent to all gateways. */
const leaseTable = 'endpoint-limit-leases';

/** Duration of a lease, in milliseconds. An outage of the store that is shorter by a renewal interval is bridged; a lost holder is replaced after it. */
export const leaseMilliseconds = 12_000;

/** Maximum number of attempts while other gateways write the same lease. */
const maximumAttempts = 3;

/**
 * Acquires, renews and removes leases.
 *
 * @example
 * ```ts
 * const outcome = await leases.acquire({endpoint, requestsPerSecond: 1.5, publish: true});
 * ```
 */
export class LimitLeaseTable {
	readonly #options: LimitLeaseTableOptions;

	constructor(options: LimitLeaseTableOptions) {
		this.#options = options;
	}

	/** Acquires the lease of an endpoint, or renews it if this gateway has it. */
	async acquire(options: AcquireLeaseOptions): Promise<LeaseOutcome> {
		for (let attempt = 1; attempt <= maximumAttempts; attempt += 1) {
			const outcome = await this.#tryAcquire(options);
			if (outcome !== 'conflict') {
				return outcome;
			}
		}

		return {kind: 'failed', reason: 'every attempt conflicted with a concurrent write'};
	}

	/** Removes the rows of an endpoint whose limit this gateway holds, or that no longer exists; returns why it failed, if it did. */
	async remove(endpoint: EndpointIncarnation): Promise<string | undefined> {
		const {store, self} = this.#options;
		const read = await this.#read(endpoint);
		if (read.isErr()) {
			return read.error;
		}

		const {lease, revision, now} = read.value;
		const isHeldByOther = lease !== undefined && !isSameHolder(lease.holder, self) && this.#remaining(lease, now) > 0;
		const isOutdated = lease !== undefined && lease.startedAt > endpoint.startedAt;
		if (isHeldByOther || isOutdated) {
			return undefined;
		}

		const removed = await store.transact({expected: [{...leaseRow(endpoint), revision}], puts: [], removes: [leaseRow(endpoint), limitRow(endpoint)]});
		return removed.match(outcome => outcome.kind === 'conflict' ? 'the lease was written concurrently' : undefined, ({message}) => message);
	}

	/** Gives up the lease of an endpoint if this gateway has it; its limit stays published. Returns why it failed, if it did. */
	async release(endpoint: EndpointIncarnation): Promise<string | undefined> {
		const {store, self} = this.#options;
		const read = await this.#read(endpoint);
		if (read.isErr()) {
			return read.error;
		}

		const {lease, revision} = read.value;
		if (!lease || !isSameHolder(lease.holder, self)) {
			return undefined;
		}

		const released = await store.transact({expected: [{...leaseRow(endpoint), revision}], puts: [], removes: [leaseRow(endpoint)]});
		return released.match(() => undefined, ({message}) => message);
	}

	async #tryAcquire({endpoint, requestsPerSecond, publish, endedHolder, isHeld = false}: AcquireLeaseOptions): Promise<LeaseOutcome | 'conflict'> {
		const {store, self, readClock} = this.#options;
		const since = readClock();
		const read = await this.#read(endpoint);
		if (read.isErr()) {
			return {kind: 'failed', reason: read.error};
		}

		const {lease, revision, now, response} = read.value;
		if (lease && lease.startedAt > endpoint.startedAt) {
			return {kind: 'replaced'};
		}

		const isFromBefore = hasComeBack(response.revision) && lease?.era !== eraOf(response.revision);
		const lost = isFromBefore && !isHeld ? await this.#remainingOfLost(read.value) : ok(0);
		if (lost.isErr()) {
			return {kind: 'failed', reason: lost.error};
		}

		if (lost.value > 0) {
			return {kind: 'uncertain', remainingMilliseconds: lost.value};
		}

		const remainingMilliseconds = lease?.startedAt === endpoint.startedAt && !(isFromBefore && isHeld) ? this.#remaining(lease, now) : 0;
		if (lease && remainingMilliseconds > 0 && !this.#mayReplace(lease.holder, endedHolder)) {
			return {kind: 'other', holder: lease.holder, remainingMilliseconds};
		}

		const isRenewal = lease !== undefined && isSameHolder(lease.holder, self);
		const written = await store.transact({
			expected: [{...leaseRow(endpoint), revision}],
			puts: [
				this.#nextLease(endpoint, read.value),
				...(publish || !isRenewal ? [this.#publishedLimit(endpoint, requestsPerSecond)] : []),
			],
			removes: [],
		});
		return written.match(
			({kind}) => kind === 'conflict' ? 'conflict' as const : {kind: 'held' as const, since},
			({message}) => ({kind: 'failed' as const, reason: message}),
		);
	}

	#nextLease(endpoint: EndpointIncarnation, {now, response}: LeaseRead): RowLocation & {content: string} {
		const lease: LimitLease = {
			startedAt: endpoint.startedAt, holder: this.#options.self, leasedAt: now, era: eraOf(response.revision),
		};
		return {...leaseRow(endpoint), content: JSON.stringify(lease)};
	}

	#publishedLimit(endpoint: EndpointIncarnation, requestsPerSecond: number): RowLocation & {content: string} {
		const limit: PublishedLimit = {startedAt: endpoint.startedAt, requestsPerSecond, holder: this.#options.self};
		return {...limitRow(endpoint), content: JSON.stringify(limit)};
	}

	/** Reads the lease of an endpoint. */
	async #read({id}: EndpointIncarnation): Promise<Result<LeaseRead, string>> {
		const read = await this.#options.store.readRow(leaseTable, id);
		if (read.isErr()) {
			return err(read.error.message);
		}

		const {rows: [row], storeMilliseconds: now, revision, eraMilliseconds} = read.value;
		return now === undefined
			? err('the store did not report its time')
			: ok({
				lease: this.#decode(row), revision: row?.revision ?? 0, now, response: {revision, eraMilliseconds},
			});
	}

	/** Returns the time for which a lease that the store has lost may still be in use, in milliseconds. */
	async #remainingOfLost({now, response}: LeaseRead): Promise<Result<number, string>> {
		const since = await this.#options.eraRecord.presentSince(response, now);
		return since.map(leasedAt => Math.max(0, this.#remaining({leasedAt}, now)));
	}

	/** Whether a lease may be replaced before it expires: it is this gateway's, an earlier process of this host had it, or its holder has ended. */
	#mayReplace(holder: PermitHolder, endedHolder: PermitHolder | undefined): boolean {
		return holder.name === this.#options.self.name || (endedHolder !== undefined && isSameHolder(holder, endedHolder));
	}

	/** Returns the time until permits granted under a lease can no longer be used, in milliseconds. */
	#remaining({leasedAt}: Pick<LimitLease, 'leasedAt'>, now: number): number {
		return leasedAt + leaseMilliseconds + permitLifetimeMilliseconds - now;
	}

	#decode(row: StoredRow | undefined): LimitLease | undefined {
		const decoded = row?.content && decodeRow(limitLeaseSchema, row.content);
		if (decoded?.isErr()) {
			this.#options.logger.error('lease of an endpoint limit cannot be decoded and is replaced', {endpoint: row?.key, reason: decoded.error});
		}

		return decoded?.unwrapOr(undefined);
	}
}

/** A lease as the store holds it: its revision, the store's time, and the revision and era of the store's response. */
type LeaseRead = {lease: LimitLease | undefined; revision: number; now: number; response: Pick<StoredRows, 'revision' | 'eraMilliseconds'>};

function leaseRow({id}: EndpointIncarnation): RowLocation {
	return {table: leaseTable, key: id};
}

function limitRow({id}: EndpointIncarnation): RowLocation {
	return {table: limitTable, key: id};
}
