import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {readFile, readdir} from 'node:fs/promises';
import path from 'node:path';
import {test} from 'node:test';
import fc from 'fast-check';
import {noFeatures} from '../settings/features.ts';
import {
	decodeFeatures, decodeResponseHeaders, decodeConfiguration, decodeEndpoint, decodeManagementCall, decodeRequestHeaders, encodeResponseHeaders, encodeRequestHeaders,
} from './mod.ts';

const row = (content: unknown) => Buffer.from(JSON.stringify(content));

const terms = {
	endpointId: 'i-1', workspace: 'workspace-1', deadlineMilliseconds: 750.9, priority: undefined, lastEvent: undefined, copyTo: undefined, resumeFrom: undefined,
};

test('a configuration row is decoded into the routing model', () => {
	const decoded = decodeConfiguration(row({
		version: 7,
		routes: [{
			name: 'r', host: 'h', prefix: '/p/', kind: 'non_idempotent', timeoutMs: 800, targetLatencyMs: 100, priority: 2, backends: [{service: 's', weight: 90}], maxAttempts: 1, allowAnonymous: false,
		}],
		services: [{name: 's', maxConnections: 200, unknown: true}],
		tenants: [{name: 't', apiKeys: ['k']}],
		limits: {maxBodyBytes: 1000},
	}));
	const configuration = decoded._unsafeUnwrap();
	assert.equal(configuration.version, 7);
	assert.deepEqual(configuration.routes[0]?.services, [{service: 's', weight: 90}]);
	assert.equal(configuration.routes[0].kind, 'at-most-once');
	assert.deepEqual(configuration.workspaces, [{name: 't', keys: ['k'], priority: undefined}]);
	assert.equal(configuration.limits.bodyBytes, 1000);
});

test('a decoding error names the invalid field', () => {
	const configuration = decodeConfiguration(row({version: 7, routes: [{name: 'r'}], services: []}));
	assert.match(configuration._unsafeUnwrapErr(), /routes\.0\.host/v);
	const endpoint = decodeEndpoint('i-1', row({
		service: 's', address: 'nowhere', zone: 'z', slots: 6, state: 'ready',
	}));
	assert.match(endpoint._unsafeUnwrapErr(), /address/v);
	assert.ok(decodeEndpoint('i-1', row({
		service: 's', address: '10.0.0.1:80', zone: 'z', slots: 6, state: 'asleep',
	})).isErr());
});

test('decoders never throw, whatever the content of a row', () => {
	fc.assert(fc.property(fc.oneof(fc.json(), fc.string()), content => {
		decodeConfiguration(Buffer.from(content));
		decodeEndpoint('i-1', Buffer.from(content));
	}));
});

test('a request to an endpoint carries the caller\'s headers without hop-by-hop headers and those that only the system sets', () => {
	const sent = encodeRequestHeaders([
		'Host',
		'h',
		'Connection',
		'close, X-Local, X-Azuretack-Model',
		'X-Local',
		'1',
		'X-Azuretack-Model',
		'm',
		'X-Azuretack-Attempt-Id',
		'a',
		'Authorization',
		'Token k',
		'X-AZURETACK-KV-BACKUP',
		'10.0.0.9:1',
		'Kv-From',
		'x',
		'X-Azuretack-Pin-Ms',
		'5',
		'X-Azuretack-Hold',
		'h',
		'Transfer-Encoding',
		'chunked',
		'X-Other',
		'kept',
	], terms);
	assert.deepEqual(sent, [
		'Host', 'h', 'X-Azuretack-Model', 'm', 'X-Azuretack-Attempt-Id', 'a', 'X-Other', 'kept', 'X-Azuretack-Deadline-Ms', '750', 'X-Azuretack-Target-Instance', 'i-1', 'X-Azuretack-Tenant', 'workspace-1',
	]);
});

test('a resumed generation carries its last event, the copy to resume from and the target of the next copy', () => {
	const sent = encodeRequestHeaders(['Last-Event-Id', '3'], {
		...terms, lastEvent: '12', copyTo: '10.0.0.2:1', resumeFrom: {address: '10.0.0.1:1', attempt: 'a'},
	});
	const pairs = Object.fromEntries(sent.flatMap((name, index) => index % 2 === 0 ? [[name, sent[index + 1]]] : []));
	assert.equal(pairs['Last-Event-Id'], '12');
	assert.equal(pairs['Kv-From'], '10.0.0.1:1/a');
	assert.equal(pairs['X-Azuretack-Kv-Backup'], '10.0.0.2:1');
});

