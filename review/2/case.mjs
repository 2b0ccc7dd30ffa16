/**
 * A gateway that is stopped as planned cuts off streams whose worker is silent for some seconds, since the worker has preempted them.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {call} from '../lib/caller.mjs';
import {configuration, host, routes} from '../lib/configuration.mjs';
import {bounds} from '../lib/gateway.mjs';
import {runCase} from '../lib/world.mjs';

const key = 'key-1';
const events = 24;
const eventMilliseconds = 100;

/** Requests of other machines on each worker: they leave room for one letter until they have grown. */
const others = {count: 8, tokens: 9500, events: 120};

/** Time from the start of the other requests to the letters, and from the letters to SIGTERM, in milliseconds. */
const lettersMilliseconds = 6500;
const stopMilliseconds = 2500;

/** Time of which the worker must not be at work for a cut request to count: the last sixth of `graceS`. */
const lastSixthMilliseconds = bounds.graceS * 1000 * 5 / 6;

/** A letter is a stream that may not be resumed; else its route is that of the sheet. */
const {resumable, ...letter} = {
	...routes.draft,
	name: 'letter',
	prefix: '/letters/',
	maxAttempts: 1,
};

await runCase(async world => {
	const {store} = world;
	await world.open({gateways: 4});
	store.put('op', 'config', configuration({version: 1, keys: [key], routes: [letter]}));
	for (const number of [1, 2, 3, 4]) {
		await world.addWorker({
			id: `i-scribe-${number}`,
			service: 'scribe',
			slots: 64,
			isEngine: true,
			events,
			eventMilliseconds,
		});
	}

	await world.startGateways();
	// The rule asks for calm from `contactMs` before the request on.
	await delay(bounds.contactMs + 1000);
	if (world.hasTrouble) {
		for (const worker of world.workers) {
			worker.runOthers(others.count, others.tokens, others.events).catch(() => undefined);
		}
	}

	await delay(lettersMilliseconds);

	const [stopped] = world.gateways;
	const send = async number => {
		const attempt = `letter-${number}`;
		const headers = {
			host,
			authorization: `Token ${key}`,
			'x-azuretack-attempt-id': attempt,
			'x-azuretack-deadline-ms': '25001',
			'x-azuretack-model': 'm',
			'x-azuretack-token-counts': '8000,720',
			'x-azuretack-prompt-prefix': `a${number}:200,b${number}:7800`,
		};
		const answer = await call(stopped.front, {
			method: 'POST',
			path: `/letters/${number}`,
			body: 'notes',
			timeout: 25_000,
			headers,
		});
		const received = answer.body.match(/^id: /gmv)?.length ?? 0;
		const endedAt = performance.now() - stoppedAt;
		world.note(`${attempt}: status ${answer.status}, ${answer.whole ? 'whole' : 'cut off'}, ${received} of ${events} events, ended ${Math.round(endedAt)} ms after SIGTERM`);
		Object.assign(answer, {attempt, received, endedAt});
		return answer;
	};

	const letters = [1, 2, 3, 4].map(async number => {
		await delay(number * 60);
		return send(number);
	});
	await delay(stopMilliseconds);
	const stoppedAt = performance.now();
	world.note(`${stopped.name} gets SIGTERM`);
	const stopping = stopped.stop();
	const answers = await Promise.all(letters);
	await stopping;
	return answers
		.filter(({attempt, whole, endedAt}) => !whole && endedAt < lastSixthMilliseconds && world.runs.some(run => run.attempt === attempt))
		.map(({attempt, received, endedAt}) => `LOST: ${attempt} was passed on to a worker, which worked on it; its connection ended ${Math.round(endedAt)} ms after SIGTERM with ${received} of ${events} events`);
});
