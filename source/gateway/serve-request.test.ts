import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {CallerConnections} from '../forwarding/mod.ts';
import {CallerMemory, ConnectionGuard, intakeLimits} from '../intake/mod.ts';
import {RouteTable} from '../routing/mod.ts';
import {sendCall} from '../testing/call.ts';
import {GracefulShutdown} from './graceful-shutdown.ts';
import {type GatewayParts} from './gateway-parts.ts';
import {serveRequest} from './serve-request.ts';

const host = 'desk.example';

const resources = {memoryMegabytes: 186, descriptors: 2048};

/** Parts of a gateway with one route, whose retry budget throws. */
function partsWithFault(errors: string[]): GatewayParts {
	const table = new RouteTable({
		version: 1,
		routes: [{
			name: 'status',
			host,
			pathPrefix: '/',
			kind: 'idempotent',
			timeoutMilliseconds: 1000,
			targetMilliseconds: 100,
			priority: 1,
			services: [{service: 'desk', weight: 1}],
			maximumAttempts: 1,
			anonymous: true,
			resumable: false,
			eventPauseMilliseconds: 0,
		}],
		services: [{name: 'desk', healthPath: '/health', connectionsPerEndpoint: 1}],
		limits: {
			headerBytes: 10_000, bodyBytes: 10_000, headerMilliseconds: 1000, idleMilliseconds: 1000,
		},
	});
	const ignore = () => undefined;
	const ignored = {inc: ignore, observe: ignore};
	return {
		clock: () => performance.now(),
		readClock: () => ({steady: performance.now(), wall: Date.now()}),
		random: () => 0,
		shutdown: new GracefulShutdown({timeoutMilliseconds: 1000}),
		configuration: {snapshot: () => ({table, ageMilliseconds: 0})},
		settings: {bounds: {configurationMilliseconds: 1000}},
		trustedKeyMilliseconds: 1000,
		metrics: {requests: ignored, attempts: ignored, answerSeconds: ignored},
		logger: {
			info: ignore,
			error(message: string) {
				errors.push(message);
			},
		},
		callerConnections: new CallerConnections({logger: {...console, info: ignore}, clock: () => performance.now(), count: ignore}),
		intake: {memory: new CallerMemory(intakeLimits(resources))},
		connectionGuard: new ConnectionGuard(intakeLimits(resources)),
		retryBudgetOf() {
			throw new Error('a fault');
		},
	} as unknown as GatewayParts;
}

// A whole request ended with a closed connection and no answer when its handling threw.
test('a request whose handling fails by a fault of the gateway is answered with 502', async () => {
	const errors: string[] = [];
	const parts = partsWithFault(errors);
	const server = createServer((request, response) => {
		void serveRequest(request, response, parts);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const answer = await sendCall(`127.0.0.1:${port}`, {path: '/status/1', headers: {host}});
	server.close();
	assert.equal(answer.status, 502);
	assert.ok(answer.whole);
	assert.deepEqual(errors, ['request failed']);
});
