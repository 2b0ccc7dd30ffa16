/**
 * A deposit that a failing worker has run is answered 503, which promises that it has not run; the client repeats it.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {call} from '../lib/caller.mjs';
import {configuration, host, routes} from '../lib/configuration.mjs';
import {bounds} from '../lib/gateway.mjs';
import {runCase} from '../lib/world.mjs';

const key = 'key-1';

/** Share of requests that a failing worker fails, and number of workers of four that fail: x 0.45 and one worker, as in `srv_grey` of the site. */
const failedShare = 0.45;
const failing = 'i-desk-1';

const depositCount = 120;

/** Statuses by which a request is promised not to have run. */
const promises = new Set([408, 421, 429, 503]);

await runCase(import.meta.dirname, async world => {
	const {store} = world;
	await world.open({gateways: 4});
	store.put('op', 'config', configuration({version: 1, keys: [key], routes: [routes.deposit]}));
	let failures = 0;
	for (const number of [1, 2, 3, 4]) {
		await world.addWorker({
			id: `i-desk-${number}`,
			service: 'desk',
			async onRun(run, response, worker) {
				run.share = (worker.runs.length * failedShare) % 1;
				if (!world.hasTrouble || worker.id !== failing || run.share >= failedShare) {
					return false;
				}

				// The deposit is booked; what comes after it fails. The answer does not say that the request was not executed.
				await delay(20);
				failures += 1;
				world.note(`worker ${worker.id} has booked ${run.attempt} and fails with 503, without X-Azuretack-Not-Executed`);
				response.writeHead(503, {'content-length': 6}).end('failed');
				return true;
			},
		});
	}

	await world.startGateways();
	await delay(bounds.contactMs + 1000);
	const answers = [];
	const deposit = async (number, attempt) => {
		const headers = {
			host,
			authorization: `Token ${key}`,
			'x-azuretack-attempt-id': attempt,
			'x-azuretack-deadline-ms': '1500',
		};
		const answer = await call(world.gateways[number % 4].front, {
			method: 'POST',
			path: `/deposits/${number}`,
			body: 'deposit=50',
			timeout: 1500,
			headers,
		});
		Object.assign(answer, {attempt, number});
		world.note(`${attempt}: status ${answer.status}`);
		answers.push(answer);
		return answer;
	};

	await Promise.all(Array.from({length: depositCount}, async (_unused, index) => {
		await delay(index * 60);
		const answer = await deposit(index, `deposit-${index}`);
		if (promises.has(answer.status)) {
			// A client retries once after a promise, with an id of its own for the attempt.
			await delay(100);
			await deposit(index, `deposit-${index}-again`);
		}
	}));
	const booked = world.runs.map(({attempt}) => attempt.split('-')[1]);
	const twice = booked.length - new Set(booked).size;
	world.note(`${failures} deposits failed after they had been booked; ${twice} of ${depositCount} were booked twice`);
	const ran = new Map(world.runs.map(({attempt, worker}) => [attempt, worker]));
	return answers
		.filter(({attempt, status}) => promises.has(status) && ran.has(attempt))
		.map(({attempt, status}) => `REFUSED: ${attempt} is answered ${status} and has run at ${ran.get(attempt)}`);
});
