import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {takeLoopbackAddress} from '../testing/loopback-address.ts';
import {Link} from '../testing/stand-ins/link.ts';
import {ExchangeClient, createPermitPort, startExchangeServer} from './mod.ts';

const silentLogger = {
	debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined,
};
const permitRequest = {endpoint: {id: 'desk-1', startedAt: 1}, importance: 1};
const reply = {
	holds: true, granted: true, requestsPerSecond: 8, askAgainMilliseconds: 0, returnInMilliseconds: 0,
};

/** Starts a gateway's server behind a link, and a client. */
async function startServer(context: TestContext) {
	const host = takeLoopbackAddress();
	const stop = await startExchangeServer({listen: `${host}:7501`, answerPermit: () => reply, handle: ({members}) => ({members})});
	const link = new Link(`${host}:7502`, `${host}:7501`);
	await link.start();
	const client = new ExchangeClient();
	context.after(() => {
		client.close();
		link.close();
		stop();
	});
	return {link, client};
}

test('a gateway that grants permits is reached over a slow network, also by the first request', async context => {
	const {link, client} = await startServer(context);
	link.apply({mode: 'delay', delayMilliseconds: 40});
	const {askHolder} = createPermitPort({client, logger: silentLogger});
	for (const _attempt of [1, 2, 3]) {
		assert.deepEqual(await askHolder(link.address, permitRequest), reply);
	}
});

test('a call that fails late does not close the connection that was opened after an earlier failure', async context => {
	const {link, client} = await startServer(context);
	await client.requestPermit(link.address, permitRequest, 1000);
	link.apply({mode: 'silent_existing'});
	const late = client.requestPermit(link.address, permitRequest, 600);
	const early = await client.requestPermit(link.address, permitRequest, 200);
	assert.ok(early.isErr());
	const renewed = await client.requestPermit(link.address, permitRequest, 1000);
	assert.ok(renewed.isOk());
	const lateResult = await late;
	assert.ok(lateResult.isErr());
	await delay(50);
	await client.requestPermit(link.address, permitRequest, 1000);
	assert.equal(link.accepted, 2);
});

/** The outcomes of probes, by address. */
type Outcomes = Record<string, 'ended' | 'lives' | 'unknown'>;

const hostsOfSite = ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1', '10.0.0.4:1'];
const [holder] = hostsOfSite;

/** What a gateway finds out when the holder of a lease refuses connections, the live gateways that it knows, and whether the holder has ended. */
const findings: Record<string, {outcomes: Outcomes; live: readonly string[]; hasEnded: boolean}> = {
	'others are reached': {outcomes: {[holder!]: 'ended'}, live: hostsOfSite, hasEnded: true},
	'one other has ended as well': {outcomes: {[holder!]: 'ended', '10.0.0.2:1': 'ended'}, live: hostsOfSite, hasEnded: true},
	'all others refuse too, as the gateway is cut off from them': {outcomes: Object.fromEntries(hostsOfSite.map(host => [host, 'ended'])), live: hostsOfSite, hasEnded: false},
	'all others are silent': {
		outcomes: {
			'10.0.0.2:1': 'unknown', '10.0.0.3:1': 'unknown', '10.0.0.4:1': 'unknown', [holder!]: 'ended',
		}, live: hostsOfSite, hasEnded: false,
	},
	'no other one is known any more': {outcomes: {[holder!]: 'ended'}, live: [holder!], hasEnded: false},
	'the holder is reached': {outcomes: {}, live: hostsOfSite, hasEnded: false},
};

for (const [name, {outcomes, live, hasEnded}] of Object.entries(findings)) {
	test(`the holder of a lease counts as ${hasEnded ? 'ended' : 'alive'} where ${name}`, async () => {
		const port = createPermitPort({
			client: new ExchangeClient(), logger: silentLogger, peerAddresses: () => live, random: () => 0.5, probe: async address => outcomes[address] ?? 'lives',
		});
		assert.equal(await port.hasEnded(holder!), hasEnded);
	});
}
