import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {allowedLateSends, findLateSends} from '../testing/late-sends.ts';
import {SimulatedFleet, endpointOf, propagationMilliseconds} from '../testing/simulated-suspects.ts';
import {RequestIdentity} from './request-identity.ts';
import {KnownSuspicions} from './known-suspicions.ts';
import {type SuspectAdmission, type SuspectedRequests} from './suspected-requests.ts';
import {suspicionTimeToLiveMilliseconds, isRefused} from './suspicion.ts';
import {UnsavedCrashes} from './unsaved-crashes.ts';

/** Time within which all gateways must refuse a request after its third crash, in milliseconds. */
const detectionMilliseconds = 3000;

async function kindOf(gateway: SuspectedRequests, identity: RequestIdentity): Promise<SuspectAdmission['kind']> {
	const {kind} = await gateway.admit(identity);
	return kind;
}

function requestOf(body: string): RequestIdentity {
	return new RequestIdentity({
		host: 'desk.example', method: 'POST', target: '/status/1', workspace: 'workspace-1', body: new TextEncoder().encode(body),
	});
}

for (const gateways of [14, 146, 390]) {
	test(`all of ${gateways} gateways refuse a request that crashes endpoints, whichever gateways it reaches and whenever they restart`, async () => {
		await fc.assert(fc.asyncProperty(fc.integer({min: 0, max: 1e6}), fc.integer({min: 1, max: 5}), fc.integer({min: 50, max: 3000}), async (seed, attempts, everyMilliseconds) => {
			const fleet = new SimulatedFleet(gateways, seed);
			for (let round = 0; round < 60; round += 1) {
				await fleet.send(fleet.randomGateway(), requestOf('crashing'), attempts);
				fleet.advance(everyMilliseconds);
				if (fleet.random.integer(0, 19) === 0) {
					fleet.gateways.splice(0, gateways, ...fleet.gateways.map(() => fleet.createGateway()));
				}
			}

			const late = findLateSends(fleet, detectionMilliseconds);
			assert.ok(late.length <= allowedLateSends, `${fleet.ends.length} crashes, ${late.length} late sends`);
		}), {seed: 18, numRuns: 25});
	});
}

test('gateways that each observe one of three crashes refuse the request', async () => {
	const fleet = new SimulatedFleet(3, 1);
	for (const gateway of fleet.gateways) {
		await fleet.send(gateway, requestOf('crashing'), 1);
	}

	fleet.advance(0);
	fleet.advance(propagationMilliseconds);
	const answers = await Promise.all(fleet.gateways.map(async gateway => gateway.admit(requestOf('crashing'))));
	assert.deepEqual(new Set(answers.map(({kind}) => kind)), new Set(['refused']));
	const other = await fleet.gateways[0]!.admit(requestOf('another'));
	assert.equal(other.kind, 'free');
});

test('one gateway tries an innocent refused request after a delay, and all gateways serve it once the trial succeeds', async () => {
	const fleet = new SimulatedFleet(14, 2);
	const popular = requestOf('popular');
	await fleet.send(fleet.gateways[0]!, popular, 3);
	fleet.advance(propagationMilliseconds);
	fleet.advance(propagationMilliseconds);
	fleet.advance(propagationMilliseconds);
	fleet.advance(propagationMilliseconds);
	const admissions = await Promise.all(fleet.gateways.map(async gateway => ({gateway, admission: await gateway.admit(popular)})));
	const trials = admissions.filter(({admission}) => admission.kind === 'trial');
	assert.equal(trials.length, 1);
	await trials[0]!.gateway.recordSuccess(popular);
	fleet.advance(propagationMilliseconds);
	fleet.advance(propagationMilliseconds);
	const after = await Promise.all(fleet.gateways.map(async gateway => gateway.admit(popular)));
	assert.ok(after.every(({kind}) => kind === 'free'));
	assert.equal(fleet.store.table('request-ends').size, 0);
});

test('a popular request that succeeds between endpoint crashes is not refused', async () => {
	const fleet = new SimulatedFleet(14, 3);
	const popular = requestOf('popular');
	for (let crash = 0; crash < 10; crash += 1) {
		await fleet.randomGateway().recordCrash(popular, endpointOf(crash));
		fleet.advance(propagationMilliseconds);
		fleet.advance(propagationMilliseconds);
		for (const gateway of fleet.gateways) {
			assert.notEqual(await kindOf(gateway, popular), 'refused');
			await gateway.recordSuccess(popular);
		}
	}
});

test('the crash of one endpoint that several gateways observe counts once', async () => {
	const fleet = new SimulatedFleet(14, 4);
	for (const gateway of fleet.gateways) {
		await gateway.recordCrash(requestOf('popular'), endpointOf(1));
	}

	fleet.advance(propagationMilliseconds);
	fleet.advance(propagationMilliseconds);
	assert.equal(await kindOf(fleet.gateways[0]!, requestOf('popular')), 'free');
	assert.equal(fleet.decisions.get('counted'), 1);
});

