/**
 * Connects the gateway's knowledge of roll-outs with the store's tables and with other gateways.
 *
 * @module
 */
import {readClock, type ClockReading} from '../clocks/mod.ts';
import {type TableListener} from '../beliefs/mod.ts';
import {type KnownRevisions, type StoreUpdate} from '../fleet/mod.ts';
import {decodeRolloutOrder, isRolloutKey} from '../platform/mod.ts';
import {
	Rollouts, rolloutRecordSchema, type RolloutOrder, type RolloutRecord,
} from '../rollouts/mod.ts';
import {decodeRow, type RowChange, type StoredRow} from '../stored-rows/mod.ts';
import {type Logger} from '../telemetry/logger.ts';
import {type GatewayParts} from './gateway-parts.ts';

type RolloutParts = Pick<GatewayParts, 'settings' | 'members' | 'endpoints' | 'metrics' | 'logger' | 'clock'>;

/** Creates what this gateway knows of roll-outs. */
export function createRollouts({
	settings: {bounds}, members, endpoints, metrics, logger, clock,
}: RolloutParts): Rollouts {
	const {exposeShare, exposeSlack, rollbackMilliseconds, configurationMilliseconds: spreadMilliseconds} = bounds;
	return new Rollouts({
		bounds: {
			exposeShare, exposeSlack, rollbackMilliseconds, spreadMilliseconds,
		},
		self: processName(members.self),
		endpointsOf: service => endpoints.endpointsOf(service, clock()),
		logger,
		readClock,
		random: Math.random,
		countAnswer(service, version, outcome) {
			metrics.rolloutAnswers.inc({service, version, outcome});
		},
	});
}

/** Name of a gateway's process in leases and records. */
export function processName({name, incarnation}: {name: string; incarnation: number}): string {
	return `${name}/${incarnation}`;
}

/** Returns a listener to the operator's table; an order that cannot be decoded leaves the one before it in force. */
export function orderListener({orders}: Rollouts, logger: Logger): TableListener {
	const decode = (rows: readonly StoredRow[]): Array<RowChange<RolloutOrder>> => rows.filter(({key}) => isRolloutKey(key)).flatMap(({key, content, revision}) => {
		const decoded = content && decodeRolloutOrder(content, revision);
		if (decoded?.isErr()) {
			logger.error('order of a roll-out cannot be read', {key, revision, reason: decoded.error});
		}

		return decoded?.isOk() ? [{key: decoded.value.service, content: decoded.value, revision}] : [];
	});
	return {
		replace(rows) {
			orders.apply(decode(rows));
		},
		apply(rows) {
			orders.apply(decode(rows));
		},
		confirm(revision) {
			orders.confirm(revision);
		},
	};
}

/** Returns a listener to the table of records. */
export function recordListener(rollouts: Rollouts, logger: Logger): TableListener {
	const decode = (rows: readonly StoredRow[]): Array<RowChange<RolloutRecord>> => rows.flatMap(({key, content, revision}) => {
		const decoded = content && decodeRow(rolloutRecordSchema, content);
		if (decoded?.isErr()) {
			logger.error('record of a roll-out cannot be read', {key, revision, reason: decoded.error});
		}

		return decoded?.isOk() ? [{key, content: decoded.value, revision}] : [];
	});
	return {
		replace(rows) {
			rollouts.replaceRecords(decode(rows));
		},
		apply(rows) {
			rollouts.applyRecords(decode(rows));
		},
		confirm(revision, at) {
			rollouts.confirmRecords(revision, at);
		},
	};
}

/** Returns the revisions of roll-outs that this gateway has, for a request to another one. */
export function knownRollouts({rollouts}: GatewayParts): Pick<KnownRevisions, 'rollouts'> {
	return rollouts ? {rollouts: {orderRevision: rollouts.orders.revision, recordRevision: rollouts.records.revision}} : {};
}

/** Returns the changes of roll-outs that a gateway with the given revisions lacks. */
export function rolloutUpdate({rollouts}: GatewayParts, known: KnownRevisions['rollouts'], now: ClockReading): Pick<StoreUpdate, 'rollouts'> {
	if (!rollouts || !known) {
		return {};
	}

	const age = rollouts.age(now);
	return {
		rollouts: {
			orders: rollouts.orders.changesSince(known.orderRevision),
			orderRevision: rollouts.orders.revision,
			records: rollouts.records.changesSince(known.recordRevision),
			recordRevision: rollouts.records.revision,
			recordAgeMilliseconds: Number.isFinite(age) ? age : undefined,
		},
	};
}

/** Applies the changes of roll-outs that another gateway sent in response to a request of the given time. */
export function applyRolloutUpdate({rollouts}: GatewayParts, update: StoreUpdate['rollouts'], requestedAt: ClockReading): void {
	if (!rollouts || !update) {
		return;
	}

	const {orders, orderRevision, records, recordRevision, recordAgeMilliseconds} = update;
	rollouts.orders.apply(orders);
	rollouts.orders.confirm(orderRevision);
	rollouts.applyRecords(records);
	if (recordAgeMilliseconds !== undefined) {
		rollouts.confirmRecords(recordRevision, {steady: requestedAt.steady - recordAgeMilliseconds, wall: requestedAt.wall - recordAgeMilliseconds});
	}
}
