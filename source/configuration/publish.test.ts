import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	asking, createRouters, deskFile, platformOf, versionInTable, versionOn,
} from '../testing/configuration-fleet.ts';
import {Fleet, testKey, workspacesFile} from '../testing/fleet.ts';
import {
	configurationTable, headKey, retainedVersions, readHead, versionKey,
} from './stored-configuration.ts';

const routers = ['router-1', 'router-2', 'router-3'];

test('a published version becomes active on every router, and an unchanged publication creates no new version', async () => {
	await using fleet = await createRouters(3);
	const files = {'desk.service.jsonc': deskFile(10), 'all.workspaces.jsonc': workspacesFile()};
	const first = await fleet.publish(files, asking);
	assert.equal(first.output, 'accepted as 1, in force on 3 of 3\n', first.errors);
	assert.equal(first.code, 0);
	for (const name of routers) {
		assert.equal(await versionOn(fleet, name), 1);
	}

	const again = await fleet.publish(files, asking);
	assert.equal(again.output, 'no change, 1 stays, in force on 3 of 3\n', again.errors);
	const changed = await fleet.publish({'desk.service.jsonc': deskFile(11)}, asking);
	assert.equal(changed.output, 'accepted as 2, in force on 3 of 3\n', changed.errors);
});

test('a host where the version is not active is reported, with exit code 3', async () => {
	await using fleet = await createRouters(3);
	fleet.signal('router-2', 'SIGSTOP');
	const published = await fleet.publish({'desk.service.jsonc': deskFile(10)}, [...asking, '--wait', '3']);
	assert.equal(published.output, 'accepted as 1, in force on 2 of 3\n');
	assert.match(published.errors, /^router-2 cannot be reached/v);
	assert.equal(published.code, 3);
	fleet.signal('router-2', 'SIGCONT');
	const later = await fleet.publish({'desk.service.jsonc': deskFile(10)}, asking);
	assert.equal(later.output, 'no change, 1 stays, in force on 3 of 3\n');
});

test('three faults are reported with file, line and field, and nothing is published', async () => {
	await using fleet = await Fleet.create();
	const faulty = `{
	// The desk.
	"service": "Desk",
	"kind": "plain",
	"deadlineSeconds": "ten",
	"hedges": true
}`;
	const published = await fleet.publish({'desk.service.jsonc': faulty, 'whole.service.jsonc': deskFile(10, 'whole')});
	assert.equal(published.code, 1);
	const faults = published.errors.trim().split('\n').map(line => line.slice(line.lastIndexOf('/') + 1));
	assert.equal(faults.length, 3, published.errors);
	assert.match(faults[0]!, /^desk\.service\.jsonc:3: service: /v);
	assert.match(faults[1]!, /^desk\.service\.jsonc:5: deadlineSeconds: /v);
	assert.match(faults[2]!, /^desk\.service\.jsonc:6: hedges: unknown field/v);
	assert.equal(await versionInTable(fleet), 0);
	const checked = await fleet.publish({'desk.service.jsonc': faulty}, ['--check']);
	assert.equal(checked.errors.trim().split('\n').length, 3);
});

test('a service, workspace or key that is defined twice is a fault, also when one definition is already published by others', async () => {
	await using fleet = await Fleet.create();
	const twice = await fleet.publish({
		'a/desk.service.jsonc': deskFile(10),
		'b/desk.service.jsonc': deskFile(11),
		'one.workspaces.jsonc': workspacesFile(),
		'two.workspaces.jsonc': `{\n"workspaces": [\n${JSON.stringify(workspaceOf(testKey, 'other'))}\n]}`,
	});
	assert.equal(twice.code, 1);
	assert.match(twice.errors, /desk\.service\.jsonc:1: service\/desk is already described/v);
	assert.match(twice.errors, /two\.workspaces\.jsonc:3: workspaces\.0\.keyDigests\.0: this key already belongs to workspace "test"/v);
	assert.equal(await versionInTable(fleet), 0);

	await fleet.publish({'one.workspaces.jsonc': workspacesFile()});
	const against = await fleet.publish({'two.workspaces.jsonc': {workspaces: [workspaceOf(testKey, 'other')]}});
	assert.equal(against.code, 1);
	assert.match(against.errors, /this key already belongs to workspace "test"/v);
	assert.equal(await versionInTable(fleet), 1);
});

