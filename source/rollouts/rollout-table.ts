/**
 * Leases, records, statuses and evidence of roll-outs in the store.
 *
 * @module
 */
import {
	err, ok, type Result,
} from 'neverthrow';
import * as z from 'zod';
import {
	decodeRow, type RowLocation, type RowStore, type StoredRow, type WriteOutcome,
} from '../stored-rows/mod.ts';
import {type Logger} from '../telemetry/mod.ts';
import {evidenceSchema, type Evidence} from './evidence.ts';
import {rolloutRecordSchema, type RolloutRecord} from './rollout.ts';

/** Options of {@linkcode RolloutTable}. */
export type RolloutTableOptions = {
	store: Pick<RowStore, 'readRow' | 'readPrefix' | 'transact' | 'writeRow'>;
	/** This gateway's process. */
	self: string;
	/** Name of this gateway's host, under which its evidence is stored. */
	host: string;
	/** Returns the row by which the operator learns the state of a roll-out. */
	statusRow: (record: RolloutRecord) => RowLocation & {content: string};
	logger: Logger;
};

/** Table of records, which all gateways follow; one row for each service. */
export const rolloutTable = 'rollouts';

const leaseTable = 'rollout-leases';
const evidenceTable = 'rollout-evidence';

/** Duration of a lease, in milliseconds: much less than the time for a roll-back, in which another gateway has to take over. */
export const rolloutLeaseMilliseconds = 2000;

/** Time after which a lease is renewed, in milliseconds. */
const renewalMilliseconds = 700;

const leaseSchema = z.object({holder: z.string(), leasedAt: z.number()});

type Lease = z.output<typeof leaseSchema>;

/** The lease and the record of a service as the store holds them, with their revisions and the store's time in milliseconds. */
export type RolloutRead = {
	lease: Lease | undefined;
	leaseRevision: number;
	record: RolloutRecord | undefined;
	recordRevision: number;
	now: number;
};

/**
 * Reads and writes the rows of roll-outs. Each write is conditional on the lease and the record being those that were read, so a gateway
 * that was suspended and has lost its lease changes nothing.
 *
 * @example
 * ```ts
 * const read = await table.read('desk');
 * ```
 */
export class RolloutTable {
	readonly #options: RolloutTableOptions;

	constructor(options: RolloutTableOptions) {
		this.#options = options;
	}

	/** Reads the lease and the record of a service. */
	async read(service: string): Promise<Result<RolloutRead, string>> {
		const {store} = this.#options;
		const [lease, record] = await Promise.all([store.readRow(leaseTable, service), store.readRow(rolloutTable, service)]);
		if (lease.isErr() || record.isErr()) {
			return err(lease.isErr() ? lease.error.message : record._unsafeUnwrapErr().message);
		}

		const now = lease.value.storeMilliseconds;
		const [leaseRow, recordRow] = [lease.value.rows[0], record.value.rows[0]];
		return now === undefined
			? err('the store did not report its time')
			: ok({
				lease: this.#decode(leaseSchema, leaseRow), leaseRevision: leaseRow?.revision ?? 0, record: this.#decode(rolloutRecordSchema, recordRow), recordRevision: recordRow?.revision ?? 0, now,
			});
	}

	/** Whether another gateway conducts the roll-outs of a service. */
	isLedByOther({lease, now}: RolloutRead): boolean {
		return lease !== undefined && lease.holder !== this.#options.self && now < lease.leasedAt + rolloutLeaseMilliseconds;
	}

	/** Whether this gateway must acquire or renew the lease. */
	isRenewalDue({lease, now}: RolloutRead): boolean {
		return lease?.holder !== this.#options.self || now >= lease.leasedAt + renewalMilliseconds;
	}

	/**
	 * Acquires or renews the lease, and writes a record together with its status where one is given.
	 *
	 * @param service Name of the service.
	 * @param read What the store holds.
	 * @param record The new record. Default none.
	 */
	async write(service: string, read: RolloutRead, record?: RolloutRecord): Promise<Result<WriteOutcome, string>> {
		const {store, self, statusRow} = this.#options;
		const lease: Lease = {holder: self, leasedAt: read.now};
		const recordRow = {table: rolloutTable, key: service};
		const leaseRow = {table: leaseTable, key: service};
		const written = await store.transact({
			expected: [{...leaseRow, revision: read.leaseRevision}, ...(record ? [{...recordRow, revision: read.recordRevision}] : [])],
			puts: [
				{...leaseRow, content: JSON.stringify(lease)},
				...(record ? [{...recordRow, content: JSON.stringify(record)}, statusRow(record)] : []),
			],
			removes: [],
		});
		return written.mapErr(({message}) => message);
	}

	/** Reads what all gateways have seen of a service. */
	async readEvidence(service: string): Promise<Result<Evidence[], string>> {
		const read = await this.#options.store.readPrefix(evidenceTable, `${service}/`);
		return read
			.map(({rows}) => rows.map(row => this.#decode(evidenceSchema, row)).filter(evidence => evidence !== undefined))
			.mapErr(({message}) => message);
	}

	/** Writes what this gateway has seen of a service; returns why it failed, if it did. */
	async writeEvidence(service: string, evidence: Evidence): Promise<string | undefined> {
		const {store, host} = this.#options;
		const written = await store.writeRow({table: evidenceTable, key: `${service}/${host}`, content: JSON.stringify(evidence)});
		return written.match(() => undefined, ({message}) => message);
	}

	#decode<Content>(schema: z.ZodType<Content>, row: StoredRow | undefined): Content | undefined {
		const decoded = row?.content && decodeRow(schema, row.content);
		if (decoded?.isErr()) {
			this.#options.logger.error('row of a roll-out cannot be decoded and is replaced', {key: row?.key, reason: decoded.error});
		}

		return decoded?.unwrapOr(undefined);
	}
}
