import assert from 'node:assert/strict';
import {execFile, spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtemp, open, readdir, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {test} from 'node:test';
import {promisify} from 'node:util';
import {takeLoopbackAddress} from '../testing/loopback-address.ts';

const run = promisify(execFile); // eslint-disable-line @typescript-eslint/strict-void-return -- Node's own promisified form.
const address = takeLoopbackAddress();

test('the bundled gateway starts without any other module present, with and without its code cache', async context => {
	const folder = await mkdtemp(path.join(tmpdir(), 'azuretack-bundle-'));
	context.after(async () => rm(folder, {recursive: true}));
	await run(process.execPath, ['deploy/bundle.mjs', folder]);
	const files = await readdir(folder);
	assert.deepEqual(files.toSorted(), ['azuretack-gateway.cache', 'azuretack-gateway.cjs', 'azuretack-gateway.script.js']);
	const settings = path.join(folder, 'settings.jsonc');
	await writeFile(settings, JSON.stringify({
		hostName: 'host-1',
		availabilityZone: 'zone-a',
		region: 'home',
		listen: {
			callers: `${address}:9001`, readiness: `${address}:9002`, entries: `${address}:9003`, peers: `${address}:9004`, metrics: `${address}:9005`,
		},
		store: `${address}:9000`,
	}));
	for (const withCache of [true, false]) {
		if (!withCache) {
			await rm(path.join(folder, 'azuretack-gateway.cache'));
		}

		const child = spawn(process.execPath, [path.join(folder, 'azuretack-gateway.cjs')], {
			cwd: folder, env: {PATH: process.env.PATH, AZURETACK_SETTINGS: settings}, stdio: ['ignore', 'pipe', 'inherit'],
		});
		context.after(() => {
			child.kill('SIGKILL');
		});
		let isListening = false;
		for await (const line of createInterface({input: child.stdout})) {
			if (line.includes('gateway listening')) {
				isListening = true;
				break;
			}
		}

		assert.ok(isListening);
		child.kill('SIGTERM');
		await once(child, 'exit');
	}
});

test('a gateway that starts while it is bundled again reads a whole script', async context => {
	const folder = await mkdtemp(path.join(tmpdir(), 'azuretack-bundle-'));
	context.after(async () => rm(folder, {recursive: true}));
	await writeFile(path.join(folder, 'azuretack-gateway.script.js'), 'the script of before');
	const script = await open(path.join(folder, 'azuretack-gateway.script.js'));
	context.after(async () => script.close());
	await run(process.execPath, ['deploy/bundle.mjs', folder]);
	assert.equal(await script.readFile('utf8'), 'the script of before');
});