test('a service is removed only by name, not by omitting its file', async () => {
	await using fleet = await createRouters(1);
	await fleet.publish({'desk.service.jsonc': deskFile(10), 'menu.service.jsonc': deskFile(10, 'menu')}, asking);
	await fleet.publish({'desk.service.jsonc': deskFile(11)}, asking);
	assert.deepEqual(await servicesOn(fleet), ['desk', 'menu']);
	const parameters = ['--platform', `http://${fleet.process('platform').address}`, ...asking];
	const unknown = await fleet.runProgram('azuretack-publish', [...parameters, '--remove', 'manu']);
	assert.equal(unknown.code, 1);
	assert.match(unknown.errors, /service\/manu is not in force/v);
	const removed = await fleet.runProgram('azuretack-publish', [...parameters, '--remove', 'menu']);
	assert.equal(removed.output, 'accepted as 3, in force on 1 of 1\n', removed.errors);
	assert.deepEqual(await servicesOn(fleet), ['desk']);
});

test('a publisher with a base version neither reverts nor overwrites what others changed since that version', async () => {
	await using fleet = await createRouters(1);
	const started = {'desk.service.jsonc': deskFile(10), 'menu.service.jsonc': deskFile(10, 'menu')};
	await fleet.publish(started);
	await fleet.publish({'desk.service.jsonc': deskFile(20)});
	const old = await fleet.publish({...started, 'menu.service.jsonc': deskFile(30, 'menu')}, ['--base', '1', ...asking]);
	assert.equal(old.output, 'accepted as 3, in force on 1 of 1\n', old.errors);
	const {services} = await fleet.operator<{services: Array<{deadlineSeconds: number}>}>('router-1', '/status');
	assert.deepEqual(services.map(({deadlineSeconds}) => deadlineSeconds), [20, 30]);

	const overwriting = await fleet.publish({'desk.service.jsonc': deskFile(40)}, ['--base', '1']);
	assert.equal(overwriting.code, 1);
	assert.match(overwriting.errors, /service\/desk was changed by somebody else in version 2/v);
	assert.match(overwriting.errors, /version 3 is in force/v);
	assert.equal(await versionInTable(fleet), 3);

	const removing = await fleet.runProgram('azuretack-publish', ['--platform', `http://${fleet.process('platform').address}`, '--remove', 'desk']);
	assert.equal(removing.code, 0, removing.errors);
	const removed = await fleet.publish({'desk.service.jsonc': deskFile(50)}, ['--base', '3']);
	assert.equal(removed.code, 1);
	assert.match(removed.errors, /service\/desk was removed by somebody else/v);
});

test('version rows far behind the head are removed, and can no longer be settled or used as a base', async () => {
	await using fleet = await Fleet.create();
	const platform = platformOf(fleet);
	await fleet.publish({'desk.service.jsonc': deskFile(10)});
	const stored = await readHead(platform);
	await platform.transact([{
		kind: 'put', table: configurationTable, key: headKey, value: {...stored._unsafeUnwrap().head, version: retainedVersions}, condition: {kind: 'always'},
	}]);
	const published = await fleet.publish({'desk.service.jsonc': deskFile(11)});
	assert.match(published.output, new RegExp(`^accepted as ${retainedVersions + 1};`, 'v'));
	const rows = await platform.read([{table: configurationTable, key: versionKey(1)}]);
	assert.deepEqual(rows._unsafeUnwrap(), []);
	const settled = await fleet.runProgram('azuretack-publish', ['--platform', `http://${fleet.process('platform').address}`, '--settle', '1-any']);
	assert.match(settled.errors, /too long ago to tell/v);
	assert.equal(settled.code, 4);
	const based = await fleet.publish({'desk.service.jsonc': deskFile(12)}, ['--base', '1']);
	assert.match(based.errors, /there is no version 1; version 90001 is in force/v);
	assert.equal(based.code, 1);
	await platform.close();
});

test('nothing is published while the store is down, and the publisher reports it after the timeout of --patience', async () => {
	await using fleet = await Fleet.create();
	await fleet.control('platform', '/control/fault', {mode: 'down'});
	const published = await fleet.publish({'desk.service.jsonc': deskFile(10)}, ['--patience', '1']);
	assert.equal(published.code, 1);
	assert.match(published.errors, /^nothing was published: /v);
	assert.equal(await versionInTable(fleet), 0);
});

function workspaceOf(key: string, workspace: string): unknown {
	const file = workspacesFile({[workspace]: {key}}) as {workspaces: unknown[]};
	return file.workspaces[0];
}

async function servicesOn(fleet: Fleet): Promise<string[]> {
	const {services} = await fleet.operator<{services: Array<{service: string}>}>('router-1', '/status');
	return services.map(({service}) => service).toSorted();
}
