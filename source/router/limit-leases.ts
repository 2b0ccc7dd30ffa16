/**
 * Leases of limited endpoints in the platform's table.
 *
 * The table reports no time, so a router replaces the lease of another one only after it has observed the row unchanged for the whole
 * duration by its own clock.
 *
 * @module
 */
import {type ClockReading} from '../clocks/mod.ts';
import {type EndpointIncarnation} from '../registry/mod.ts';
import {
	isSameHolder, leaseMilliseconds, permitHolderSchema, permitLifetimeMilliseconds, type AcquireLeaseOptions, type LeaseOutcome, type PermitHolder, type PublishedLimit,
} from '../limits/mod.ts';
import {type Condition, type PlatformClient, type Row} from '../table-service/mod.ts';
import {type Logger} from '../telemetry/mod.ts';

/** Options of {@linkcode RouterLimitLeases}. */
export type RouterLimitLeasesOptions = {
	platform: Pick<PlatformClient, 'read' | 'transact'>;
	/** Returns this router, with the address that the host list names for it. */
	self: () => PermitHolder;
	/** Publishes a limit to the other routers, or its removal. */
	publish: (endpoint: EndpointIncarnation, limit: PublishedLimit | undefined) => void;
	logger: Logger;
	readClock: () => ClockReading;
};

/** Table of the leases, keyed by the address of the endpoint. */
const leaseTable = 'endpoint_limit';

/** Time for which a row must be unchanged before another router replaces the lease, in milliseconds: its duration and that of the last permit. */
const unchangedMilliseconds = leaseMilliseconds + permitLifetimeMilliseconds;

type Observation = {revision: number; since: number};

/**
 * Acquires, renews and removes leases.
 *
 * @example
 * ```ts
 * const outcome = await leases.acquire({endpoint, requestsPerSecond: 1.5, publish: true});
 * ```
 */
export class RouterLimitLeases {
	readonly #options: RouterLimitLeasesOptions;
	/** Revision that was last observed of each row, and the monotonic time since which it is known, in milliseconds. */
	readonly #observations = new Map<string, Observation>();

	constructor(options: RouterLimitLeasesOptions) {
		this.#options = options;
	}

	/** Acquires the lease of an endpoint, or renews it if this router has it. */
	async acquire({endpoint, requestsPerSecond, publish, endedHolder}: AcquireLeaseOptions): Promise<LeaseOutcome> {
		const {platform, self, readClock} = this.#options;
		const since = readClock();
		const read = await platform.read([{table: leaseTable, key: endpoint.id}]);
		if (read.isErr()) {
			return {kind: 'failed', reason: read.error.message};
		}

		const [row] = read.value;
		const holder = this.#decode(row);
		const remainingMilliseconds = row ? this.#remaining(endpoint.id, row.revision) : 0;
		const mayReplace = !holder || holder.name === self().name || (endedHolder !== undefined && isSameHolder(holder, endedHolder));
		if (holder && !mayReplace && remainingMilliseconds > 0) {
			return {kind: 'other', holder, remainingMilliseconds};
		}

		const isRenewal = holder !== undefined && isSameHolder(holder, self());
		const written = await platform.transact([{
			kind: 'put', table: leaseTable, key: endpoint.id, value: self(), condition: conditionOf(row),
		}]);
		if (written.isErr()) {
			return {kind: 'failed', reason: written.error.message};
		}

		if (written.value.kind === 'conflict') {
			return {kind: 'failed', reason: 'another router wrote the lease concurrently'};
		}

		if (publish || !isRenewal) {
			this.#options.publish(endpoint, {startedAt: endpoint.startedAt, requestsPerSecond, holder: self()});
		}

		return {kind: 'held', since};
	}

	/** Removes the lease of an endpoint whose limit was lifted, and the published limit; returns why it failed, if it did. */
	async remove(endpoint: EndpointIncarnation): Promise<string | undefined> {
		const failure = await this.release(endpoint);
		if (failure === undefined) {
			this.#options.publish(endpoint, undefined);
		}

		return failure;
	}

	/** Gives up the lease of an endpoint if this router has it; returns why it failed, if it did. */
	async release({id}: EndpointIncarnation): Promise<string | undefined> {
		const {platform, self} = this.#options;
		const read = await platform.read([{table: leaseTable, key: id}]);
		if (read.isErr()) {
			return read.error.message;
		}

		const [row] = read.value;
		const holder = this.#decode(row);
		if (!row || !holder || !isSameHolder(holder, self())) {
			return undefined;
		}

		const removed = await platform.transact([{
			kind: 'delete', table: leaseTable, key: id, condition: conditionOf(row),
		}]);
		return removed.match(() => undefined, ({message}) => message);
	}

	/** Returns the time until a row will have been observed unchanged for the whole duration, in milliseconds. */
	#remaining(key: string, revision: number): number {
		const now = this.#options.readClock().steady;
		const known = this.#observations.get(key);
		const observation = known?.revision === revision ? known : {revision, since: now};
		this.#observations.set(key, observation);
		return observation.since + unchangedMilliseconds - now;
	}

	#decode(row: Row | undefined): PermitHolder | undefined {
		const parsed = row && permitHolderSchema.safeParse(row.value);
		if (parsed?.success === false) {
			this.#options.logger.error('lease of an endpoint limit cannot be decoded and is replaced', {endpoint: row?.key, reason: parsed.error.message});
		}

		return parsed?.data;
	}
}

function conditionOf(row: Row | undefined): Condition {
	return row ? {kind: 'revision', revision: row.revision} : {kind: 'absent'};
}