test('headers of requests and responses are decoded, and malformed values count as absent', () => {
	const read = decodeRequestHeaders({
		'x-azuretack-attempt-id': 'a', 'x-azuretack-deadline-ms': '1500', authorization: 'token  k ', 'x-azuretack-prompt-prefix': '5c:200, 91:8000', 'x-azuretack-token-counts': '8200,120',
	});
	assert.deepEqual(read, {
		attempt: 'a', deadlineMilliseconds: 1500, key: 'k', lastEvent: undefined, promptTokens: 8200, outputTokens: 120, model: undefined, sharedPromptParts: ['5c'], promptPart: '91',
	});
	const malformed = decodeRequestHeaders({'x-azuretack-deadline-ms': 'soon', authorization: 'Basic x', 'x-azuretack-token-counts': 'x'});
	assert.deepEqual([malformed.deadlineMilliseconds, malformed.key, malformed.promptTokens, malformed.outputTokens], [undefined, undefined, 0, 0]);
	assert.equal(decodeResponseHeaders(421, {}).notExecuted, true);
	assert.equal(decodeResponseHeaders(503, {}).notExecuted, false);
	assert.equal(decodeResponseHeaders(503, {'x-azuretack-not-executed': '1'}).notExecuted, true);
	assert.deepEqual(decodeResponseHeaders(503, {'retry-after': '1.5', 'server-leaving': '1'}), {
		attempt: undefined, notExecuted: false, retryAfterMilliseconds: 1500, leaving: true, limit: {kind: 'none'},
	});
	assert.deepEqual(decodeResponseHeaders(200, {'server-limit': '1.5'}).limit, {kind: 'limit', requestsPerSecond: 1.5});
	assert.deepEqual(decodeResponseHeaders(200, {'server-limit': ['3', '1.5']}).limit, {kind: 'limit', requestsPerSecond: 1.5});
	assert.deepEqual([decodeResponseHeaders(200, {'server-leaving': '0'}).leaving, decodeResponseHeaders(503, {'retry-after': 'soon'}).retryAfterMilliseconds], [false, undefined]);
	assert.deepEqual(encodeResponseHeaders(['Content-Length', '5', 'Keep-Alive', 'timeout=5', 'X-Azuretack-Server-Stamp', 's']), ['X-Azuretack-Server-Stamp', 's']);
});

test('discovery and readiness calls are distinguished from other requests', () => {
	assert.deepEqual(decodeManagementCall('GET', '/api/resolve?name=h&region=r&zone=z'), {kind: 'entries', availabilityZone: 'z', region: 'r'});
	assert.deepEqual(decodeManagementCall('GET', '/api/ready'), {kind: 'readiness'});
	assert.equal(decodeManagementCall('POST', '/api/ready'), undefined);
	assert.equal(decodeManagementCall('GET', '/other'), undefined);
});

/** Returns the names of source files whose text matches a pattern, without tests and excluded folders. */
async function filesWith(pattern: RegExp, excluded: RegExp): Promise<string[]> {
	const source = path.join(import.meta.dirname, '..', '..', 'source');
	const names = await readdir(source, {recursive: true});
	const matching: string[] = [];
	for (const name of names.filter(each => each.endsWith('.ts') && !each.endsWith('.test.ts') && !excluded.test(each))) {
		const text = await readFile(path.join(source, name), 'utf8');
		matching.push(...pattern.test(text) ? [name] : []);
	}

	return matching;
}

test('no name of the platform appears outside its adapter', async () => {
	const wire = /x-azuretack-|rows-(?:tx|get|feed)|\/api\/(?:report|resolve|ready|kv-|hold|blob)|kv-(?:from|fetch|move|backup)/iv;
	assert.deepEqual(await filesWith(wire, /^(?:platform|testing)\//v), []);
});

test('no name or figure of a deployment appears in the sources', async () => {
	const names = /brushwake|quillota|togas|corales|helader[ií]a|dublin|valparaiso|xela|toto-norte|solola|limache|la-calera|villa-alemana|la-cruz|coral-llm|alquiler|batido|pedidos/iv;
	const figures = /\b(?:25_?001|1_?501|88_?000|2_?069)\b/v;
	assert.deepEqual(await filesWith(names, /^testing\//v), []);
	assert.deepEqual(await filesWith(figures, /^testing\//v), []);
});

test('an entry of an endpoint with a port or number of its address out of range stands for no endpoint', () => {
	const decode = (address: string) => decodeEndpoint('desk-1', new TextEncoder().encode(JSON.stringify({
		service: 'desk', address, zone: 'zone-a', slots: 6, state: 'ready',
	})));
	assert.ok(decode('10.0.0.1:65535').isOk());
	for (const address of ['10.0.0.1:0', '10.0.0.1:65536', '10.0.0.1:99999', '10.0.0.256:80']) {
		assert.ok(decode(address).isErr(), address);
	}
});

test('contracts switch on the parts of the gateway that they name, and unknown ones are ignored', () => {
	assert.deepEqual(decodeFeatures(['base', 'pool', 'rollout', 'of-another-build']), {
		earlyCallers: true, cachedReturns: true, engineSubsets: true, engineQueues: true, memoryBounds: false, rollouts: true,
	});
	assert.deepEqual(decodeFeatures([]), noFeatures);
});