test('while the store is unavailable, gateways refuse a request by observed and reported crashes, and save them afterwards', async () => {
	const fleet = new SimulatedFleet(3, 5);
	const crashing = requestOf('crashing');
	const [first, second, third] = fleet.gateways as [SuspectedRequests, SuspectedRequests, SuspectedRequests];
	fleet.store.fault = 'down';
	await fleet.send(first, crashing, 1);
	await fleet.send(second, crashing, 1);
	await fleet.send(second, crashing, 1);
	third.receiveCrashes(first.unsavedCrashes());
	third.receiveCrashes(second.unsavedCrashes());
	assert.equal(await kindOf(third, crashing), 'refused');
	assert.equal(await kindOf(first, crashing), 'free');
	fleet.store.fault = 'none';
	const saving = new AbortController();
	const saved = [first, second, third].map(async gateway => gateway.saveUnsaved(saving.signal));
	while (!fleet.store.publishedRows().some(({suspicion}) => suspicion && isRefused(suspicion))) {
		await new Promise(resolve => {
			setTimeout(resolve, 50);
		});
	}

	saving.abort();
	await Promise.all(saved);
	fleet.advance(propagationMilliseconds);
	fleet.advance(propagationMilliseconds);
	assert.equal(await kindOf(first, crashing), 'refused');
	assert.equal(fleet.store.publishedRows()[0]?.suspicion?.ends.length, 3);
});

test('a crash is counted once if the response of the store is lost', async () => {
	const fleet = new SimulatedFleet(1, 6);
	fleet.store.fault = 'lose-answers';
	await fleet.gateways[0]!.recordCrash(requestOf('crashing'), endpointOf(1));
	fleet.store.fault = 'none';
	await fleet.gateways[0]!.recordCrash(requestOf('crashing'), endpointOf(1));
	await fleet.gateways[0]!.recordCrash(requestOf('crashing'), endpointOf(2));
	assert.equal(fleet.store.publishedRows()[0]?.suspicion?.ends.length, 2);
});

test('a trial that did not run is reverted', async () => {
	const fleet = new SimulatedFleet(1, 7);
	const crashing = requestOf('crashing');
	const [gateway] = fleet.gateways as [SuspectedRequests];
	await fleet.send(gateway, crashing, 3);
	for (let trial = 0; trial < 5; trial += 1) {
		fleet.advance(2000);
		assert.equal(await kindOf(gateway, crashing), 'trial');
		await gateway.revertTrial(crashing);
	}

	fleet.advance(2000);
	assert.equal(await kindOf(gateway, crashing), 'trial');
	fleet.advance(2000);
	assert.equal(await kindOf(gateway, crashing), 'refused');
});

test('a suspicion expires after an hour, and its row is removed', async () => {
	const fleet = new SimulatedFleet(1, 8);
	const [gateway] = fleet.gateways as [SuspectedRequests];
	await fleet.send(gateway, requestOf('crashing'), 3);
	fleet.advance(suspicionTimeToLiveMilliseconds);
	assert.equal(await kindOf(gateway, requestOf('crashing')), 'free');
	for (let index = 0; index < 3000 && fleet.store.publishedRows().length > 0; index += 1) {
		await gateway.recordCrash(requestOf(`other ${index}`), endpointOf(index));
	}

	assert.equal(fleet.store.publishedRows().length, 0);
});

test('a row that cannot be decoded is treated as empty', async () => {
	const fleet = new SimulatedFleet(1, 9);
	const {digest} = requestOf('crashing');
	fleet.store.table('request-ends').set(digest, {key: digest, content: new TextEncoder().encode('not JSON'), revision: 1});
	await fleet.gateways[0]!.recordCrash(requestOf('crashing'), endpointOf(1));
	assert.equal(await kindOf(fleet.gateways[0]!, requestOf('crashing')), 'free');
});

test('a request is identified by its host, method, path, workspace and body', () => {
	const base = {
		host: 'desk.example', method: 'POST', target: '/status/1', workspace: 'workspace-1', body: new TextEncoder().encode('body'),
	};
	const {digest} = new RequestIdentity(base);
	assert.equal(new RequestIdentity({...base, host: 'DESK.example'}).digest, digest);
	const changes = [{host: 'other'}, {method: 'PUT'}, {target: '/status/2'}, {workspace: undefined}, {body: new Uint8Array()}];
	for (const change of changes) {
		assert.notEqual(new RequestIdentity({...base, ...change}).digest, digest);
	}
});

test('concurrent attempts that lose the same endpoint save its crash with one change of the row', async () => {
	const fleet = new SimulatedFleet(1, 10);
	await Promise.all(Array.from({length: 20}, async () => fleet.gateways[0]!.recordCrash(requestOf('popular'), endpointOf(1))));
	assert.equal(fleet.store.calls, 2);
});

test('the removal of a request that is not known is accepted, and an older row does not restore it', () => {
	const known = new KnownSuspicions({unsaved: new UnsavedCrashes(), clock: () => 0});
	known.apply([{digest: 'request', revision: 5}]);
	assert.equal(known.lookUp('request')?.suspicion, undefined);
	assert.deepEqual(known.changesSince(4), [{digest: 'request', suspicion: undefined, revision: 5}]);
});
