/**
 * The tasks that follow the store's tables of configuration, endpoints, suspected requests and endpoint limits.
 *
 * @module
 */
import {decodeRow, type RowChange, type StoredRow} from '../stored-rows/mod.ts';
import {type EndpointChange} from '../registry/mod.ts';
import {
	PollRenewal, StoreClock, followTable, type TableListener,
} from '../beliefs/mod.ts';
import {
	limitTable, publishedLimitSchema, type PublishedLimit,
} from '../limits/mod.ts';
import {
	configurationKey, decodeConfiguration, decodeEndpoint, endpointTable, operatorTable,
} from '../platform/mod.ts';
import {rolloutTable} from '../rollouts/mod.ts';
import {type Supervisor} from '../supervision/supervisor.ts';
import {decodeSuspicion, suspectTable, type SuspectChange} from '../suspects/mod.ts';
import {type GatewayParts} from './gateway-parts.ts';
import {applyConfiguration} from './apply-configuration.ts';
import {orderListener, recordListener} from './rollout-state.ts';

/**
 * Duration of a long poll for suspected requests and endpoint limits, in milliseconds. The store answers as soon as there is one; usually
 * there is none, and nothing depends on the age of that state, so the poll may be long.
 */
const rareChangesPollMilliseconds = 10_000;

/** Maximum retry delay of such a poll, in milliseconds; during an outage of the store, polls of the other tables detect its recovery. */
const rareChangesMaximumRetryMilliseconds = 2000;

/**
 * Starts the tasks that follow the tables.
 *
 * @param supervisor Runs the tasks.
 * @param parts The gateway's components.
 * @param followsStore Returns whether this gateway follows the store now.
 */
export function followStore(supervisor: Supervisor, parts: GatewayParts, followsStore: () => boolean): void {
	const {store, logger, readClock, random, updateTimes} = parts;
	const shared = {
		store,
		logger,
		readClock,
		random,
		pollMilliseconds: updateTimes.storePollMilliseconds,
		storeClock: new StoreClock(),
		renewal: new PollRenewal(),
		shouldFollow: followsStore,
	};
	const rareChanges = {
		pollMilliseconds: rareChangesPollMilliseconds, waitAfterGapMilliseconds: rareChangesPollMilliseconds, longestRetryMilliseconds: rareChangesMaximumRetryMilliseconds, batchMilliseconds: 0,
	};
	supervisor.start('configuration', async signal => followTable({
		...shared, table: operatorTable, listener: configurationListener(parts), batchMilliseconds: 0,
	}, signal));
	supervisor.start('endpoints', async signal => followTable({
		...shared, table: endpointTable, listener: endpointListener(parts), batchMilliseconds: updateTimes.batchMilliseconds,
	}, signal));
	supervisor.start('suspects', async signal => followTable({
		...shared, ...rareChanges, table: suspectTable, listener: suspectListener(parts),
	}, signal));
	const {rollouts} = parts;
	if (rollouts) {
		supervisor.start('roll-outs', async signal => followTable({
			...shared,
			...rareChanges,
			// Requests go to a version under trial only while its record is known to be the newest.
			get pollMilliseconds() {
				return rollouts.isActive ? updateTimes.storePollMilliseconds : rareChangesPollMilliseconds;
			},
			get waitAfterGapMilliseconds() {
				return rollouts.isActive ? 0 : rareChangesPollMilliseconds;
			},
			table: rolloutTable,
			listener: recordListener(rollouts, logger),
		}, signal));
	}

	supervisor.start('limits', async signal => followTable({
		...shared, ...rareChanges, table: limitTable, listener: limitListener(parts),
	}, signal));
}

function configurationListener(parts: GatewayParts): TableListener {
	const orders = parts.rollouts && orderListener(parts.rollouts, parts.logger);
	const applyRows = (rows: readonly StoredRow[]) => {
		const row = rows.findLast(({key}) => key === configurationKey);
		if (!row?.content) {
			return;
		}

		const decoded = decodeConfiguration(row.content);
		if (decoded.isErr()) {
			parts.logger.error('configuration cannot be read', {revision: row.revision, reason: decoded.error});
			return;
		}

		applyConfiguration(parts, decoded.value, {revision: row.revision});
	};

	return {
		replace(rows, revision) {
			applyRows(rows);
			orders?.replace(rows, revision);
		},
		apply(rows, revision) {
			applyRows(rows);
			orders?.apply(rows, revision);
		},
		confirm(revision, at) {
			parts.configuration.confirm(at);
			orders?.confirm(revision, at);
		},
	};
}

/** A cache of rows, which knows up to which revision it is complete. */
type CachedRows<Change> = {replace(changes: readonly Change[], revision: number): void; apply(changes: readonly Change[]): void; confirm(revision: number): void};

/** Returns a listener that passes decoded rows to a cache. */
function cacheListener<Change>(cache: CachedRows<Change>, decode: (row: StoredRow) => Change): TableListener {
	return {
		replace(rows, revision) {
			cache.replace(rows.map(row => decode(row)), revision);
		},
		apply(rows) {
			cache.apply(rows.map(row => decode(row)));
		},
		confirm(revision) {
			cache.confirm(revision);
		},
	};
}

function suspectListener({suspects, logger}: GatewayParts): TableListener {
	const decode = ({key, content, revision}: StoredRow): SuspectChange => {
		const decoded = content && decodeSuspicion(content);
		if (decoded?.isErr()) {
			logger.warn('row of a suspected request cannot be read', {digest: key, revision, reason: decoded.error});
		}

		return {digest: key, suspicion: decoded?.unwrapOr(undefined), revision};
	};

	return cacheListener({
		replace(changes, revision) {
			suspects.replaceKnown(changes, revision);
		},
		apply(changes) {
			suspects.known.apply(changes);
		},
		confirm(revision) {
			suspects.known.confirm(revision);
		},
	}, decode);
}

function limitListener({limiter: {published}, logger}: GatewayParts): TableListener {
	const decode = ({key, content, revision}: StoredRow): RowChange<PublishedLimit> => {
		const decoded = content && decodeRow(publishedLimitSchema, content);
		if (decoded?.isErr()) {
			logger.warn('row of an endpoint limit cannot be read', {endpoint: key, revision, reason: decoded.error});
		}

		return {key, content: decoded?.unwrapOr(undefined), revision};
	};

	return cacheListener(published, decode);
}

function endpointListener({endpoints, logger, clock}: GatewayParts): TableListener {
	const decode = (row: StoredRow): EndpointChange => {
		const decoded = row.content && decodeEndpoint(row.key, row.content);
		if (decoded?.isErr()) {
			logger.warn('endpoint entry cannot be read', {endpoint: row.key, revision: row.revision, reason: decoded.error});
		}

		return {id: row.key, entry: decoded?.unwrapOr(undefined), revision: row.revision};
	};

	return {
		replace(rows, revision) {
			endpoints.replace(rows.map(row => decode(row)), revision, clock());
			logger.info('endpoints read', {endpoints: endpoints.size, revision});
		},
		apply(rows) {
			endpoints.apply(rows.map(row => decode(row)), clock());
		},
		confirm(revision, at) {
			endpoints.confirm(revision, at);
		},
		recovered() {
			endpoints.recordOutageEnd(clock());
		},
	};
}
