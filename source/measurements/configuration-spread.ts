/**
 * Measures how long after its acceptance a version is in force on all of 14 routers, with the default period. Prints JSON.
 *
 * @module
 */
import {setTimeout as delay} from 'node:timers/promises';
import {createHistogram} from 'node:perf_hooks';
import {deskFile, versionInTable, versionOn} from '../testing/configuration-fleet.ts';
import {Fleet} from '../testing/fleet.ts';

const routers = 14;
const publications = 12;

await using fleet = await Fleet.create();
const names = Array.from({length: routers}, (_, number) => `router-${number + 1}`);
for (const name of names) {
	await fleet.startRouter(name, {platform: {configurationMilliseconds: 3000}, log: {level: 'warn'}});
}

await fleet.publishHosts();
const histogram = createHistogram();
for (let version = 1; version <= publications; version++) {
	const publishing = fleet.publish({'desk.service.jsonc': deskFile(version)});
	await fleet.until(async () => await versionInTable(fleet) === version, 'the version is accepted');
	const acceptedAt = performance.now();
	for (const name of names) {
		await fleet.until(async () => await versionOn(fleet, name) >= version, `the version is in force on ${name}`);
	}

	histogram.record(Math.max(1, Math.round(performance.now() - acceptedAt)));
	await publishing;
	await delay(200);
}

console.log(JSON.stringify({
	routers, publications, inForceEverywhereMilliseconds: {median: histogram.percentile(50), most: histogram.max},
}, undefined, '\t'));
