import assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';
import {test} from 'node:test';
import fc from 'fast-check';
import {type PlatformClient} from '../table-service/mod.ts';
import {deskFile, platformOf, versionInTable} from '../testing/configuration-fleet.ts';
import {Fleet} from '../testing/fleet.ts';
import {type CollectedFile} from './collect-files.ts';
import {publish} from './publish.ts';
import {plainServiceSchema} from './service-file.ts';
import {readHead} from './stored-configuration.ts';
import {VersionLoader} from './version-loader.ts';

const operators = 4;

test('concurrent publications of different services are all accepted, whichever responses are lost', async () => {
	await using fleet = await Fleet.create();
	const platform = platformOf(fleet);
	let deadlineSeconds = 1;
	await fc.assert(fc.asyncProperty(fc.integer({min: 0, max: 4}), async lostAnswers => {
		deadlineSeconds += 1;
		const before = await versionInTable(fleet);
		await loseAnswers(fleet, lostAnswers);
		const services = Array.from({length: operators}, (_, number) => `service-${number}`);
		const outcomes = await Promise.all(services.map(async service => publishOne(platform, service, deadlineSeconds)));
		const versions = outcomes.map(outcome => outcome._unsafeUnwrap().version);
		assert.deepEqual(versions.toSorted((left, right) => left - right), services.map((_, number) => before + 1 + number));
		assert.equal(await versionInTable(fleet), before + operators);
		for (const {deadlineSeconds: activeSeconds} of await activeServices(platform)) {
			assert.equal(activeSeconds, deadlineSeconds);
		}
	}), {seed: 20_261, numRuns: 25});
	await platform.close();
});

test('of concurrent publications of one service exactly one is accepted, and the others get a conflict with its version', async () => {
	await using fleet = await Fleet.create();
	const platform = platformOf(fleet);
	let deadlineSeconds = 1;
	await fc.assert(fc.asyncProperty(fc.integer({min: 0, max: 4}), async lostAnswers => {
		const before = await versionInTable(fleet);
		await loseAnswers(fleet, lostAnswers);
		const desired = Array.from({length: operators}, (_, number) => deadlineSeconds + 1 + number);
		deadlineSeconds += operators;
		const outcomes = await Promise.all(desired.map(async deadline => publishOne(platform, 'desk', deadline, before)));
		const winner = outcomes.findIndex(outcome => outcome.isOk());
		const losers = outcomes.filter((_, number) => number !== winner);
		assert.equal(outcomes[winner]!._unsafeUnwrap().version, before + 1);
		for (const loser of losers) {
			const failure = loser._unsafeUnwrapErr();
			assert.equal(failure.kind, 'conflict');
			assert.deepEqual(failure.kind === 'conflict' && failure.conflicts, [{name: 'service/desk', version: before + 1}]);
		}

		const [active] = await activeServices(platform);
		assert.equal(active!.deadlineSeconds, desired[winner]);
	}), {seed: 20_262, numRuns: 25});
	await platform.close();
});

test('of two concurrent publisher programs on one service one is accepted, and the other reports the conflict and the active version', async () => {
	await using fleet = await Fleet.create();
	for (let round = 0; round < 5; round++) {
		const ends = await Promise.all([10, 20].map(async seconds => fleet.publish({'desk.service.jsonc': deskFile(seconds + round)}, ['--base', String(round)])));
		const [winner, loser] = ends.toSorted((left, right) => left.code - right.code);
		assert.deepEqual([winner!.code, loser!.code], [0, 1], loser!.errors);
		assert.match(winner!.output, new RegExp(`^accepted as ${round + 1};`, 'v'));
		assert.match(loser!.errors, new RegExp(`changed by somebody else in version ${round + 1}\n.*version ${round + 1} is in force`, 'v'));
		assert.equal(await versionInTable(fleet), round + 1);
	}
});

async function publishOne(platform: PlatformClient, service: string, deadlineSeconds: number, base?: number) {
	const file: CollectedFile = {
		kind: 'service', name: `service/${service}`, file: `${service}.service.jsonc`, service: plainServiceSchema.parse(deskFile(deadlineSeconds, service)),
	};
	return publish({
		platform, files: [file], base, createPublicationId: () => randomUUID(), clock: () => performance.now(),
	});
}

async function loseAnswers(fleet: Fleet, requests: number): Promise<void> {
	await fleet.control('platform', '/control/fault', requests === 0 ? {mode: 'up'} : {mode: 'lose_answers', requests, paths: ['/table/transact']});
}

async function activeServices(platform: PlatformClient) {
	const stored = await readHead(platform);
	const configuration = await new VersionLoader(platform).load(stored._unsafeUnwrap().head);
	return configuration._unsafeUnwrap().services;
}
