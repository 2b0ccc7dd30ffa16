import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	RouteTable, admitRequest, selectService, type Route, type RoutingConfiguration,
} from './mod.ts';

const route = (name: string, pathPrefix: string, changes: Partial<Route> = {}): Route => ({
	name,
	host: 'desk.example',
	pathPrefix,
	kind: 'idempotent',
	timeoutMilliseconds: 800,
	targetMilliseconds: 100,
	priority: 1,
	services: [{service: 'desk', weight: 1}],
	maximumAttempts: 2,
	anonymous: false,
	resumable: false,
	eventPauseMilliseconds: 800,
	...changes,
});

const configuration: RoutingConfiguration = {
	version: 7,
	routes: [route('all', '/'), route('deposits', '/deposits/'), route('open', '/open/', {anonymous: true})],
	services: [{name: 'desk', healthPath: '/health', connectionsPerEndpoint: 100}],
	workspaces: [{name: 'workspace-1', keys: ['key-1', 'key-2']}],
	limits: {
		headerBytes: 16_384, bodyBytes: 1000, headerMilliseconds: 3000, idleMilliseconds: 15_000,
	},
};

const table = new RouteTable(configuration);

function admit(changes: Partial<Parameters<typeof admitRequest>[0]> = {}): string {
	const admission = admitRequest({
		table, ageMilliseconds: 100, host: 'desk.example', path: '/deposits/1', key: 'key-1', trustedKeyMilliseconds: 4000, maximumDenialAgeMilliseconds: 2000, ...changes,
	});
	return admission.kind === 'allowed' ? admission.route.name : admission.kind;
}

test('the route with the longest matching prefix is found, regardless of the port and the case of the host', () => {
	assert.equal(table.findRoute('desk.example', '/deposits/1')?.name, 'deposits');
	assert.equal(table.findRoute('DESK.example:8080', '/deposits')?.name, 'all');
	assert.equal(table.findRoute('other.example', '/deposits/1'), undefined);
});

test('a key is required unless the route is anonymous', () => {
	assert.equal(admit(), 'deposits');
	assert.equal(admit({key: 'key-3'}), 'unknown-key');
	assert.equal(admit({key: undefined}), 'unknown-key');
	assert.equal(admit({path: '/open/1', key: undefined}), 'open');
});

test('a configuration that may be outdated is used neither to accept keys nor to reject keys or routes', () => {
	assert.equal(admit({ageMilliseconds: 4001}), 'stale-configuration');
	assert.equal(admit({ageMilliseconds: 4001, key: 'key-3'}), 'stale-configuration');
	assert.equal(admit({ageMilliseconds: 4001, host: 'other.example'}), 'stale-configuration');
	assert.equal(admit({ageMilliseconds: 4001, path: '/open/1'}), 'open');
	assert.equal(admit({table: undefined}), 'no-configuration');
});

test('no request is denied by a configuration older than the maximum age to deny', () => {
	assert.equal(admit({ageMilliseconds: 2000, host: 'other.example'}), 'no-route');
	assert.equal(admit({ageMilliseconds: 2001, host: 'other.example'}), 'stale-configuration');
	assert.equal(admit({ageMilliseconds: 2000, key: 'key-3'}), 'unknown-key');
	assert.equal(admit({ageMilliseconds: 2001, key: 'key-3'}), 'stale-configuration');
	assert.equal(admit({ageMilliseconds: 2001}), 'deposits');
});

test('services are selected by their weights', () => {
	const divided = route('divided', '/', {services: [{service: 'one', weight: 90}, {service: 'two', weight: 10}]});
	assert.equal(selectService(divided, 0), 'one');
	assert.equal(selectService(divided, 0.89), 'one');
	assert.equal(selectService(divided, 0.91), 'two');
	assert.equal(selectService(route('none', '/', {services: []}), 0.5), undefined);
});
