/**
 * A worker that has said that it leaves gets new requests again, as gateways replace that word by one of its earlier life.
 */
import {Agent} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {call} from '../lib/caller.mjs';
import {configuration, host, routes} from '../lib/configuration.mjs';
import {bounds} from '../lib/gateway.mjs';
import {runCase} from '../lib/world.mjs';

const key = 'key-1';

/** Deposits need no key, so that gateways serve them while the store is away. */
const anonymousDeposit = {...routes.deposit, allowAnonymous: true};

/** Workers of four that are replaced in place, twice, and the time between them, in milliseconds: share 0.45, one at a time, as `release` of the site. */
const replacedCount = 2;
const gapMilliseconds = 1000;

/** Time for which a worker serves once its leaving is known, and time that its process needs to start again, in milliseconds. */
const servesMilliseconds = 3000;
const startMilliseconds = 1000;

/** Time from the first replacement to the second one, in milliseconds: the release is rolled back. */
const rollBackMilliseconds = 9000;

/** Time for which the store is away around the second replacement, in milliseconds: `platform_down` for 8 s, as in the site. */
const awayMilliseconds = 8000;

/** Clients, each of which keeps its connection to a gateway of its own, and the time between two deposits of one, in milliseconds. */
const clientCount = 4;
const depositMilliseconds = 150;

await runCase(async world => {
	const {store} = world;
	await world.open({gateways: 22});
	store.put('op', 'config', configuration({version: 1, keys: [key], routes: [anonymousDeposit]}));
	for (const number of [1, 2, 3, 4]) {
		await world.addWorker({id: `i-desk-${number}`, service: 'desk'});
	}

	const replaced = world.workers.slice(0, replacedCount);
	await world.startGateways();
	await delay(bounds.contactMs + 1000);

	const sendingEnd = new AbortController();
	const deposits = [];
	const deposit = async (gateway, agent) => {
		const number = deposits.length + 1;
		const attempt = `deposit-${gateway.name}-${number}`;
		const headers = {
			host,
			'x-azuretack-attempt-id': attempt,
			'x-azuretack-deadline-ms': '1500',
		};
		const answer = await call(gateway.front, {
			method: 'POST',
			path: `/deposits/${number}`,
			body: 'deposit=50',
			timeout: 1500,
			headers,
			agent,
		});
		Object.assign(answer, {attempt, gateway, answeredAt: performance.now()});
		const isLeaving = answer.headers['server-leaving'] === '1';
		world.note(`${attempt} at ${gateway.name}: status ${answer.status}${isLeaving ? ', with Server-Leaving' : ''}`);
		deposits.push(answer);
	};

	const sending = Promise.all(world.gateways.slice(0, clientCount).map(async gateway => {
		const agent = new Agent({keepAlive: true, maxSockets: 1});
		while (!sendingEnd.signal.aborted) {
			await deposit(gateway, agent);
			await delay(depositMilliseconds);
		}

		agent.destroy();
	}));

	const leave = worker => {
		world.note(`${worker.id}, started at ${worker.born}, leaves`);
		worker.saysLeaving = true;
		worker.drain();
	};

	const firstAt = performance.now();
	await Promise.all(replaced.map(async (worker, index) => {
		await delay(index * gapMilliseconds);
		leave(worker);
		await delay(servesMilliseconds);
		await worker.restart(startMilliseconds);
		world.note(`${worker.id} has started again at ${worker.born}`);
	}));
	await delay(firstAt + rollBackMilliseconds - 500 - performance.now());
	if (world.hasTrouble) {
		world.note('the store is away');
		store.goAway();
	}

	const goneAt = performance.now();
	await delay(500);
	await Promise.all(replaced.map(async (worker, index) => {
		await delay(index * gapMilliseconds);
		leave(worker);
	}));
	await delay(goneAt + awayMilliseconds - performance.now());
	store.isAway = false;
	world.note('the store is back');
	for (const worker of replaced) {
		worker.drain();
	}

	await delay(servesMilliseconds);
	sendingEnd.abort();
	await sending;
	const breaches = [];
	for (const worker of replaced) {
		const ofLife = new Set(worker.runs.filter(({born}) => born === worker.born).map(({attempt}) => attempt));
		for (const gateway of world.gateways) {
			const own = deposits.filter(answer => answer.gateway === gateway && ofLife.has(answer.attempt));
			const passedOnAt = Math.min(...own.filter(({headers}) => headers['server-leaving'] === '1').map(({answeredAt}) => answeredAt));
			const late = own.filter(({sentAt}) => sentAt > passedOnAt + bounds.drainMs);
			breaches.push(...late.map(({attempt, sentAt}) => `DRAIN: ${attempt}, sent ${Math.round(sentAt - passedOnAt)} ms after ${gateway.name} had passed on an answer with Server-Leaving of this life of ${worker.id}, reached it from ${gateway.name}`));
		}
	}

	return breaches;
});
