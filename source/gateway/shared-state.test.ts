import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type z} from 'zod';
import {type EndpointChange} from '../registry/mod.ts';
import {RowCache, revisionOf} from '../stored-rows/mod.ts';
import {ConfigurationCache, EndpointList} from '../beliefs/mod.ts';
import {type StoreUpdate} from '../fleet/mod.ts';
import {knownRevisionsSchema, storeUpdateSchema} from '../fleet/exchange-protocol.ts';
import {jsonCodec} from '../fleet/json-codec.ts';
import {createLogger} from '../telemetry/logger.ts';
import {type GatewayParts} from './gateway-parts.ts';
import {createSharedState} from './shared-state.ts';

/** Interval at which a gateway requests updates from another one, in milliseconds. */
const pollMilliseconds = 300;

/** Bound within which a gateway that follows another one has an entry that it lacked, in milliseconds. */
const repairMilliseconds = 2000;

const at = (steady: number) => ({steady, wall: steady});

const entryOf = (id: string) => ({
	id, service: 'desk', address: '127.0.0.1:1', availabilityZone: 'zone-a', slots: 6, leaving: false, startedAt: 1,
});

const idsOf = (list: EndpointList, now: number) => list.endpointsOf('desk', now).map(({id}) => id);

/** A gateway of which only the shared state runs. */
function createGateway(changes: readonly EndpointChange[], revision: number) {
	const endpoints = new EndpointList();
	const parts: Partial<Record<keyof GatewayParts, unknown>> = {
		configuration: new ConfigurationCache(), endpoints, suspects: {known: new RowCache()}, limiter: {published: new RowCache()}, logger: createLogger('test', {level: 'silent'}), random: () => 0.5,
	};
	endpoints.apply(changes, 0);
	endpoints.confirm(revision, at(0));
	return {endpoints, state: createSharedState(parts as GatewayParts)};
}

type Gateway = ReturnType<typeof createGateway>;

/** Returns a message as its receiver gets it. */
function transfer<Message>(message: Message, schema: z.ZodType<Message>): Message {
	const {encode, decode} = jsonCodec(schema);
	return decode(encode(message));
}

/** Lets one gateway request an update from another; returns the update. */
function exchange(receiver: Gateway, source: Gateway, now: number): StoreUpdate {
	source.endpoints.confirm(0, at(now));
	const known = transfer(receiver.state.knownRevisions(at(now)), knownRevisionsSchema);
	const update = transfer(source.state.updateFor(known, at(now)), storeUpdateSchema);
	receiver.state.apply(update, at(now));
	return update;
}

/** Exchanges for a time; returns how many updates held the whole list. */
function follow(receiver: Gateway, source: Gateway, {from = 0, forMilliseconds}: {from?: number; forMilliseconds: number}): number {
	let wholeLists = 0;
	for (let now = from; now < from + forMilliseconds; now += pollMilliseconds) {
		wholeLists += exchange(receiver, source, now).endpoints.length > 1 ? 1 : 0;
	}

	return wholeLists;
}

/** Two gateways: both have read two entries, and the receiver the removal of one. */
function createPairWithRemoval(era = 0) {
	const changes = [{id: 'desk-1', entry: entryOf('desk-1'), revision: revisionOf(era, 40)}, {id: 'desk-2', entry: entryOf('desk-2'), revision: revisionOf(era, 39)}];
	const [source, receiver] = [createGateway(changes, revisionOf(era, 40)), createGateway(changes, revisionOf(era, 40))];
	receiver.endpoints.apply([{id: 'desk-1', revision: revisionOf(era, 41)}], 0);
	receiver.endpoints.confirm(revisionOf(era, 41), at(0));
	return {source, receiver};
}

for (const era of [0, 2]) {
	test(`a gateway that saw a removal gets the entry that was written again from one that polled before and after both${era === 0 ? '' : ', also in a later era'}`, () => {
		const {source, receiver} = createPairWithRemoval(era);
		source.endpoints.apply([{id: 'desk-1', entry: entryOf('desk-1'), revision: revisionOf(era, 42)}], 0);
		source.endpoints.confirm(revisionOf(era, 42), at(0));
		assert.equal(follow(receiver, source, {forMilliseconds: repairMilliseconds}), 1);
		assert.deepEqual(idsOf(receiver.endpoints, repairMilliseconds).toSorted(), ['desk-1', 'desk-2']);
		assert.equal(follow(receiver, source, {from: repairMilliseconds, forMilliseconds: 60_000}), 0);
	});
}

test('a gateway that follows one whose list stays longer for good requests the whole list ever less often', () => {
	const {source, receiver} = createPairWithRemoval();
	source.endpoints.confirm(43, at(0));
	const wholeLists = follow(receiver, source, {forMilliseconds: 3_600_000});
	assert.ok(wholeLists >= 1 && wholeLists <= 10, `${wholeLists} whole lists in an hour`);
	assert.deepEqual(idsOf(receiver.endpoints, 3_600_000), ['desk-2']);
});

test('a gateway never requests the whole list from one that has fewer entries or is behind', () => {
	const {source, receiver} = createPairWithRemoval();
	assert.equal(follow(receiver, source, {forMilliseconds: 60_000}), 0);
	receiver.endpoints.confirm(50, at(0));
	source.endpoints.apply([{id: 'desk-1', revision: 51}], 0);
	receiver.endpoints.apply([{id: 'desk-1', entry: entryOf('desk-1'), revision: 52}], 0);
	source.endpoints.confirm(53, at(0));
	assert.equal(follow(receiver, source, {from: 60_000, forMilliseconds: 60_000}), 0);
});

test('entries that are about to be used again or removed after an outage are not compared', () => {
	const {source, receiver} = createPairWithRemoval();
	source.endpoints.recordOutageEnd(0);
	source.endpoints.apply([{id: 'desk-1', revision: 43}], 0);
	source.endpoints.confirm(43, at(0));
	assert.equal(source.state.updateFor(receiver.state.knownRevisions(at(0)), at(0)).endpointCount, undefined);
	assert.equal(follow(receiver, source, {forMilliseconds: 10_000}), 0);
});

test('gateways of an earlier build, which name no number of entries, exchange updates with this one', () => {
	const {source, receiver} = createPairWithRemoval();
	source.endpoints.apply([{id: 'desk-3', entry: entryOf('desk-3'), revision: 44}], 0);
	source.endpoints.confirm(44, at(0));
	for (let now = 0; now < 10_000; now += pollMilliseconds) {
		const {endpointCount, ...update} = source.state.updateFor(receiver.state.knownRevisions(at(now)), at(now));
		assert.equal(endpointCount, 3);
		assert.equal(update.endpoints.length, now === 0 ? 1 : 0);
		receiver.state.apply(update, at(now));
	}

	assert.deepEqual(idsOf(receiver.endpoints, 10_000).toSorted(), ['desk-2', 'desk-3']);
});
