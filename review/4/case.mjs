/**
 * A stream that has begun and broken off is never ended when the next worker answers it with a 4xx.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {call} from '../lib/caller.mjs';
import {configuration, host, routes} from '../lib/configuration.mjs';
import {bounds} from '../lib/gateway.mjs';
import {runCase} from '../lib/world.mjs';

const key = 'key-1';
const events = 60;
const eventMilliseconds = 100;

/** Timeout of the route after a change of the configuration, in milliseconds; clients wait for 18 s without an event. */
const timeoutMilliseconds = 12_000;
const clientGapMilliseconds = 18_000;

/** Time that a final answer may take after the route's timeout, in milliseconds. */
const slackMilliseconds = 500;

/** One worker of seven fails so much of its requests. */
const greyShare = 0.45;
const grey = 'i-scribe-7';

/** Workers that crash together, how often, the time between, and that until they are back, in milliseconds. */
const crashed = [[1, 2], [3, 4], [5, 6], [1, 2], [3, 4], [5, 6], [1, 2], [3, 4]];
const crashGapMilliseconds = 6000;
const downMilliseconds = 1200;

/** Time between two drafts, in milliseconds. */
const draftMilliseconds = 90;

await runCase(async world => {
	const {store} = world;
	await world.open({gateways: 4});
	store.put('op', 'config', configuration({version: 1, keys: [key], routes: [{...routes.draft, timeoutMs: timeoutMilliseconds}]}));
	let asked = 0;
	for (const number of [1, 2, 3, 4, 5, 6, 7]) {
		await world.addWorker({
			id: `i-scribe-${number}`,
			service: 'scribe',
			slots: 64,
			isEngine: true,
			events,
			eventMilliseconds,
			onRun(run, response, worker) {
				if (worker.id !== grey || !world.hasTrouble) {
					return false;
				}

				asked += greyShare;
				if (asked < 1) {
					return false;
				}

				asked -= 1;
				world.note(`worker ${worker.id} fails ${run.attempt} with 404`);
				response.writeHead(404, {'content-length': 6}).end('failed');
				return true;
			},
		});
	}

	await world.startGateways();
	await delay(bounds.contactMs + 1000);
	const sending = new AbortController();
	const drafts = [];
	const send = async number => {
		const attempt = `draft-${number}`;
		const headers = {
			host,
			authorization: `Token ${key}`,
			'x-azuretack-attempt-id': attempt,
			'x-azuretack-deadline-ms': '25001',
			'x-azuretack-model': 'm',
			'x-azuretack-token-counts': '6000,360',
			'x-azuretack-prompt-prefix': `a${number % 5}:200,b${number}:5800`,
		};
		const leaving = new AbortController();
		let timer;
		const answer = await call(world.gateways[number % 4].front, {
			method: 'POST',
			path: `/drafts/${number}`,
			body: 'notes',
			timeout: 25_000,
			headers,
			signal: leaving.signal,
			onData() {
				clearTimeout(timer);
				timer = setTimeout(() => {
					leaving.abort();
				}, clientGapMilliseconds);
			},
		});
		clearTimeout(timer);
		const received = answer.body.match(/^id: /gmv)?.length ?? 0;
		world.note(`${attempt}: status ${answer.status}, ${answer.whole ? 'whole' : 'not whole'}, ${received} events, ended after ${answer.milliseconds} ms`);
		drafts.push({attempt, received, ...answer});
	};

	const load = (async () => {
		const sent = [];
		for (let number = 0; !sending.signal.aborted; number += 1) {
			sent.push(send(number));
			await delay(draftMilliseconds);
		}

		await Promise.all(sent);
	})();
	await delay(5000);
	for (const group of crashed) {
		if (world.hasTrouble) {
			world.note(`workers ${group.join(', ')} crash`);
			for (const number of group) {
				world.workers[number - 1].restart(downMilliseconds).catch(() => undefined);
			}
		}

		await delay(crashGapMilliseconds);
	}

	sending.abort();
	await load;
	const long = drafts.filter(({milliseconds}) => milliseconds > timeoutMilliseconds);
	const late = long.filter(({milliseconds}) => milliseconds > timeoutMilliseconds + slackMilliseconds);
	world.note(`${drafts.length} drafts; ${long.length} lasted longer than the route's timeout, ${late.length} of them had no final answer ${slackMilliseconds} ms after it`);
	return late.length >= 8 && late.length > long.length / 4
		? late.map(({attempt, received, milliseconds}) => `CONFIG: ${attempt} had ${received} events and no final answer ${milliseconds} ms after it was sent`)
		: [];
});
