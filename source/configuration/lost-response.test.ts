import assert from 'node:assert/strict';
import {test} from 'node:test';
import {deskFile, platformOf, versionInTable} from '../testing/configuration-fleet.ts';
import {Fleet, type ProgramEnd} from '../testing/fleet.ts';
import {commitVersion} from './commit-version.ts';
import {readHead} from './stored-configuration.ts';

/** Delay of the publisher's link in each direction; it leaves the test time to inject a fault before the transaction. */
const linkDelayMilliseconds = 400;

type LinkMode = 'delay' | 'drop_answers' | 'drop_requests' | 'up';

test('a publisher finds its committed version after the response to the transaction is lost', async () => {
	await using fleet = await Fleet.create();
	await fleet.control('platform', '/control/fault', {mode: 'lose_answers', requests: 1, paths: ['/table/transact']});
	const published = await fleet.publish({'desk.service.jsonc': deskFile(10)});
	assert.match(published.output, /^accepted as 1;/v);
	assert.equal(published.code, 0);
	assert.equal(await versionInTable(fleet), 1);
});

test('a publisher finds its committed version after a lost response although newer versions were published meanwhile', async () => {
	await using fleet = await createFleetWithLink();
	const publishing = publishOverLink(fleet, 20);
	await setLinkModeBeforeTransaction(fleet, 'drop_answers');
	await fleet.until(async () => await versionInTable(fleet) === 2, 'the transaction takes effect');
	await fleet.publish({'menu.service.jsonc': deskFile(10, 'menu')});
	await fleet.publish({'desk.service.jsonc': deskFile(30)});
	assert.equal(await versionInTable(fleet), 4);
	await setLinkMode(fleet, 'up');
	const published = await publishing;
	assert.match(published.output, /^accepted as 2;/v, published.errors);
	assert.equal(published.code, 0);
	assert.equal(await versionInTable(fleet), 4);
});

test('an outcome that cannot be read is reported as unknown and later settled as accepted', async () => {
	await using fleet = await createFleetWithLink();
	const publishing = publishOverLink(fleet, 20, ['--patience', '3']);
	await setLinkModeBeforeTransaction(fleet, 'drop_answers');
	const published = await publishing;
	assert.equal(published.code, 4, published.errors);
	await fleet.publish({'desk.service.jsonc': deskFile(30)});
	const settled = await settle(fleet, published);
	assert.match(settled.output, /^accepted as 2;/v, settled.errors);
	assert.equal(settled.code, 0);
	assert.equal(await versionInTable(fleet), 3);
});

test('an outcome that cannot be read is later settled as not published, and a transaction that is still in flight has no effect', async () => {
	await using fleet = await createFleetWithLink();
	const platform = platformOf(fleet);
	const stored = await readHead(platform);
	const publishing = publishOverLink(fleet, 20, ['--patience', '3']);
	await setLinkModeBeforeTransaction(fleet, 'drop_requests');
	const published = await publishing;
	assert.equal(published.code, 4, published.errors);
	const settled = await settle(fleet, published);
	assert.match(settled.errors, /it was not published and never will be/v);
	assert.equal(settled.code, 1);
	const late = await commitVersion({
		platform, stored: stored._unsafeUnwrap(), index: 'late', token: tokenOf(published), clock: () => 0, until: 0,
	});
	assert.equal(late._unsafeUnwrap(), 'superseded');
	assert.equal(await versionInTable(fleet), 1);
	const next = await fleet.publish({'desk.service.jsonc': deskFile(30)});
	assert.match(next.output, /^accepted as 2;/v);
	await platform.close();
});

/** Creates a fleet with version 1 published, and a link to the platform for one publisher through a fault proxy. */
async function createFleetWithLink(): Promise<Fleet> {
	const fleet = await Fleet.create();
	await fleet.publish({'desk.service.jsonc': deskFile(10)});
	const listen = fleet.allocate();
	await fleet.startStandIn('proxy', 'proxy', {links: [{name: 'publisher', listen, target: fleet.process('platform').address}]});
	fleet.platformAddress = listen;
	await setLinkMode(fleet, 'delay');
	return fleet;
}

async function setLinkMode(fleet: Fleet, mode: LinkMode): Promise<void> {
	await fleet.control('proxy', '/control/fault', {link: 'publisher', mode, delayMilliseconds: linkDelayMilliseconds});
}

async function publishOverLink(fleet: Fleet, deadlineSeconds: number, options: string[] = []): Promise<ProgramEnd> {
	return fleet.publish({'desk.service.jsonc': deskFile(deadlineSeconds)}, options, fleet.platformAddress);
}

/** Waits until the publisher has read its object back, which is the last step before the transaction, then changes the mode of the link. */
async function setLinkModeBeforeTransaction(fleet: Fleet, mode: LinkMode): Promise<void> {
	const before = await fleet.control<Record<string, number>>('platform', '/control/counts');
	await fleet.until(async () => {
		const counts = await fleet.control<Record<string, number>>('platform', '/control/counts');
		return Object.entries(counts).some(([pathname, count]) => pathname.startsWith('/objects/') && before[pathname] === undefined && count === 2);
	}, 'the publisher reads its object back');
	await setLinkMode(fleet, mode);
}

function tokenOf(published: ProgramEnd): string {
	return /--settle (?<token>\S+)/v.exec(published.errors)!.groups!.token!;
}

/** Restores the link, then runs the `--settle` command that the publisher reported. */
async function settle(fleet: Fleet, published: ProgramEnd): Promise<ProgramEnd> {
	await setLinkMode(fleet, 'up');
	return fleet.runProgram('azuretack-publish', ['--platform', `http://${fleet.platformAddress}`, '--settle', tokenOf(published)]);
}
